#pragma once

#include "state/Json.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace hemlocklead {

/// String field of a record; null when it is missing or not a string.
inline const std::string* textField(const Json& record, const char* name)
{
    const auto found = record.find(name);
    return found == record.end() ? nullptr : found->get_ptr<const std::string*>();
}

/// Like `textField`, but also null for an empty string.
inline const std::string* nameField(const Json& record, const char* name)
{
    const std::string* text = textField(record, name);
    return text && !text->empty() ? text : nullptr;
}

/// String field of a record; empty when it is missing or not a string.
inline std::string textOrEmpty(const Json& record, const char* name)
{
    const std::string* text = textField(record, name);
    return text ? *text : std::string();
}

/// Non-negative integer field of at most `maximum`; nullopt when it is missing, of another type or out of range.
inline std::optional<uint64_t> numberField(
    const Json& record, const char* name, uint64_t maximum = std::numeric_limits<uint64_t>::max())
{
    const auto found = record.find(name);
    if (found == record.end() || !found->is_number_integer())
        return std::nullopt;
    if (!found->is_number_unsigned() && found->get<int64_t>() < 0)
        return std::nullopt;
    const auto number = found->get<uint64_t>();
    return number <= maximum ? std::optional(number) : std::nullopt;
}

/// Like `numberField`, for a number that must fit in 32 bits.
inline std::optional<uint32_t> uint32Field(const Json& record, const char* name)
{
    const auto number = numberField(record, name, std::numeric_limits<uint32_t>::max());
    return number ? std::optional(static_cast<uint32_t>(*number)) : std::nullopt;
}

/// Wall-clock time of a record (`unix_ms`) in Unix milliseconds; 0 when it is missing or invalid.
inline int64_t unixMsField(const Json& record)
{
    const auto number = numberField(record, "unix_ms", std::numeric_limits<int64_t>::max());
    return static_cast<int64_t>(number.value_or(0));
}

} // namespace hemlocklead
