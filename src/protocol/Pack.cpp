#include "protocol/Pack.h"

#include <msgpuck.h>

#include <limits>

namespace hemlocklead {

namespace {

    constexpr size_t maxNumberBytes = 9;

} // namespace

void PackWriter::putUnsigned(uint64_t value)
{
    char buffer[maxNumberBytes];
    m_bytes.append(buffer, mp_encode_uint(buffer, value));
}

void PackWriter::putInteger(int64_t value)
{
    if (value >= 0)
        return putUnsigned(static_cast<uint64_t>(value));
    char buffer[maxNumberBytes];
    m_bytes.append(buffer, mp_encode_int(buffer, value));
}

void PackWriter::putText(std::string_view value)
{
    const auto length = static_cast<uint32_t>(value.size());
    char buffer[maxNumberBytes];
    m_bytes.append(buffer, mp_encode_strl(buffer, length));
    m_bytes += value;
}

PackReader::PackReader(std::string_view bytes)
    : m_position(bytes.data())
    , m_end(bytes.data() + bytes.size())
{
}

const char* PackReader::next()
{
    const char* start = m_position;
    if (!m_valid || m_position == m_end || mp_check(&m_position, m_end) != 0) {
        m_valid = false;
        m_position = m_end;
        return nullptr;
    }
    return start;
}

uint64_t PackReader::takeUnsigned()
{
    const char* value = next();
    if (!value)
        return 0;
    if (mp_typeof(*value) != MP_UINT) {
        m_valid = false;
        return 0;
    }
    return mp_decode_uint(&value);
}

int64_t PackReader::takeInteger()
{
    const char* value = next();
    if (!value)
        return 0;
    if (mp_typeof(*value) == MP_INT)
        return mp_decode_int(&value);
    if (mp_typeof(*value) == MP_UINT) {
        const uint64_t number = mp_decode_uint(&value);
        if (number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
            return static_cast<int64_t>(number);
    }
    m_valid = false;
    return 0;
}

std::string PackReader::takeText()
{
    const char* value = next();
    if (!value)
        return {};
    if (mp_typeof(*value) != MP_STR) {
        m_valid = false;
        return {};
    }
    uint32_t length = 0;
    const char* text = mp_decode_str(&value, &length);
    return { text, length };
}

size_t PackReader::takeCount()
{
    const uint64_t count = takeUnsigned();
    if (count > static_cast<uint64_t>(m_end - m_position)) {
        m_valid = false;
        return 0;
    }
    return count;
}

} // namespace hemlocklead
