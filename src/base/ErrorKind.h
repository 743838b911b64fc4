#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Closed list of error kinds. `protocol/ErrorTable.h` maps each to an HTTP answer.
enum class ErrorKind : uint8_t {
    InvalidRequest, ///< Malformed or impossible input.
    InvalidSettings, ///< A settings file fails its check.
    NotFound, ///< No such catalogue entry, job, host or data centre.
    Conflict, ///< A conditional edit names a version that is no longer current.
    NotGoverning, ///< The editor does not own the governing entry.
    TooLarge, ///< Body or frame over its size limit.
    QuotaExceeded, ///< The team's queue or quota is full.
    Overloaded, ///< Shed by a limit or because the deadline cannot be met.
    NoTarget, ///< No usable target serves the entry.
    DataCentreOut, ///< The data centre is taken out.
    Leaving, ///< The process or target is stopping.
    StaleView, ///< The sender's view of the configuration is too old.
    NoCapacity, ///< The host has no room for the reservation.
    NotOwner, ///< This process does not own the shard.
    LogUnavailable, ///< The log cannot be reached; nothing was recorded.
    NotReady, ///< The process has not caught up yet.
    OutcomeUnknown, ///< The request may or may not have been run.
    Timeout, ///< The deadline passed before the request was started.
    Protocol, ///< A peer broke the framing or the message format.
    Internal, ///< A fault of this program.
};

constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// Kebab-case name of `kind` as it appears in answers and logs.
std::string_view errorName(ErrorKind kind);

/// Error with a kind and a message for people.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;

    bool operator==(const Error&) const = default;
};

} // namespace hemlocklead
