#pragma once

#include "base/Clock.h"
#include "protocol/DispatchMessages.h"

#include <functional>
#include <optional>

namespace hemlocklead::dispatch {

/// Answer of the worker to a call that changes a run.
struct WorkerAnswer {
    enum class Status : uint8_t {
        Done,
        Refused, ///< Nothing was done; `reason` says why.
        None, ///< No answer: the call may have been carried out, or may still be.
    };

    Status status { Status::None };
    std::string reason;
};

/// Look at the worker that also renews its lease.
struct WorkerLook {
    std::optional<int64_t> leaseUntilMs; ///< On the worker's clock; applies to all runs.
    uint64_t acknowledgedEnds { 0 }; ///< Ends up to this one are forgotten.
    Duration wait { 0 }; ///< The worker answers earlier when a run ends.
};

/// What a run does now.
struct WorkerRun {
    RunReport report;
    int64_t figure { 0 }; ///< Tail latency in milliseconds of a serving task, processors in use of others.
};

struct WorkerState {
    enum class Status : uint8_t {
        Ok,
        Fenced, ///< The worker has seen a higher fence.
        OtherLife, ///< The worker has restarted since it last announced itself.
        None, ///< No answer.
    };

    Status status { Status::None };
    int64_t life { 0 };
    int64_t clockMs { 0 };
    std::vector<WorkerRun> running;
    std::vector<RunEnd> ends;
};

/// The worker beside an agent. The fence orders the lives of the agent: the worker does nothing for a lower one.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;
    virtual void start(
        const RunOrder& order, int64_t leaseUntilMs, uint64_t fence, std::function<void(WorkerAnswer)> done)
        = 0;
    virtual void stop(const RunStop& stop, uint64_t fence, std::function<void(WorkerAnswer)> done) = 0;

    /// Lets a run work at `percent` of its speed.
    virtual void pace(const RunStop& run, int64_t percent, uint64_t fence, std::function<void(WorkerAnswer)> done) = 0;
    virtual void look(const WorkerLook& look, uint64_t fence, std::function<void(WorkerState)> done) = 0;
};

/// What a worker says of itself.
struct WorkerAnnouncement {
    int64_t life { 0 };
    uint64_t sequence { 0 }; ///< Rises with each announcement of one life.
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining { false };
    int64_t remainingMs { 0 };
};

} // namespace hemlocklead::dispatch
