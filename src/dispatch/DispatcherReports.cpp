#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    const RunReport* findReport(const std::vector<RunReport>& rows, const std::string& task, uint32_t attempt)
    {
        const auto found = std::ranges::find_if(
            rows, [&](const RunReport& row) { return row.task == task && row.attempt == attempt; });
        return found == rows.end() ? nullptr : &*found;
    }

    /// Whether the order to start the run is later than those that the agent had settled when it sent its report.
    bool isUnderWay(const HostRun& run, uint64_t settledOrders)
    {
        return run.stage == HostRun::Stage::Ordered && run.sequence > settledOrders;
    }

    /// A run is left to finish on a draining host if it is expected to end at least this long before the host leaves.
    constexpr int64_t drainMarginMs = 500;

    /// A latency-critical task is slow right after its start even without interference; its tail is ignored this long.
    constexpr Duration latencyCriticalWarmUp { 3000 };

    /// A faulty worker fails its runs sooner than this after their start (observed: 200 ms).
    constexpr Duration faultyRunTime { 1000 };

    /// Whether the run shows that its host does not fail what it starts. A run that this owner has not ordered may be
    /// older than the fault of the host, and a repeated reading does not show that the run is still at work.
    bool showsSoundHost(const HostState& host, const HostRun& run, int64_t percent)
    {
        constexpr int64_t atWorkPercent = 100;
        return run.longRunning && run.stage == HostRun::Stage::Ordered && percent >= atWorkPercent
            && host.clockReadAt - run.seenAt >= faultyRunTime;
    }

} // namespace

void Dispatcher::hostReported(const std::string& name, const HostReport& report)
{
    HostState* found = m_active ? m_hosts.find(name) : nullptr;
    if (!found || !found->connected)
        return;
    HostState& host = *found;
    if (report.epochSeen > m_writer.epoch()) {
        LogEvent(LogLevel::Warning, "newer_owner_seen").field("host", name).field("epoch", report.epochSeen);
        return;
    }
    if (!host.reported && !report.full && !report.silent)
        return;
    const bool stateChanged = report.silent != host.last.silent || report.draining != host.last.draining;
    const bool isNewReading
        = host.clockReadAt == Instant {} || report.life != host.last.life || report.clockMs != host.last.clockMs;
    // Until a worker refuses former owners and late calls to its former incarnations, either may still start runs.
    const bool hasSeenFence = report.epochFenced && report.epochSeen == m_writer.epoch();
    const bool isFinal = report.full && (!report.fencesEpochs || hasSeenFence);
    if (isFinal && report.life != 0 && report.life != host.life)
        workerLifeChanged(host, report);
    if (hasSeenFence && report.life != host.fencedLife) {
        host.fencedLife = report.life;
        if (report.leaseInherited)
            host.inheritedLeaseEnd = m_clock.now() + m_settings.maxLease + m_settings.leaseMargin;
    }
    // An agent of an earlier build has taken over: it raises its fence without regard to epochs.
    if (!report.fencesEpochs && host.fencedLife != 0) {
        host.fencedLife = 0;
        host.leaseEnd = std::max(host.leaseEnd, m_formerLeasesEnd);
    }
    host.last = report;
    host.last.running.clear();
    host.last.pending.clear();
    host.last.ends.clear();
    host.last.refusals.clear();
    host.reportedAt = m_clock.now();
    if (isNewReading)
        updateLeaseEnd(host);
    if (report.life == host.life) {
        for (const RunEnd& end : report.ends)
            applyEnd(host, end);
    }
    for (const RunRefusal& refusal : report.refusals)
        applyRefusal(host, refusal);
    if (report.lapsed && host.showsAbsence())
        markRunsLost(host, "worker_lapsed", report.settledOrders);
    else if (report.full && !report.silent)
        reconcile(host, report);
    learnInterference(host, report);
    host.reported = true;
    if (report.draining)
        evacuateDrainingHost(host);
    if (stateChanged) {
        LogEvent(LogLevel::Info, "host_state")
            .field("host", name)
            .field("life", report.life)
            .field("draining", report.draining ? 1 : 0)
            .field("remaining_ms", report.remainingMs)
            .field("silent", report.silent ? 1 : 0);
    }
}

