#pragma once

#include <string>
#include <string_view>

namespace hemlocklead {

/// W3C trace context of one span.
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    std::string parentId; ///< Span id of the caller, or empty for a root span.

    /// Value of the `traceparent` header for calls made inside this span.
    std::string traceparent() const;
};

/// New span below the caller's `traceparent`; a root span when that is missing or malformed.
TraceContext startSpan(std::string_view traceparent);

/// `digits` random hexadecimal digits.
std::string randomHex(size_t digits);

} // namespace hemlocklead
