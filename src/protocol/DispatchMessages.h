#pragma once

#include "state/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlocklead {

/// One attempt that a worker runs or that its agent is about to start there.
struct RunReport {
    std::string task; ///< Text of a dispatch::TaskId.
    uint32_t attempt { 0 };
    std::string checkpoint; ///< Newest checkpoint, empty without one.
    int64_t percent { 0 }; ///< Progress, 0 to 100.
    int64_t pace { 100 }; ///< Share of its speed that the agent lets it use, in percent.
    int64_t tailPerMille { 0 }; ///< Tail latency of a serving task in thousandths of its target; 0 while unknown.

    bool operator==(const RunReport&) const = default;
};

/// An attempt that has ended, until the owner acknowledges it.
struct RunEnd {
    uint64_t number { 0 }; ///< Counts the ends of one life of the worker from 1.
    std::string task;
    uint32_t attempt { 0 };
    std::string reason; ///< `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`.
    std::string checkpoint;

    bool operator==(const RunEnd&) const = default;
};

/// Reason of a refused start: the task would have to stand still at once, since a serving task is over its target.
constexpr const char* refusedForServing = "held";

/// A start that did not happen and will not happen.
struct RunRefusal {
    std::string task;
    uint32_t attempt { 0 };
    std::string reason;

    bool operator==(const RunRefusal&) const = default;
};

/// Order to start an attempt. Without a payload it only describes an attempt that runs already.
struct RunOrder {
    uint64_t sequence { 0 }; ///< Counts the orders of one connection from 1.
    std::string task;
    uint32_t attempt { 0 };
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::string image;
    int64_t cpuMilli { 0 };
    int64_t tailTargetMs { 0 }; ///< Bound on the tail latency of a serving task; 0 for others.
    bool fills { false }; ///< Runs on the processor time that other tasks leave.

    bool operator==(const RunOrder&) const = default;
};

struct RunStop {
    std::string task;
    uint32_t attempt { 0 };

    bool operator==(const RunStop&) const = default;
};

/// What the owner has learned of a pair of images; see dispatch::DisturbanceModel.
struct PairDisturbance {
    std::string serving;
    std::string filling;
    double takenPerCore { 0 }; ///< Headroom of the serving image.

    bool operator==(const PairDisturbance&) const = default;
};

/// Agent to owner: what the host has and runs. Sent after each look at the worker and at each change.
struct HostReport {
    std::string host;
    uint64_t epochSeen { 0 }; ///< Highest owner epoch that the agent has seen.
    int64_t life { 0 }; ///< Start of the worker's present life, Unix milliseconds; 0 while unknown.
    int64_t clockMs { 0 }; ///< The worker's clock; echoed by the owner to extend the lease.
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining { false };
    int64_t remainingMs { 0 }; ///< Least time until a draining worker leaves.
    bool silent { false }; ///< The worker does not answer.
    bool lapsed { false }; ///< Silent for so long that every lease on it has ended.
    bool full { false }; ///< `running` and `pending` list everything.
    uint64_t settledOrders { 0 }; ///< Orders up to this one were carried out or refused before `running` was read.
    std::vector<RunReport> running;
    std::vector<RunReport> pending;
    std::vector<RunEnd> ends;
    std::vector<RunRefusal> refusals;
};

/// Owner to agent. Renews the leases on the worker and carries orders.
struct HostOrders {
    uint64_t epoch { 0 };
    int64_t life { 0 }; ///< Life of the worker that the orders are for.
    int64_t echoMs { 0 }; ///< `clockMs` of the last report; leases count from it. 0 renews nothing.
    uint64_t acknowledgedEnds { 0 }; ///< Ends up to this one are recorded.
    std::vector<RunOrder> starts;
    std::vector<RunStop> stops;
    std::vector<RunOrder> known; ///< Descriptions of attempts that run already.
    std::vector<PairDisturbance> disturbances; ///< Of images that run on the host, where they have changed.
};

} // namespace hemlocklead