void Dispatcher::updateLeaseEnd(HostState& host)
{
    // An agent that obeys this owner extends leases only from readings of the worker's clock that this owner echoes,
    // and no earlier process of the agent can have used a later reading than this one.
    host.clockReadAt = m_clock.now();
    const Instant ownEnd = host.clockReadAt + m_settings.lease + m_settings.leaseMargin;
    // Until the worker refuses former owners, a later process of the agent may obey one of them again.
    host.leaseEnd = std::max(ownEnd, host.isFenced() ? host.inheritedLeaseEnd : host.leaseEnd);
}

void Dispatcher::learnInterference(HostState& host, const HostReport& report)
{
    const Instant now = m_clock.now();
    host.forecastsAreStale = true;
    host.bestEffortUsage.update(host.bestEffortCores(), now);
    if (host.bestEffortUsage.isSettling())
        return;
    for (const RunReport& row : report.running) {
        const auto run = host.runs.find(row.task);
        // A run may be reported for a while after its job has ended.
        const bool isWarm = run != host.runs.end() && run->second.seen && m_openJobs.contains(run->second.task.job)
            && now - run->second.seenAt >= latencyCriticalWarmUp;
        if (isWarm && row.tailPerMille > 0) {
            const double ratio = static_cast<double>(row.tailPerMille) / 1000;
            m_interference.observe(run->second.service(), ratio, host.bestEffortUsage.cores(), now);
        }
    }
    sendInterference(host);
}

void Dispatcher::sendInterference(HostState& host)
{
    // Smaller changes do not affect the agent's decisions.
    constexpr double minChange = InterferenceModel::priorHeadroomPerCore / 5;
    std::set<std::string> latencyCriticalImages;
    std::set<std::string> bestEffortImages;
    for (const auto& [task, run] : host.runs) {
        if (run.longRunning)
            latencyCriticalImages.insert(run.image);
        if (run.bestEffort)
            bestEffortImages.insert(run.image);
    }
    for (const std::string& latencyCriticalImage : latencyCriticalImages) {
        for (const std::string& bestEffortImage : bestEffortImages) {
            const double headroomPerCore = m_interference.pair(latencyCriticalImage, bestEffortImage).headroomPerCore;
            const auto sent
                = host.sentInterference
                      .try_emplace({ latencyCriticalImage, bestEffortImage }, InterferenceModel::priorHeadroomPerCore)
                      .first;
            if (std::abs(headroomPerCore - sent->second) < minChange)
                continue;
            sent->second = headroomPerCore;
            host.outbox.disturbances.push_back({ latencyCriticalImage, bestEffortImage, headroomPerCore });
        }
    }
}

void Dispatcher::workerLifeChanged(HostState& host, const HostReport& report)
{
    LogEvent(LogLevel::Info, "worker_life")
        .field("host", host.name)
        .field("life", report.life)
        .field("former", host.life)
        .field("service", report.service)
        .field("cpu_milli", report.capacity.cpuMilli)
        .field("runs", static_cast<uint64_t>(host.runs.size()));
    host.life = report.life;
    host.endsApplied = 0;
    host.endsDurable = 0;
    host.outbox.acknowledgedEnds = 0;
    std::vector<std::string> lost;
    for (const auto& [name, run] : host.runs) {
        Job* job = m_registry.find(run.task.job);
        const TaskState* task = job ? job->find(run.task) : nullptr;
        const bool listed
            = findReport(report.running, name, run.attempt) || findReport(report.pending, name, run.attempt);
        if (run.isOrdered() && !listed && (!task || task->life != report.life))
            lost.push_back(name);
    }
    for (const std::string& name : lost)
        markRunLost(host, name, "worker_restarted");
}

