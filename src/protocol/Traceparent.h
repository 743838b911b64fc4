#pragma once

#include <string>
#include <string_view>

namespace hemlocklead {

/// W3C Trace Context of one span.
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    std::string parentId; ///< Span id of the caller, or empty for a root span.

    /// Value of the `traceparent` header for calls made inside this span.
    std::string traceparent() const;
};

/// Starts a child span of the caller's `traceparent`, or a root span if that is missing or malformed.
TraceContext startSpan(std::string_view traceparent);

/// Returns `digits` random lower-case hexadecimal digits.
std::string randomHex(size_t digits);

} // namespace hemlocklead
