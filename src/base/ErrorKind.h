#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Closed list of error kinds. `protocol/ErrorTable.h` maps each to an HTTP response.
enum class ErrorKind : uint8_t {
    InvalidRequest, ///< Input that is malformed or violates a constraint.
    InvalidSettings, ///< A settings file failed validation.
    NotFound, ///< No such catalogue entry, job, host or data centre.
    Conflict, ///< A conditional edit names a version that is no longer current.
    NotGoverning, ///< The editor does not own the governing entry.
    TooLarge, ///< A body or frame exceeds its size limit.
    QuotaExceeded, ///< The team's queue or quota is full.
    Overloaded, ///< Shed because of a limit or because the deadline cannot be met.
    NoTarget, ///< No usable target serves the catalogue entry.
    DataCentreOut, ///< The data centre is taken out of service.
    Leaving, ///< The process or target is shutting down.
    StaleView, ///< The sender's view of the configuration is too old.
    NoCapacity, ///< The host lacks free resources for the reservation.
    NotOwner, ///< This process does not own the shard.
    LogUnavailable, ///< The log cannot be reached; nothing was recorded.
    NotReady, ///< The process has not caught up yet.
    OutcomeUnknown, ///< The request may or may not have been executed.
    Timeout, ///< The deadline passed before the request was started.
    Protocol, ///< A peer violated the framing or the message format.
    Internal, ///< A bug in this program.
};

constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// Kebab-case name of `kind`, as used in responses and logs.
std::string_view errorName(ErrorKind kind);

/// Error with a kind for programs and a message for people.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;

    bool operator==(const Error&) const = default;
};

} // namespace hemlocklead
