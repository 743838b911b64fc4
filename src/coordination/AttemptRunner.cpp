#include "coordination/AttemptRunner.h"

#include "base/Log.h"
#include "coordination/TaskLabels.h"

namespace hemlocklead {

namespace {

    /// Between two calls to the worker for one purpose.
    constexpr Duration retryInterval { 500 };

    /// Between checkpoints while the attempt lease is low.
    constexpr Duration lowLeaseCheckpointInterval { 1000 };

    /// Longest wait for the list that shows a last checkpoint; the lease margin leaves no room for more.
    constexpr Duration readTokenTimeout { 1500 };

    /// Share of the worker lease after which it is renewed: leaves two more tries before it ends.
    constexpr int renewDivisor = 3;

    EndReason overReason(const HeldAttempt& attempt, WorkerTaskState state)
    {
        if (state == WorkerTaskState::Finished)
            return EndReason::Finished;
        if (state == WorkerTaskState::Failed)
            return EndReason::Failed;
        return attempt.stage == AttemptStage::Stopping ? attempt.endReason : EndReason::Lost;
    }

    WorkerTaskSpec workerSpec(const HeldAttempt& attempt, Duration lease)
    {
        return { attempt.key.taskId(), attempt.spec.name, attempt.spec.payload, attempt.spec.resources, lease,
            attempt.token, taskLabels(attempt.shard, attempt.spec) };
    }

} // namespace

AttemptRunner::AttemptRunner(const Clock& clock, const Settings& settings, WorkerService& worker, AttemptTable& table,
    ReservationLedger& ledger, Counters& counters, AttemptListener& listener)
    : m_clock(clock)
    , m_settings(settings)
    , m_worker(worker)
    , m_table(table)
    , m_ledger(ledger)
    , m_counters(counters)
    , m_listener(listener)
{
}

WorkerService::Done AttemptRunner::whenDone(const AttemptKey& key, std::function<void(HeldAttempt&, WorkerCall)> handle)
{
    return [this, key, handle = std::move(handle), alive = std::weak_ptr(m_alive)](WorkerCall result) {
        if (alive.expired())
            return;
        if (HeldAttempt* attempt = m_table.find(key))
            handle(*attempt, result);
    };
}

void AttemptRunner::start(HeldAttempt& attempt)
{
    const Instant now = m_clock.now();
    const Duration lease = m_table.workerLease(attempt, now);
    attempt.worker.starting = true;
    attempt.worker.leaseUntil = now + lease;
    attempt.checkpointProgress = 0;
    m_worker.start(workerSpec(attempt, lease),
        whenDone(attempt.key, [this](HeldAttempt& held, WorkerCall result) { startAnswered(held, result); }));
}

void AttemptRunner::startAnswered(HeldAttempt& attempt, WorkerCall result)
{
    attempt.worker.starting = false;
    if (attempt.stage != AttemptStage::Starting)
        return;
    if (result == WorkerCall::Done) {
        becomeRunning(attempt);
    } else if (result == WorkerCall::Unknown) {
        attempt.worker.unansweredAt = m_clock.now();
        m_counters.add("worker_starts_unanswered");
        m_listener.listWanted();
    } else
        refuse(attempt, result == WorkerCall::NotSent ? ErrorKind::NotReady : ErrorKind::Internal);
}

void AttemptRunner::becomeRunning(HeldAttempt& attempt)
{
    attempt.stage = AttemptStage::Running;
    attempt.spec.payload.clear();
    attempt.worker.startedAt = m_clock.now();
    attempt.worker.nextCheckpoint = m_clock.now() + m_settings.checkpointInterval;
    m_counters.add("tasks_started");
    m_listener.attemptStarted(attempt);
    if (attempt.worker.stopWanted)
        stop(attempt, *attempt.worker.stopWanted, true);
}

void AttemptRunner::refuse(HeldAttempt& attempt, ErrorKind refusal)
{
    attempt.refusal = refusal;
    finish(attempt, EndReason::Refused, {});
}

void AttemptRunner::stop(HeldAttempt& attempt, EndReason reason, bool checkpoint)
{
    if (attempt.stage == AttemptStage::Starting)
        attempt.worker.stopWanted = reason;
    if (attempt.stage != AttemptStage::Running)
        return;
    attempt.stage = AttemptStage::Stopping;
    attempt.endReason = reason;
    enterStop(attempt, checkpoint ? StopStep::Checkpoint : StopStep::ReadToken);
}

void AttemptRunner::enterStop(HeldAttempt& attempt, StopStep step)
{
    attempt.worker.stop = step;
    attempt.worker.stopStepAt = m_clock.now();
    if (step == StopStep::Delete)
        deleteTask(attempt);
    else if (step == StopStep::ReadToken)
        m_listener.listWanted();
    else
        m_worker.checkpoint(attempt.key.taskId(), whenDone(attempt.key, [this](HeldAttempt& held, WorkerCall) {
            if (held.worker.stop == StopStep::Checkpoint)
                enterStop(held, StopStep::ReadToken);
        }));
}

void AttemptRunner::throttle(HeldAttempt& attempt, double factor)
{
    if (attempt.stage != AttemptStage::Running)
        return;
    m_worker.throttle(
        attempt.key.taskId(), factor, whenDone(attempt.key, [factor](HeldAttempt& held, WorkerCall result) {
            if (result == WorkerCall::Done)
                held.worker.throttle = factor;
        }));
}

void AttemptRunner::tick(HeldAttempt& attempt)
{
    if (attempt.stage == AttemptStage::Running)
        tickRunning(attempt);
    else if (attempt.stage == AttemptStage::Stopping)
        tickStopping(attempt);
}

void AttemptRunner::tickRunning(HeldAttempt& attempt)
{
    if (m_table.isLapsed(attempt, m_clock.now())) {
        LogEvent(LogLevel::Warning, "attempt_lease_over").field("task", attempt.key.taskId());
        m_counters.add("attempts_lapsed");
        stop(attempt, EndReason::Lost, false);
        return;
    }
    renewWorkerLease(attempt);
    checkpointIfDue(attempt);
}

void AttemptRunner::renewWorkerLease(HeldAttempt& attempt)
{
    const Instant now = m_clock.now();
    const Duration lease = m_table.workerLease(attempt, now);
    const Instant until = now + lease;
    const bool due = now >= attempt.worker.leaseUntil - m_settings.workerLease * (renewDivisor - 1) / renewDivisor
        && now >= attempt.worker.nextRenew;
    if (attempt.worker.renewing || !due || lease <= Duration { 0 } || until <= attempt.worker.leaseUntil)
        return;
    attempt.worker.renewing = true;
    attempt.worker.nextRenew = now + retryInterval;
    m_worker.renew(attempt.key.taskId(), lease, whenDone(attempt.key, [until](HeldAttempt& held, WorkerCall result) {
        held.worker.renewing = false;
        if (result == WorkerCall::Done)
            held.worker.leaseUntil = until;
    }));
}

void AttemptRunner::checkpointIfDue(HeldAttempt& attempt)
{
    const Instant now = m_clock.now();
    const bool low = AttemptTable::isLeaseLow(attempt, now);
    const Duration early = low ? m_settings.checkpointInterval - lowLeaseCheckpointInterval : Duration { 0 };
    if (attempt.worker.checkpointing || now < attempt.worker.nextCheckpoint - early)
        return;
    attempt.worker.checkpointing = true;
    attempt.worker.nextCheckpoint = now + m_settings.checkpointInterval;
    m_worker.checkpoint(attempt.key.taskId(),
        whenDone(attempt.key, [](HeldAttempt& held, WorkerCall) { held.worker.checkpointing = false; }));
}

void AttemptRunner::tickStopping(HeldAttempt& attempt)
{
    if (attempt.worker.stop == StopStep::Checkpoint)
        return;
    const Duration patience = attempt.worker.stop == StopStep::ReadToken ? readTokenTimeout : retryInterval;
    if (m_clock.now() - attempt.worker.stopStepAt >= patience)
        enterStop(attempt, StopStep::Delete);
}

void AttemptRunner::deleteTask(HeldAttempt& attempt)
{
    if (attempt.worker.deleting)
        return;
    attempt.worker.deleting = true;
    m_worker.stop(attempt.key.taskId(),
        whenDone(attempt.key, [this](HeldAttempt& held, WorkerCall result) { deleted(held, result); }));
}

void AttemptRunner::deleted(HeldAttempt& attempt, WorkerCall result)
{
    attempt.worker.deleting = false;
    if (result == WorkerCall::Done && attempt.stage == AttemptStage::Stopping)
        finish(attempt, attempt.endReason, {});
}

void AttemptRunner::listedRunning(HeldAttempt& attempt, const WorkerTask& task, Instant listedAt)
{
    attempt.worker.listed = true;
    if (attempt.stage == AttemptStage::Ended) {
        if (listedAt <= attempt.endedAt)
            return;
        LogEvent(LogLevel::Error, "ended_task_runs").field("task", task.id);
        m_counters.add("ended_tasks_running");
        deleteTask(attempt);
        return;
    }
    takeProgress(attempt, task);
    if (attempt.stage == AttemptStage::Starting)
        becomeRunning(attempt);
    if (attempt.worker.stop == StopStep::ReadToken && listedAt >= attempt.worker.stopStepAt)
        enterStop(attempt, StopStep::Delete);
}

void AttemptRunner::listedOver(HeldAttempt& attempt, const WorkerTask& task)
{
    attempt.worker.listed = true;
    if (attempt.stage == AttemptStage::Ended) {
        if (attempt.acknowledged)
            deleteTask(attempt);
        return;
    }
    takeProgress(attempt, task);
    if (attempt.stage == AttemptStage::Starting)
        becomeRunning(attempt);
    finish(attempt, overReason(attempt, task.state), task.result);
}

void AttemptRunner::listedAbsent(HeldAttempt& attempt, Instant listedAt)
{
    attempt.worker.listed = false;
    const WorkerSide& worker = attempt.worker;
    if (attempt.stage == AttemptStage::Starting) {
        const bool decided = worker.unansweredAt && listedAt >= *worker.unansweredAt + m_settings.workerLease;
        if (decided && !worker.starting)
            refuse(attempt, ErrorKind::OutcomeUnknown);
    } else if (attempt.stage != AttemptStage::Ended && listedAt > worker.startedAt)
        finish(attempt, attempt.stage == AttemptStage::Stopping ? attempt.endReason : EndReason::Lost, {});
}

void AttemptRunner::takeProgress(HeldAttempt& attempt, const WorkerTask& task)
{
    attempt.progress = task.progress;
    attempt.checkpointProgress = task.checkpointProgress;
    if (task.checkpoint.empty() || task.checkpoint == attempt.token)
        return;
    attempt.token = task.checkpoint;
    m_listener.attemptCheckpointed(attempt);
}

void AttemptRunner::finish(HeldAttempt& attempt, EndReason reason, std::string result)
{
    m_table.end(attempt, reason, std::move(result), m_clock.now());
    m_ledger.release(attempt.key.taskId());
    m_counters.add("tasks_ended{reason=\"" + Json(reason).get<std::string>() + "\"}");
    m_listener.attemptEnded(attempt);
}

} // namespace hemlocklead
