#include "protocol/Traceparent.h"

#include <random>

namespace hemlocklead {

namespace {

    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t traceparentLength = 55; // Version, trace id, span id and flags, separated by three dashes.

    bool isLowerHex(std::string_view text)
    {
        return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    bool isNonZeroHex(std::string_view text)
    {
        return isLowerHex(text) && text.find_first_not_of('0') != std::string_view::npos;
    }

    bool isValid(std::string_view value)
    {
        if (value.size() != traceparentLength || value.substr(0, 3) != "00-" || value[35] != '-' || value[52] != '-')
            return false;
        return isNonZeroHex(value.substr(3, traceIdDigits)) && isNonZeroHex(value.substr(36, spanIdDigits))
            && isLowerHex(value.substr(53, 2));
    }

} // namespace

std::string TraceContext::traceparent() const { return "00-" + traceId + "-" + spanId + "-01"; }

TraceContext startSpan(std::string_view traceparent)
{
    if (!isValid(traceparent))
        return { randomHex(traceIdDigits), randomHex(spanIdDigits), {} };
    return { std::string(traceparent.substr(3, traceIdDigits)), randomHex(spanIdDigits),
        std::string(traceparent.substr(36, spanIdDigits)) };
}

std::string randomHex(size_t digits)
{
    static std::mt19937_64 generator { std::random_device {}() ^ static_cast<uint64_t>(std::random_device {}()) << 32 };
    constexpr std::string_view hex = "0123456789abcdef";
    std::string text;
    while (text.size() < digits)
        text += hex[generator() % hex.size()];
    return text;
}

} // namespace hemlocklead
