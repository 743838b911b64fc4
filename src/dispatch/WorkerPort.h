#pragma once

#include "base/Clock.h"
#include "protocol/DispatchMessages.h"

#include <functional>
#include <optional>

namespace hemlocklead::dispatch {

/// The worker's answer to a call that changes a run.
struct WorkerAnswer {
    enum class Status : uint8_t {
        Done,
        Refused, ///< Nothing was done; `reason` gives the cause.
        None, ///< No answer: the call may have been carried out, or may still be.
    };

    Status status { Status::None };
    std::string reason;
};

/// Parameters of a poll, which reads the state of the worker and extends its leases.
struct WorkerPoll {
    std::optional<int64_t> leaseUntilMs; ///< On the worker's clock; applies to all runs.
    uint64_t acknowledgedEnds { 0 }; ///< The worker discards ends up to this number.
    Duration wait { 0 }; ///< Longest delay of the answer; the worker answers earlier when a run ends.
};

/// State of a run on the worker.
struct WorkerRun {
    RunReport report;
    /// Tail latency of a task with a `tailTargetMs`, in milliseconds. Processor use of any other task, which the agent
    /// does not evaluate.
    int64_t measurement { 0 };
};

struct WorkerState {
    enum class Status : uint8_t {
        Ok,
        Fenced, ///< The worker has seen a higher fence.
        OtherIncarnation, ///< The worker has restarted since its last announcement.
        None, ///< No answer.
    };

    Status status { Status::None };
    int64_t life { 0 };
    int64_t clockMs { 0 };
    std::vector<WorkerRun> running;
    std::vector<RunEnd> ends;
    bool hasMoreEnds { false }; ///< The worker may have further ends, which it lists once these are acknowledged.
};

/// Calls to the worker on the agent's host.
///
/// The fence increases with each process of the agent; the worker rejects a call with a lower fence than it has seen.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;
    virtual void start(
        const RunOrder& order, int64_t leaseUntilMs, uint64_t fence, std::function<void(WorkerAnswer)> done)
        = 0;
    virtual void stop(const RunStop& stop, uint64_t fence, std::function<void(WorkerAnswer)> done) = 0;

    /// Limits a run to `percent` of its full speed.
    virtual void setSpeed(const RunStop& run, int64_t percent, uint64_t fence, std::function<void(WorkerAnswer)> done)
        = 0;
    virtual void poll(const WorkerPoll& poll, uint64_t fence, std::function<void(WorkerState)> done) = 0;
};

/// Status that a worker announces to its agent.
struct WorkerAnnouncement {
    int64_t life { 0 }; ///< Incarnation: start of the worker process, Unix milliseconds.
    uint64_t sequence { 0 }; ///< Increases with each announcement of one incarnation.
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining { false };
    int64_t remainingMs { 0 };
    std::string instance {}; ///< Id of the worker; a restarted worker may have the same one.
};

} // namespace hemlocklead::dispatch