void Dispatcher::applyRefusal(HostState& host, const RunRefusal& refusal)
{
    const auto run = host.runs.find(refusal.task);
    if (run == host.runs.end() || run->second.attempt != refusal.attempt)
        return;
    Job* job = m_registry.find(run->second.task.job);
    if (TaskState* task = job ? job->find(run->second.task) : nullptr)
        task->notBefore = m_clock.now() + m_settings.retryDelay;
    if (refusal.reason == refusedWhilePaused)
        host.bestEffortRefusedAt = m_clock.now();
    m_counters.add("starts_refused{reason=\"" + refusal.reason + "\"}");
    markRunLost(host, refusal.task, refusal.reason);
}

void Dispatcher::applyEnd(HostState& host, const RunEnd& end)
{
    if (end.number <= host.endsApplied)
        return;
    host.endsApplied = end.number;
    m_pendingAcks.push_back({ host.name, host.life, end.number });
    std::optional<HostRun> fullRun;
    if (const auto run = host.runs.find(end.task); run != host.runs.end() && run->second.attempt == end.attempt) {
        if (run->second.fullRunOrderedAt)
            fullRun = run->second;
        m_hosts.remove(host, end.task);
    }
    const std::optional<TaskId> id = parseTaskId(end.task);
    Job* job = id ? m_registry.find(id->job) : nullptr;
    TaskState* task = job ? job->find(*id) : nullptr;
    const bool isAwaited = task && task->awaitsEnd(end.attempt);
    LogEvent(LogLevel::Info, "run_ended")
        .field("host", host.name)
        .field("task", end.task)
        .field("attempt", end.attempt)
        .field("reason", end.reason)
        .field("number", end.number)
        .field("applied", isAwaited ? 1 : 0)
        .field("epoch", m_writer.epoch())
        .field("life", host.life);
    if (!isAwaited)
        return;
    if (end.reason == "done" && fullRun)
        learnDuration(host, *fullRun, job->spec().steps[id->step]);
    taskEnded(*job, *task, *id, end, host);
}

void Dispatcher::noteRunBegan(Job& job)
{
    // A start that was ordered may still be refused or revoked; the job counts as queued until a run is seen.
    if (job.hasStarted())
        return;
    job.setPhase(JobPhase::Running);
    markDirty(job);
}

void Dispatcher::taskEnded(Job& job, TaskState& task, const TaskId& id, const RunEnd& end, HostState& host)
{
    const Instant now = m_clock.now();
    job.noteEvent(now);
    // The end of a run that was declared lost may be reported long after it.
    if (task.phase == TaskPhase::Placed)
        task.lastRunAt = now;
    noteRunBegan(job);
    markDirty(job);
    if (!end.checkpoint.empty())
        task.checkpoint = end.checkpoint;
    const bool longRunning = job.spec().steps[id.step].longRunning;
    if (end.reason == "failed")
        return taskFailed(job, task, id, host);
    if (end.reason == "done" && !longRunning) {
        m_ejector.noteSuccess(host.name);
        noteWorkDone(job.spec().steps[id.step]);
        job.setTaskPhase(id, TaskPhase::Done);
        return finishIfDone(job);
    }
    job.setTaskPhase(id, TaskPhase::Ended);
}

void Dispatcher::taskFailed(Job& job, TaskState& task, const TaskId& id, HostState& host)
{
    const Instant now = m_clock.now();
    ++task.failures;
    m_ejector.noteFailure(host.name, job.id(), m_hosts.hosts().size(), now);
    const bool longRunning = job.spec().steps[id.step].longRunning;
    if (longRunning || task.failures < job.policy().maxAttempts) {
        job.setTaskPhase(id, TaskPhase::Ended);
        return;
    }
    job.setTaskPhase(id, TaskPhase::Failed);
    if (!isFinal(job.phase()))
        endJob(job, JobPhase::Failed);
}

void Dispatcher::finishIfDone(Job& job)
{
    if (!isFinal(job.phase()) && job.allOccurrencesDone())
        endJob(job, JobPhase::Completed);
}

