#include "coordination/AttemptRunner.h"

#include "base/Log.h"
#include "coordination/TaskLabels.h"

namespace hemlocklead {

namespace {

    /// Time before a lease renewal or a delete call to the worker is repeated.
    constexpr Duration retryInterval { 500 };

    /// Checkpoint interval while the attempt lease is low; if it lapses, the task is stopped without a last checkpoint.
    constexpr Duration lowLeaseCheckpointInterval { 1000 };

    /// Longest wait for the task list that shows the token of the last checkpoint. The lease margin leaves
    /// no time for a longer wait.
    constexpr Duration readTokenTimeout { 1500 };

    /// The worker lease is renewed after this fraction (1/3) of its length, which leaves time for two more tries.
    constexpr int renewDivisor = 3;

    EndReason endReasonOf(const HeldAttempt& attempt, WorkerTaskState state)
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

WorkerService::ResultCallback AttemptRunner::attemptCallback(
    const AttemptKey& key, std::function<void(HeldAttempt&, WorkerCallResult)> handle)
{
    return [this, key, handle = std::move(handle), alive = std::weak_ptr(m_alive)](WorkerCallResult result) {
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
        attemptCallback(
            attempt.key, [this](HeldAttempt& held, WorkerCallResult result) { handleStartResult(held, result); }));
}

void AttemptRunner::handleStartResult(HeldAttempt& attempt, WorkerCallResult result)
{
    attempt.worker.starting = false;
    if (attempt.stage != AttemptStage::Starting)
        return;
    if (result == WorkerCallResult::Done) {
        markRunning(attempt);
    } else if (result == WorkerCallResult::Unknown) {
        attempt.worker.unansweredAt = m_clock.now();
        m_counters.add("worker_starts_unanswered");
        m_listener.taskListNeeded();
    } else
        refuse(attempt, result == WorkerCallResult::NotSent ? ErrorKind::NotReady : ErrorKind::Internal);
}

void AttemptRunner::markRunning(HeldAttempt& attempt)
{
    attempt.stage = AttemptStage::Running;
    attempt.spec.payload.clear();
    attempt.worker.startedAt = m_clock.now();
    attempt.worker.nextCheckpoint = m_clock.now() + m_settings.checkpointInterval;
    m_counters.add("tasks_started");
    m_listener.attemptStarted(attempt);
    if (attempt.worker.pendingStop)
        stop(attempt, *attempt.worker.pendingStop, true);
}

void AttemptRunner::refuse(HeldAttempt& attempt, ErrorKind refusal)
{
    attempt.refusal = refusal;
    finish(attempt, EndReason::Refused, {});
}

void AttemptRunner::stop(HeldAttempt& attempt, EndReason reason, bool checkpoint)
{
    if (attempt.stage == AttemptStage::Starting)
        attempt.worker.pendingStop = reason;
    if (attempt.stage != AttemptStage::Running)
        return;
    attempt.stage = AttemptStage::Stopping;
    attempt.endReason = reason;
    enterStopStep(attempt, checkpoint ? StopStep::Checkpoint : StopStep::ReadToken);
}

void AttemptRunner::enterStopStep(HeldAttempt& attempt, StopStep step)
{
    attempt.worker.stop = step;
    attempt.worker.stopStepAt = m_clock.now();
    if (step == StopStep::Delete)
        deleteTask(attempt);
    else if (step == StopStep::ReadToken)
        m_listener.taskListNeeded();
    else
        m_worker.checkpoint(
            attempt.key.taskId(), attemptCallback(attempt.key, [this](HeldAttempt& held, WorkerCallResult) {
                if (held.worker.stop == StopStep::Checkpoint)
                    enterStopStep(held, StopStep::ReadToken);
            }));
}

void AttemptRunner::throttle(HeldAttempt& attempt, double factor)
{
    if (attempt.stage != AttemptStage::Running)
        return;
    m_worker.throttle(attempt.key.taskId(), factor,
        attemptCallback(attempt.key, [factor](HeldAttempt& held, WorkerCallResult result) {
            if (result == WorkerCallResult::Done)
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
    m_worker.renew(
        attempt.key.taskId(), lease, attemptCallback(attempt.key, [until](HeldAttempt& held, WorkerCallResult result) {
            held.worker.renewing = false;
            if (result == WorkerCallResult::Done)
                held.worker.leaseUntil = until;
        }));
}

void AttemptRunner::checkpointIfDue(HeldAttempt& attempt)
{
    const Instant now = m_clock.now();
    const bool isLow = AttemptTable::isLeaseLow(attempt, now);
    const Duration early = isLow ? m_settings.checkpointInterval - lowLeaseCheckpointInterval : Duration { 0 };
    if (attempt.worker.checkpointing || now < attempt.worker.nextCheckpoint - early)
        return;
    attempt.worker.checkpointing = true;
    attempt.worker.nextCheckpoint = now + m_settings.checkpointInterval;
    m_worker.checkpoint(attempt.key.taskId(),
        attemptCallback(attempt.key, [](HeldAttempt& held, WorkerCallResult) { held.worker.checkpointing = false; }));
}

void AttemptRunner::tickStopping(HeldAttempt& attempt)
{
    if (attempt.worker.stop == StopStep::Checkpoint)
        return;
    const Duration timeout = attempt.worker.stop == StopStep::ReadToken ? readTokenTimeout : retryInterval;
    if (m_clock.now() - attempt.worker.stopStepAt >= timeout)
        enterStopStep(attempt, StopStep::Delete);
}

void AttemptRunner::deleteTask(HeldAttempt& attempt)
{
    if (attempt.worker.deleting)
        return;
    attempt.worker.deleting = true;
    m_worker.stop(attempt.key.taskId(),
        attemptCallback(
            attempt.key, [this](HeldAttempt& held, WorkerCallResult result) { handleDeleteResult(held, result); }));
}

void AttemptRunner::handleDeleteResult(HeldAttempt& attempt, WorkerCallResult result)
{
    attempt.worker.deleting = false;
    if (result == WorkerCallResult::Done && attempt.stage == AttemptStage::Stopping)
        finish(attempt, attempt.endReason, {});
}

void AttemptRunner::handleListedRunning(HeldAttempt& attempt, const WorkerTask& task, Instant listedAt)
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
    updateProgress(attempt, task);
    if (attempt.stage == AttemptStage::Starting)
        markRunning(attempt);
    if (attempt.worker.stop == StopStep::ReadToken && listedAt >= attempt.worker.stopStepAt)
        enterStopStep(attempt, StopStep::Delete);
}

void AttemptRunner::handleListedEnded(HeldAttempt& attempt, const WorkerTask& task)
{
    attempt.worker.listed = true;
    if (attempt.stage == AttemptStage::Ended) {
        if (attempt.acknowledged)
            deleteTask(attempt);
        return;
    }
    updateProgress(attempt, task);
    if (attempt.stage == AttemptStage::Starting)
        markRunning(attempt);
    finish(attempt, endReasonOf(attempt, task.state), task.result);
}

void AttemptRunner::handleNotListed(HeldAttempt& attempt, Instant listedAt)
{
    attempt.worker.listed = false;
    const WorkerAttemptState& worker = attempt.worker;
    if (attempt.stage == AttemptStage::Starting) {
        const bool decided = worker.unansweredAt && listedAt >= *worker.unansweredAt + m_settings.workerLease;
        if (decided && !worker.starting)
            refuse(attempt, ErrorKind::OutcomeUnknown);
    } else if (attempt.stage != AttemptStage::Ended && listedAt > worker.startedAt)
        finish(attempt, attempt.stage == AttemptStage::Stopping ? attempt.endReason : EndReason::Lost, {});
}

void AttemptRunner::updateProgress(HeldAttempt& attempt, const WorkerTask& task)
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
