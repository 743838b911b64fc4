#pragma once

#include "base/Counters.h"
#include "coordination/AttemptTable.h"
#include "coordination/ReservationLedger.h"
#include "coordination/WorkerService.h"

#include <memory>

namespace hemlocklead {

/// Receives the state changes of attempts that an `AttemptRunner` runs.
class AttemptListener {
public:
    virtual ~AttemptListener() = default;

    /// The worker runs the attempt, or has run it.
    virtual void attemptStarted(const HeldAttempt& attempt) = 0;

    /// The attempt provably does not run any more. `refusal` is set when it never ran.
    virtual void attemptEnded(const HeldAttempt& attempt) = 0;

    /// The worker reported a new checkpoint token.
    virtual void attemptCheckpointed(const HeldAttempt& attempt) = 0;

    /// The runner needs a new list of the worker's tasks.
    virtual void taskListNeeded() = 0;
};

/// Runs attempts on the worker: starts, renews worker leases, checkpoints, throttles and stops them.
///
/// When a call to the worker is not answered, a later task list of the worker decides its outcome.
class AttemptRunner {
public:
    struct Settings {
        Duration workerLease { 6000 }; ///< Longest lease given to the worker (W).
        Duration checkpointInterval { 30'000 }; ///< Between checkpoints of a running task.
    };

    AttemptRunner(const Clock& clock, const Settings& settings, WorkerService& worker, AttemptTable& table,
        ReservationLedger& ledger, Counters& counters, AttemptListener& listener);

    /// Starts an attempt that is in stage Starting and whose resources are committed in the ledger.
    void start(HeldAttempt& attempt);

    /// Stops a running attempt, after a last checkpoint if `checkpoint` is set. One that is still starting is
    /// checkpointed and stopped once it runs.
    void stop(HeldAttempt& attempt, EndReason reason, bool checkpoint);

    /// Limits the task to the share `factor` of its full speed.
    void throttle(HeldAttempt& attempt, double factor);

    /// Renews the worker lease, checkpoints and advances a stop, as far as due.
    void tick(HeldAttempt& attempt);

    /// Apply the worker's task list to an attempt that it shows as running or as ended, or that it does not contain.
    /// `listedAt` is the time at which the list was requested.
    void handleListedRunning(HeldAttempt& attempt, const WorkerTask& task, Instant listedAt);
    void handleListedEnded(HeldAttempt& attempt, const WorkerTask& task);
    void handleNotListed(HeldAttempt& attempt, Instant listedAt);

private:
    void handleStartResult(HeldAttempt& attempt, WorkerCallResult result);
    void markRunning(HeldAttempt& attempt);
    void refuse(HeldAttempt& attempt, ErrorKind refusal);
    void tickRunning(HeldAttempt& attempt);
    void renewWorkerLease(HeldAttempt& attempt);
    void checkpointIfDue(HeldAttempt& attempt);
    void enterStopStep(HeldAttempt& attempt, StopStep step);
    void tickStopping(HeldAttempt& attempt);
    void deleteTask(HeldAttempt& attempt);
    void handleDeleteResult(HeldAttempt& attempt, WorkerCallResult result);
    void updateProgress(HeldAttempt& attempt, const WorkerTask& task);
    void finish(HeldAttempt& attempt, EndReason reason, std::string result);

    /// Wraps `handle` for a call to the worker: looks the attempt up again, and does nothing if it or this object no
    /// longer exists.
    WorkerService::ResultCallback attemptCallback(
        const AttemptKey& key, std::function<void(HeldAttempt&, WorkerCallResult)> handle);

    const Clock& m_clock;
    Settings m_settings;
    WorkerService& m_worker;
    AttemptTable& m_table;
    ReservationLedger& m_ledger;
    Counters& m_counters;
    AttemptListener& m_listener;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) }; ///< Callbacks hold it weakly.
};

} // namespace hemlocklead