void Dispatcher::endJob(Job& job, JobPhase phase)
{
    job.setPhase(phase);
    stopRuns(job);
    m_openJobs.erase(job.id());
    m_plans.erase(job.id());
    m_waitingSteps.removeJob(job.id());
    m_interference.removeJob(job.id());
    m_endedJobs.emplace(job.id(), m_clock.now());
    markDirty(job);
    LogEvent(LogLevel::Info, "job_ended")
        .field("job", job.id())
        .field("queue", job.policy().queue)
        .field("phase", phaseName(phase))
        .field("after_ms", static_cast<int64_t>((m_clock.now() - job.seenAt()).count()));
}

void Dispatcher::stopRuns(Job& job)
{
    job.forEachTask([&](const TaskId& id, const TaskState& task) {
        if (task.phase != TaskPhase::Placed)
            return;
        HostState& host = m_hosts.host(task.host);
        if (const auto run = host.runs.find(id.text()); run != host.runs.end())
            stopRun(host, run->second);
    });
}

void Dispatcher::stopRun(HostState& host, HostRun& run)
{
    run.stopping = true;
    // A run that has not been ordered yet is dropped in queueStartOrder() instead, once its record is durable.
    if (!run.isOrdered() || !host.connected)
        return;
    run.stopSentAt = m_clock.now();
    host.outbox.stops.push_back({ run.task.text(), run.attempt });
}

void Dispatcher::reconcile(HostState& host, const HostReport& report)
{
    for (const RunReport& row : report.running)
        reconcileRun(host, row);
    // A run that is neither listed nor under way has ended. Whether it is lost shows only in the complete list of ends.
    if (report.hasMoreEnds || !host.showsAbsence())
        return;
    std::vector<std::string> lost;
    for (const auto& [name, run] : host.runs) {
        if (!run.isOrdered() || isUnderWay(run, report.settledOrders) || findReport(report.running, name, run.attempt)
            || findReport(report.pending, name, run.attempt))
            continue;
        lost.push_back(name);
    }
    for (const std::string& name : lost)
        markRunLost(host, name, "not_running");
}

void Dispatcher::reconcileRun(HostState& host, const RunReport& row)
{
    const std::optional<TaskId> id = parseTaskId(row.task);
    Job* job = id ? m_registry.find(id->job) : nullptr;
    TaskState* task = job ? job->find(*id) : nullptr;
    const bool sameRun = task && task->attempt == row.attempt && task->host == host.name;
    if (sameRun && task->phase == TaskPhase::Waiting && !isFinal(job->phase())) {
        // The run was declared lost, but no other run of the task has been started since.
        job->setTaskPhase(*id, TaskPhase::Placed);
        markDirty(*job);
    }
    if (!sameRun || task->phase != TaskPhase::Placed) {
        host.outbox.stops.push_back({ row.task, row.attempt });
        LogEvent(LogLevel::Warning, "stray_run_stopped")
            .field("host", host.name)
            .field("task", row.task)
            .field("attempt", row.attempt)
            .field("recorded_attempt", task ? task->attempt : 0)
            .field("recorded_host", task ? task->host : std::string())
            .field("epoch", m_writer.epoch())
            .field("life", host.life);
        return;
    }
    auto run = host.runs.find(row.task);
    if (run == host.runs.end()) {
        m_hosts.add(host, *id, row.attempt, job->spec().steps[id->step], HostRun::Stage::Adopted);
        run = host.runs.find(row.task);
    }
    HostRun& known = run->second;
    if (!known.described && known.stage == HostRun::Stage::Adopted) {
        host.outbox.known.push_back(makeRunOrder(*job, *id, *task));
        known.described = true;
    }
    if (!known.seen)
        known.seenAt = m_clock.now();
    known.seen = true;
    noteRunBegan(*job);
    task->lastRunAt = m_clock.now();
    known.tailPerMille = row.tailPerMille;
    host.setSpeed(known, row.pace);
    moveIfPaused(host, known, *job, row);
    task->percent = row.percent;
    if (showsSoundHost(host, known, row.percent))
        m_ejector.noteAtWork(host.name, known.seenAt);
    if (!row.checkpoint.empty())
        task->checkpoint = row.checkpoint;
    const bool shouldStop = known.stopping || isFinal(job->phase());
    if (shouldStop && m_clock.now() - known.stopSentAt >= m_settings.stopRetryInterval)
        stopRun(host, known);
}

