#pragma once

#include "base/Counters.h"
#include "coordination/AttemptTable.h"
#include "coordination/ReservationLedger.h"
#include "coordination/WorkerService.h"

#include <memory>

namespace hemlocklead {

/// What an attempt's run brings about.
class AttemptListener {
public:
    virtual ~AttemptListener() = default;

    /// The worker runs it, or ran it.
    virtual void attemptStarted(const HeldAttempt& attempt) = 0;

    /// It is proved that the attempt does not run. `refusal` is set when it never ran.
    virtual void attemptEnded(const HeldAttempt& attempt) = 0;

    /// There is a new checkpoint.
    virtual void attemptCheckpointed(const HeldAttempt& attempt) = 0;

    /// A fresh list of the worker's tasks is needed.
    virtual void listWanted() = 0;
};

/// Runs attempts on the worker: starts, renews worker leases, checkpoints, throttles and stops them.
///
/// The worker's list decides what has become of a call without answer.
class AttemptRunner {
public:
    struct Settings {
        Duration workerLease { 6000 }; ///< W
        Duration checkpointInterval { 30'000 }; ///< Of a running task.
    };

    AttemptRunner(const Clock& clock, const Settings& settings, WorkerService& worker, AttemptTable& table,
        ReservationLedger& ledger, Counters& counters, AttemptListener& listener);

    /// Starts an attempt that is in stage Starting and whose amount is committed in the ledger.
    void start(HeldAttempt& attempt);

    /// Stops it, after a last checkpoint if wanted. One that is still starting is stopped once that is decided.
    void stop(HeldAttempt& attempt, EndReason reason, bool checkpoint);

    /// Limits the task to a share of its speed.
    void throttle(HeldAttempt& attempt, double factor);

    /// Does what is due for the attempt.
    void tick(HeldAttempt& attempt);

    /// What the worker's list, asked for at `listedAt`, says about an attempt: it runs, it is over, it is not there.
    void listedRunning(HeldAttempt& attempt, const WorkerTask& task, Instant listedAt);
    void listedOver(HeldAttempt& attempt, const WorkerTask& task);
    void listedAbsent(HeldAttempt& attempt, Instant listedAt);

private:
    void startAnswered(HeldAttempt& attempt, WorkerCall result);
    void becomeRunning(HeldAttempt& attempt);
    void refuse(HeldAttempt& attempt, ErrorKind refusal);
    void tickRunning(HeldAttempt& attempt);
    void renewWorkerLease(HeldAttempt& attempt);
    void checkpointIfDue(HeldAttempt& attempt);
    void enterStop(HeldAttempt& attempt, StopStep step);
    void tickStopping(HeldAttempt& attempt);
    void deleteTask(HeldAttempt& attempt);
    void deleted(HeldAttempt& attempt, WorkerCall result);
    void takeProgress(HeldAttempt& attempt, const WorkerTask& task);
    void finish(HeldAttempt& attempt, EndReason reason, std::string result);

    /// Callback for a worker call that finds the attempt again; does nothing once either is gone.
    WorkerService::Done whenDone(const AttemptKey& key, std::function<void(HeldAttempt&, WorkerCall)> handle);

    const Clock& m_clock;
    Settings m_settings;
    WorkerService& m_worker;
    AttemptTable& m_table;
    ReservationLedger& m_ledger;
    Counters& m_counters;
    AttemptListener& m_listener;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace hemlocklead
