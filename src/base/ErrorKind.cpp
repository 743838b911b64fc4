#include "base/ErrorKind.h"

#include <array>
#include <cassert>

namespace hemlocklead {

namespace {

    constexpr std::array<std::string_view, errorKindCount> errorNames {
        "invalid-request",
        "invalid-settings",
        "not-found",
        "conflict",
        "not-governing",
        "too-large",
        "quota-exceeded",
        "overloaded",
        "no-target",
        "data-centre-out",
        "leaving",
        "stale-view",
        "no-capacity",
        "not-owner",
        "log-unavailable",
        "not-ready",
        "outcome-unknown",
        "timeout",
        "protocol",
        "internal",
    };

} // namespace

std::string_view errorName(ErrorKind kind)
{
    const auto index = static_cast<size_t>(kind);
    assert(index < errorNames.size());
    return errorNames[index];
}

} // namespace hemlocklead
