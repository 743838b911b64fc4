#include "protocol/ErrorTable.h"

#include "state/Json.h"

#include <array>
#include <cassert>

namespace hemlocklead {

namespace {

    constexpr std::array<ErrorMapping, errorKindCount> mappings { {
        { ErrorKind::InvalidRequest, 400, CallOutcome::NotRun },
        { ErrorKind::InvalidSettings, 500, CallOutcome::NotRun },
        { ErrorKind::NotFound, 404, CallOutcome::NotRun },
        { ErrorKind::Conflict, 409, CallOutcome::NotRun },
        { ErrorKind::NotGoverning, 403, CallOutcome::NotRun },
        { ErrorKind::TooLarge, 413, CallOutcome::NotRun },
        { ErrorKind::QuotaExceeded, 429, CallOutcome::NotRun },
        { ErrorKind::Overloaded, 503, CallOutcome::NotRun },
        { ErrorKind::NoTarget, 503, CallOutcome::NotRun },
        { ErrorKind::DataCentreOut, 503, CallOutcome::NotRun },
        { ErrorKind::Leaving, 503, CallOutcome::NotRun },
        { ErrorKind::StaleView, 503, CallOutcome::NotRun },
        { ErrorKind::NoCapacity, 503, CallOutcome::NotRun },
        { ErrorKind::NotOwner, 503, CallOutcome::NotRun },
        { ErrorKind::LogUnavailable, 503, CallOutcome::NotRun },
        { ErrorKind::NotReady, 503, CallOutcome::NotRun },
        { ErrorKind::OutcomeUnknown, 504, CallOutcome::Unknown },
        { ErrorKind::Timeout, 503, CallOutcome::NotRun },
        { ErrorKind::Protocol, 400, CallOutcome::NotRun },
        { ErrorKind::Internal, 500, CallOutcome::Unknown },
    } };

} // namespace

const ErrorMapping& errorMapping(ErrorKind kind)
{
    const ErrorMapping& mapping = mappings[static_cast<size_t>(kind)];
    assert(mapping.kind == kind);
    return mapping;
}

ErrorKind errorKindByName(std::string_view name)
{
    for (const ErrorMapping& mapping : mappings) {
        if (errorName(mapping.kind) == name)
            return mapping.kind;
    }
    return ErrorKind::Internal;
}

std::string_view outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string errorBody(const Error& error, std::string_view requestId)
{
    const Json body { { "error", errorName(error.kind) }, { "message", error.message },
        { "outcome", outcomeName(errorMapping(error.kind).outcome) }, { "request_id", requestId } };
    return jsonText(body) + "\n";
}

} // namespace hemlocklead