void Dispatcher::moveIfPaused(HostState& host, HostRun& run, Job& job, const RunReport& row)
{
    const Instant now = m_clock.now();
    if (row.pace > 0) {
        run.pausedSince.reset();
        return;
    }
    if (!run.pausedSince)
        run.pausedSince = now;
    const StepSpec& step = job.spec().steps[run.task.step];
    // Without checkpoints a move would discard the progress.
    if (!step.checkpoints || run.stopping)
        return;
    TaskState& task = *job.find(run.task);
    if (task.moves >= m_settings.maxMoves || now - *run.pausedSince < m_settings.moveTime)
        return;
    const StepState& state = job.occurrence(run.task.occurrence).steps[run.task.step];
    const PlacementContext context = placementContext();
    if (!chooseHost(step, constraintsOf(job, state, step), context,
            bestEffortLimits(job, run.task.occurrence, run.task.step, now)))
        return;
    ++task.moves;
    m_counters.add("runs_moved");
    m_counters.set("moves_of_one_task_max", std::max<int64_t>(m_counters.value("moves_of_one_task_max"), task.moves));
    LogEvent(LogLevel::Info, "run_moved")
        .field("host", host.name)
        .field("task", row.task)
        .field("attempt", row.attempt)
        .field("paused_ms", static_cast<int64_t>((now - *run.pausedSince).count()));
    stopRun(host, run);
}

void Dispatcher::markRunLost(HostState& host, const std::string& name, std::string_view reason)
{
    const auto found = host.runs.find(name);
    if (found == host.runs.end())
        return;
    const HostRun run = found->second;
    m_hosts.remove(host, name);
    LogEvent(LogLevel::Info, "run_lost")
        .field("host", host.name)
        .field("task", name)
        .field("attempt", run.attempt)
        .field("reason", reason)
        .field("epoch", m_writer.epoch())
        .field("life", host.life)
        .field("order", run.sequence)
        .field("adopted", run.stage == HostRun::Stage::Adopted ? 1 : 0)
        .field("report_age_ms", static_cast<int64_t>((m_clock.now() - host.reportedAt).count()))
        .field("clock_age_ms", static_cast<int64_t>((m_clock.now() - host.clockReadAt).count()));
    m_counters.add("runs_lost{reason=\"" + std::string(reason) + "\"}");
    Job* job = m_registry.find(run.task.job);
    TaskState* task = job ? job->find(run.task) : nullptr;
    if (!task || task->attempt != run.attempt || task->phase != TaskPhase::Placed)
        return;
    job->setTaskPhase(run.task, TaskPhase::Waiting);
    markDirty(*job);
}

void Dispatcher::markRunsLost(HostState& host, std::string_view reason, uint64_t settledOrders)
{
    std::vector<std::string> lost;
    for (const auto& [name, run] : host.runs) {
        if (run.isOrdered() && !isUnderWay(run, settledOrders))
            lost.push_back(name);
    }
    for (const std::string& name : lost)
        markRunLost(host, name, reason);
}

void Dispatcher::evacuateDrainingHost(HostState& host)
{
    for (auto& [name, run] : host.runs) {
        if (run.stopping)
            continue;
        Job* job = m_registry.find(run.task.job);
        if (!job)
            continue;
        const StepSpec& step = job->spec().steps[run.task.step];
        const TaskState* task = job->find(run.task);
        const int64_t leftMs = step.estimateMs * (100 - (task ? task->percent : 0)) / 100;
        const bool finishesInTime = !step.longRunning && leftMs + drainMarginMs < host.last.remainingMs;
        if (finishesInTime)
            continue;
        // A stop is the last chance to save a checkpoint. Without checkpoints the run continues: it may still finish.
        if (step.longRunning || step.checkpoints)
            stopRun(host, run);
    }
}

} // namespace hemlocklead::dispatch
