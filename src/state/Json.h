#pragma once

#include "base/Result.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace hemlocklead {

using Json = nlohmann::json;

/// Parses JSON text; fails with `InvalidRequest` when it is malformed.
Result<Json> parseJson(std::string_view text);

/// Compact JSON text of `value`; bytes that are not valid UTF-8 become U+FFFD.
std::string jsonText(const Json& value);

/// Converts `value` to T. Fails with `kind` when a type does not match; the message is that of nlohmann::json.
template <typename T> Result<T> fromJson(const Json& value, ErrorKind kind = ErrorKind::InvalidRequest)
{
    try {
        return value.get<T>();
    } catch (const Json::exception& error) {
        return fail(kind, error.what());
    }
}

} // namespace hemlocklead

namespace std::chrono {

/// Durations are integer milliseconds in records and messages.
inline void to_json(nlohmann::json& json, const milliseconds& value) { json = value.count(); }
inline void from_json(const nlohmann::json& json, milliseconds& value) { value = milliseconds { json.get<int64_t>() }; }

} // namespace std::chrono
