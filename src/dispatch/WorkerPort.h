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

/// The incarnation of the worker that a call is meant for, and the fence that the agent uses with it.
struct WorkerIncarnation {
    int64_t life { 0 }; ///< Unix milliseconds of its start. 0 for a call to whichever incarnation receives it.
    uint64_t fence { 0 }; ///< The worker rejects a call with a lower fence than it has seen.
};

/// Calls to the worker on the agent's host.
///
/// A worker may restart under the same id and address. Numbers of ends, readings of its clock and runs belong to one
/// incarnation, so a call is sent only on a connection on which the incarnation that it is meant for has answered. The
/// call is refused with `restartedReason`, or answered with `Status::OtherIncarnation`, when another one answers. A
/// call without an answer may nevertheless be carried out by a later incarnation, unless that one has seen a higher
/// fence.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;
    virtual void start(const WorkerIncarnation& incarnation, const RunOrder& order, int64_t leaseUntilMs,
        std::function<void(WorkerAnswer)> done)
        = 0;
    virtual void stop(const WorkerIncarnation& incarnation, const RunStop& stop, std::function<void(WorkerAnswer)> done)
        = 0;

    /// Limits a run to `percent` of its full speed.
    virtual void setSpeed(const WorkerIncarnation& incarnation, const RunStop& run, int64_t percent,
        std::function<void(WorkerAnswer)> done)
        = 0;
    virtual void poll(
        const WorkerIncarnation& incarnation, const WorkerPoll& poll, std::function<void(WorkerState)> done)
        = 0;
};

/// Reason of a refused call that was meant for a former incarnation of the worker.
constexpr const char* restartedReason = "worker_restarted";

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
