#include "transport/SettingsReader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <limits>

namespace hemlocklead {

namespace {

    Result<toml::table> parseFile(const std::string& file)
    {
        toml::parse_result parsed = toml::parse_file(file);
        if (!parsed) {
            const toml::parse_error& error = parsed.error();
            return fail(ErrorKind::InvalidSettings,
                file + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()));
        }
        return std::move(parsed).table();
    }

    /// Parses an address into `out`. Returns the error message, or an empty string on success.
    std::string parseAddressInto(std::string_view text, Address& out)
    {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_ASSIGN(out, parseAddress(text));
                return std::string();
            },
            [](const Error& error) { return error.message; });
    }

    bool isName(std::string_view text)
    {
        return !text.empty()
            && std::ranges::all_of(text, [](unsigned char c) { return c > ' ' && c != '/' && c != 0x7f; });
    }

} // namespace

struct SettingsReader::Document {
    std::string file;
    std::string tableName;
    toml::table root;
    const toml::table* table { nullptr };
};

SettingsReader::SettingsReader()
    : m_document(std::make_unique<Document>())
{
}

SettingsReader::~SettingsReader() = default;

Result<void> SettingsReader::open(const std::string& file, std::string_view table)
{
    m_document->file = file;
    m_document->tableName = table;
    BOOST_LEAF_ASSIGN(m_document->root, parseFile(file));
    for (const auto& [key, node] : m_document->root) {
        if (key.str() != table) {
            return fail(ErrorKind::InvalidSettings,
                file + ":" + std::to_string(node.source().begin.line) + ": " + std::string(key.str())
                    + ": unknown key outside of the table [" + std::string(table) + "]");
        }
    }
    m_document->table = m_document->root[table].as_table();
    if (!m_document->table)
        return fail(ErrorKind::InvalidSettings, file + ":1: there is no table [" + std::string(table) + "]");
    return {};
}

Result<void> SettingsReader::checkKeys(std::span<const std::string_view> known) const
{
    for (const auto& [key, node] : *m_document->table) {
        if (std::ranges::find(known, key.str()) == known.end())
            return failAt(key.str(), "unknown key");
    }
    return {};
}

bool SettingsReader::has(std::string_view key) const { return m_document->table->contains(key); }

Result<void> SettingsReader::read(std::string_view key, SettingsRange, std::string& out) const
{
    const auto* value = m_document->table->get(key)->as_string();
    if (!value)
        return failAt(key, "a string is expected");
    if (!isName(value->get()))
        return failAt(key, "a name without blanks, slashes and control characters is expected");
    out = value->get();
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange, Address& out) const
{
    const auto* value = m_document->table->get(key)->as_string();
    if (!value)
        return failAt(key, "a string \"IP:port\" is expected");
    const std::string addressError = parseAddressInto(value->get(), out);
    if (!addressError.empty())
        return failAt(key, addressError);
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange, std::vector<Address>& out) const
{
    const toml::array* values = m_document->table->get(key)->as_array();
    if (!values)
        return failAt(key, "an array of strings \"IP:port\" is expected");
    out.clear();
    for (const toml::node& node : *values) {
        const auto* value = node.as_string();
        if (!value)
            return failAt(key, "an array of strings \"IP:port\" is expected");
        Address address;
        const std::string addressError = parseAddressInto(value->get(), address);
        if (!addressError.empty())
            return failAt(key, addressError);
        if (std::ranges::find(out, address) != out.end())
            return failAt(key, "address '" + address.text() + "' is listed twice");
        out.push_back(address);
    }
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange range, Duration& out) const
{
    int64_t milliseconds = 0;
    BOOST_LEAF_CHECK(read(key, range, milliseconds));
    out = Duration { milliseconds };
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange range, uint32_t& out) const
{
    constexpr int64_t largest = std::numeric_limits<uint32_t>::max();
    int64_t value = 0;
    BOOST_LEAF_CHECK(read(key, { range.smallest, std::min(range.largest, largest) }, value));
    out = static_cast<uint32_t>(value);
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange range, int64_t& out) const
{
    const auto* value = m_document->table->get(key)->as_integer();
    if (!value)
        return failAt(key, "an integer is expected");
    if (value->get() < range.smallest || value->get() > range.largest) {
        return failAt(key,
            "an integer from " + std::to_string(range.smallest) + " to " + std::to_string(range.largest)
                + " is expected");
    }
    out = value->get();
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange, double& out) const
{
    const std::optional<double> value = m_document->table->get(key)->value<double>();
    if (!value || !(*value >= 0))
        return failAt(key, "a number that is not negative is expected");
    out = *value;
    return {};
}

Result<void> SettingsReader::read(std::string_view key, SettingsRange, bool& out) const
{
    const auto* value = m_document->table->get(key)->as_boolean();
    if (!value)
        return failAt(key, "true or false is expected");
    out = value->get();
    return {};
}

boost::leaf::error_id SettingsReader::failAt(std::string_view key, const std::string& reason) const
{
    const toml::node* node = m_document->table->get(key);
    const auto line = (node ? node->source() : m_document->table->source()).begin.line;
    return fail(ErrorKind::InvalidSettings,
        m_document->file + ":" + std::to_string(line) + ": " + std::string(key) + ": " + reason);
}

Result<std::string> settingsRole(const std::string& file)
{
    BOOST_LEAF_AUTO(root, parseFile(file));
    for (const char* role : { "entry", "agent", "platform_entry", "platform_agent" }) {
        if (root.contains(role))
            return std::string(role);
    }
    return fail(ErrorKind::InvalidSettings, file + ":1: there is no table [entry] or [agent]");
}

} // namespace hemlocklead
