#pragma once

#include "state/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlocklead {

/// An attempt that a worker runs or that its agent is about to start there.
struct RunReport {
    std::string task; ///< Text of a dispatch::TaskId.
    uint32_t attempt { 0 };
    std::string checkpoint; ///< Newest checkpoint; empty if there is none.
    int64_t percent { 0 }; ///< Progress, 0 to 100.
    int64_t pace { 100 }; ///< Share of its full speed that the agent allows, in percent; 0 while paused.

    /// Tail latency of a latency-critical task in thousandths of its target; 0 while unknown.
    int64_t tailPerMille { 0 };

    bool operator==(const RunReport&) const = default;
};

/// End of an attempt; reported until the owner acknowledges it.
struct RunEnd {
    uint64_t number { 0 }; ///< Counts the ends of one incarnation of the worker from 1.
    std::string task;
    uint32_t attempt { 0 };
    std::string reason; ///< `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`.
    std::string checkpoint;

    bool operator==(const RunEnd&) const = default;
};

/// Reason of a refused start: the task would have to be paused at once because a latency-critical task is over its
/// target.
constexpr const char* refusedWhilePaused = "held";

/// A refused start; the attempt has not started and will not start.
struct RunRefusal {
    std::string task;
    uint32_t attempt { 0 };
    std::string reason;

    bool operator==(const RunRefusal&) const = default;
};

/// Order to start an attempt, or the description, without payload, of an attempt that already runs.
struct RunOrder {
    uint64_t sequence { 0 }; ///< Counts the orders of one connection from 1.
    std::string task;
    uint32_t attempt { 0 };
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::string image;
    int64_t cpuMilli { 0 };
    int64_t tailTargetMs { 0 }; ///< Target of the tail latency of a latency-critical task; 0 for others.
    bool fills { false }; ///< Best-effort task, which uses the processor time left over by others.

    bool operator==(const RunOrder&) const = default;
};

struct RunStop {
    std::string task;
    uint32_t attempt { 0 };

    bool operator==(const RunStop&) const = default;
};

/// Order to pause a best-effort run for a limited time, so that a pause ends by itself when the owner is gone.
struct RunPause {
    std::string task;
    uint32_t attempt { 0 };
    int64_t validMs { 0 }; ///< From the arrival of the order, at most 1,500; 0 ends the pause.

    bool operator==(const RunPause&) const = default;
};

/// Interference of a best-effort image with a latency-critical one, as estimated by dispatch::InterferenceModel.
struct PairInterference {
    std::string serving; ///< The latency-critical image.
    std::string filling; ///< The best-effort image.
    double takenPerCore { 0 }; ///< Headroom of the latency-critical image that each core of the other uses.

    bool operator==(const PairInterference&) const = default;
};

/// State of a host, from its agent to the owner. Sent after each poll of the worker and at each change.
struct HostReport {
    std::string host;
    uint64_t epochSeen { 0 }; ///< Highest owner epoch that the agent has seen.
    int64_t life { 0 }; ///< Incarnation: start of the worker process, Unix milliseconds; 0 while unknown.
    int64_t clockMs { 0 }; ///< Reading of the worker's clock; the owner echoes it to extend the lease.
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining { false };
    int64_t remainingMs { 0 }; ///< Least time until a draining worker shuts down.
    bool silent { false }; ///< The worker does not answer.
    bool lapsed { false }; ///< Unresponsive for so long that every lease on it has expired.
    bool refusesBestEffort { false }; ///< The agent would refuse or pause a best-effort task that starts now.
    bool full { false }; ///< `running` and `pending` are complete.
    bool hasMoreEnds { false }; ///< `ends` is incomplete: the worker lists a limited number of ends at a time.
    bool fencesEpochs { false }; ///< The agent makes the worker refuse former owners; earlier builds do not.
    bool epochFenced { false }; ///< The worker refuses the calls of all owners before `epochSeen`.
    /// Late calls that were meant for a former incarnation of the worker may have extended its lease beyond the one
    /// that counts from `clockMs`.
    bool leaseInherited { false };
    uint64_t settledOrders { 0 }; ///< Orders up to this one were carried out or refused before `running` was read.
    std::vector<RunReport> running;
    std::vector<RunReport> pending;
    std::vector<RunEnd> ends;
    std::vector<RunRefusal> refusals;
};

/// A HostReport that a HostReportPacker has packed. Sent instead of it once the owner has announced that it reads it.
struct PackedHostReport {
    std::string data;
};

/// Orders from the owner to an agent; also extends the leases on the worker.
struct HostOrders {
    uint64_t epoch { 0 };
    int64_t life { 0 }; ///< Incarnation of the worker that the orders are meant for.
    int64_t echoMs { 0 }; ///< `clockMs` of the last report, from which the lease counts. 0 does not extend it.
    uint64_t acknowledgedEnds { 0 }; ///< Ends up to this number are recorded.
    std::vector<RunOrder> starts;
    std::vector<RunStop> stops;
    std::vector<RunOrder> known; ///< Descriptions of attempts that already run.
    std::vector<PairInterference> disturbances; ///< Changed estimates for images that run on the host.
    bool readsPackedReports { false }; ///< The owner reads packed reports. Set in the first message of a connection.
    uint64_t reportsRead { 0 }; ///< Number of reports that the owner has read on this connection.

    /// Numbers the owner's connections to the agent from 1, under one epoch. The agent refuses the orders of a
    /// connection that the owner has replaced. 0 in builds that do not number them.
    uint64_t connection { 0 };

    /// The starts may be carried out until this long after the reading `echoMs`, in milliseconds. 0 in builds that do
    /// not limit it.
    int64_t startsValidMs { 0 };

    std::vector<RunPause> pauses; ///< Earlier builds ignore them.
};

} // namespace hemlocklead
