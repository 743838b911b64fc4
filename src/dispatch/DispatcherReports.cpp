#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    const RunReport* findRow(const std::vector<RunReport>& rows, const std::string& task, uint32_t attempt)
    {
        const auto found = std::ranges::find_if(
            rows, [&](const RunReport& row) { return row.task == task && row.attempt == attempt; });
        return found == rows.end() ? nullptr : &*found;
    }

    /// A task whose end is nearer than this is left to finish on a host that drains.
    constexpr int64_t drainSlackMs = 500;

    /// A serving task that has just begun is slow by itself.
    constexpr Duration servingWarmUp { 3000 };

} // namespace

void Dispatcher::hostReported(const std::string& name, const HostReport& report)
{
    HostView* found = m_active ? m_hosts.find(name) : nullptr;
    if (!found || !found->connected)
        return;
    HostView& host = *found;
    if (report.epochSeen > m_writer.epoch()) {
        LogEvent(LogLevel::Warning, "newer_owner_seen").field("host", name).field("epoch", report.epochSeen);
        return;
    }
    if (!host.reported && !report.full && !report.silent)
        return;
    const bool silenceChanged = report.silent != host.last.silent || report.draining != host.last.draining;
    if (report.life != 0 && report.life != host.last.life)
        lifeChanged(host, report);
    host.last = report;
    host.last.running.clear();
    host.last.pending.clear();
    host.last.ends.clear();
    host.last.refusals.clear();
    host.reportedAt = m_clock.now();
    for (const RunEnd& end : report.ends)
        applyEnd(host, end);
    for (const RunRefusal& refusal : report.refusals)
        applyRefusal(host, refusal);
    if (report.lapsed)
        loseRuns(host, "worker_lapsed");
    else if (report.full && !report.silent)
        reconcile(host, report);
    learnDisturbance(host, report);
    host.reported = true;
    if (report.draining)
        evacuateDraining(host);
    if (silenceChanged) {
        LogEvent(LogLevel::Info, "host_state")
            .field("host", name)
            .field("life", report.life)
            .field("draining", report.draining ? 1 : 0)
            .field("remaining_ms", report.remainingMs)
            .field("silent", report.silent ? 1 : 0);
    }
}

void Dispatcher::learnDisturbance(HostView& host, const HostReport& report)
{
    const Instant now = m_clock.now();
    host.disturbedIsStale = true;
    host.fillingUse.update(host.fillingCores(), now);
    if (host.fillingUse.isSettling())
        return;
    for (const RunReport& row : report.running) {
        const auto run = host.runs.find(row.task);
        const bool isWarm = run != host.runs.end() && run->second.seen && now - run->second.seenAt >= servingWarmUp;
        if (isWarm && row.tailPerMille > 0) {
            const double ratio = static_cast<double>(row.tailPerMille) / 1000;
            m_disturbance.observe(run->second.image, ratio, host.fillingUse.cores(), now);
        }
    }
    tellDisturbances(host);
}

void Dispatcher::tellDisturbances(HostView& host)
{
    // Smaller changes do not alter what an agent does.
    constexpr double noticeable = InterferenceModel::priorHeadroomPerCore / 5;
    std::set<std::string> serving;
    std::set<std::string> filling;
    for (const auto& [task, run] : host.runs) {
        if (run.lasting)
            serving.insert(run.image);
        if (run.fills)
            filling.insert(run.image);
    }
    for (const std::string& served : serving) {
        for (const std::string& filler : filling) {
            const double taken = m_disturbance.pair(served, filler).headroomPerCore;
            const auto told
                = host.toldDisturbances.try_emplace({ served, filler }, InterferenceModel::priorHeadroomPerCore).first;
            if (std::abs(taken - told->second) < noticeable)
                continue;
            told->second = taken;
            host.outbox.disturbances.push_back({ served, filler, taken });
        }
    }
}

void Dispatcher::lifeChanged(HostView& host, const HostReport& report)
{
    LogEvent(LogLevel::Info, "worker_life")
        .field("host", host.name)
        .field("life", report.life)
        .field("former", host.last.life)
        .field("service", report.service)
        .field("cpu_milli", report.capacity.cpuMilli)
        .field("runs", static_cast<uint64_t>(host.runs.size()));
    host.endsApplied = 0;
    host.endsDurable = 0;
    host.outbox.acknowledgedEnds = 0;
    std::vector<std::string> lost;
    for (const auto& [name, run] : host.runs) {
        Job* job = m_book.find(run.task.job);
        const TaskState* task = job ? job->find(run.task) : nullptr;
        const bool listed = findRow(report.running, name, run.attempt) || findRow(report.pending, name, run.attempt);
        if (run.isOrdered() && !listed && (!task || task->life != report.life))
            lost.push_back(name);
    }
    for (const std::string& name : lost)
        runLost(host, name, "worker_restarted");
}

void Dispatcher::applyRefusal(HostView& host, const RunRefusal& refusal)
{
    const auto run = host.runs.find(refusal.task);
    if (run == host.runs.end() || run->second.attempt != refusal.attempt)
        return;
    Job* job = m_book.find(run->second.task.job);
    if (TaskState* task = job ? job->find(run->second.task) : nullptr)
        task->notBefore = m_clock.now() + m_settings.retryDelay;
    if (refusal.reason == refusedWhilePaused)
        host.fillingRefusedAt = m_clock.now();
    m_counters.add("starts_refused{reason=\"" + refusal.reason + "\"}");
    runLost(host, refusal.task, refusal.reason);
}

void Dispatcher::applyEnd(HostView& host, const RunEnd& end)
{
    if (end.number <= host.endsApplied)
        return;
    host.endsApplied = end.number;
    m_acks.push_back({ host.name, host.last.life, end.number });
    std::optional<Instant> wholeSince;
    if (const auto run = host.runs.find(end.task); run != host.runs.end() && run->second.attempt == end.attempt) {
        wholeSince = run->second.wholeSince;
        m_hosts.remove(host, end.task);
    }
    const std::optional<TaskId> id = parseTaskId(end.task);
    Job* job = id ? m_book.find(id->job) : nullptr;
    TaskState* task = job ? job->find(*id) : nullptr;
    const bool present = task && task->awaitsEnd(end.attempt);
    LogEvent(LogLevel::Info, "run_ended")
        .field("host", host.name)
        .field("task", end.task)
        .field("attempt", end.attempt)
        .field("reason", end.reason)
        .field("number", end.number)
        .field("applied", present ? 1 : 0);
    if (!present)
        return;
    if (end.reason == "done" && wholeSince)
        m_durations.note(job->spec().steps[id->step], m_clock.now() - *wholeSince);
    taskEnded(*job, *task, *id, end, host);
}

void Dispatcher::taskEnded(Job& job, TaskState& task, const TaskId& id, const RunEnd& end, HostView& host)
{
    const Instant now = m_clock.now();
    job.noteEvent(now);
    markDirty(job);
    if (!end.checkpoint.empty())
        task.checkpoint = end.checkpoint;
    const bool lasting = job.spec().steps[id.step].lasting;
    if (end.reason == "failed")
        return taskFailed(job, task, id, host);
    if (end.reason == "done" && !lasting) {
        m_ejector.noteSuccess(host.name);
        job.setTaskPhase(id, TaskPhase::Done);
        return finishIfDone(job);
    }
    job.setTaskPhase(id, TaskPhase::Ended);
}

void Dispatcher::taskFailed(Job& job, TaskState& task, const TaskId& id, HostView& host)
{
    const Instant now = m_clock.now();
    ++task.failures;
    m_ejector.noteFailure(host.name, job.id(), m_hosts.hosts().size(), now);
    const bool lasting = job.spec().steps[id.step].lasting;
    if (lasting || task.failures < job.terms().maxAttempts) {
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
    m_open.erase(job.id());
    m_plans.erase(job.id());
    m_ended.emplace(job.id(), m_clock.now());
    markDirty(job);
    LogEvent(LogLevel::Info, "job_ended")
        .field("job", job.id())
        .field("queue", job.terms().queue)
        .field("phase", phaseName(phase))
        .field("after_ms", static_cast<int64_t>((m_clock.now() - job.seenAt()).count()));
}

void Dispatcher::stopRuns(Job& job)
{
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<TaskState>& tasks = occurrence.steps[step].tasks;
            for (uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase != TaskPhase::Placed)
                    continue;
                HostView& host = m_hosts.host(tasks[index].host);
                const auto run = host.runs.find(TaskId { job.id(), number, step, index }.text());
                if (run != host.runs.end())
                    stopRun(host, run->second);
            }
        }
    }
}

void Dispatcher::stopRun(HostView& host, HostRun& run)
{
    run.stopping = true;
    // A run that was not ordered yet is dropped instead when its record is durable.
    if (!run.isOrdered() || !host.connected)
        return;
    run.stopSentAt = m_clock.now();
    host.outbox.stops.push_back({ run.task.text(), run.attempt });
}

void Dispatcher::reconcile(HostView& host, const HostReport& report)
{
    for (const RunReport& row : report.running)
        noteRunning(host, row);
    std::vector<std::string> lost;
    for (const auto& [name, run] : host.runs) {
        const bool underWay = run.stage == HostRun::Stage::Ordered && run.sequence > report.settledOrders;
        if (!run.isOrdered() || underWay || findRow(report.running, name, run.attempt)
            || findRow(report.pending, name, run.attempt))
            continue;
        lost.push_back(name);
    }
    for (const std::string& name : lost)
        runLost(host, name, "not_running");
}

void Dispatcher::noteRunning(HostView& host, const RunReport& row)
{
    const std::optional<TaskId> id = parseTaskId(row.task);
    Job* job = id ? m_book.find(id->job) : nullptr;
    TaskState* task = job ? job->find(*id) : nullptr;
    const bool sameRun = task && task->attempt == row.attempt && task->host == host.name;
    if (sameRun && task->phase == TaskPhase::Waiting && !isFinal(job->phase())) {
        // Taken for lost, but nothing else was started since.
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
            .field("recorded_host", task ? task->host : std::string());
        return;
    }
    auto run = host.runs.find(row.task);
    if (run == host.runs.end()) {
        m_hosts.add(host, *id, row.attempt, job->spec().steps[id->step], HostRun::Stage::Adopted);
        run = host.runs.find(row.task);
    }
    HostRun& known = run->second;
    if (!known.seen && known.stage == HostRun::Stage::Adopted)
        host.outbox.known.push_back(describe(*job, *id, *task));
    if (!known.seen)
        known.seenAt = m_clock.now();
    known.seen = true;
    host.setPace(known, row.pace);
    task->percent = row.percent;
    if (!row.checkpoint.empty())
        task->checkpoint = row.checkpoint;
    const bool stopWanted = known.stopping || isFinal(job->phase());
    if (stopWanted && m_clock.now() - known.stopSentAt >= m_settings.stopRepeat)
        stopRun(host, known);
}

void Dispatcher::runLost(HostView& host, const std::string& name, std::string_view reason)
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
        .field("reason", reason);
    m_counters.add("runs_lost{reason=\"" + std::string(reason) + "\"}");
    Job* job = m_book.find(run.task.job);
    TaskState* task = job ? job->find(run.task) : nullptr;
    if (!task || task->attempt != run.attempt || task->phase != TaskPhase::Placed)
        return;
    job->setTaskPhase(run.task, TaskPhase::Waiting);
    markDirty(*job);
}

void Dispatcher::loseRuns(HostView& host, std::string_view reason)
{
    std::vector<std::string> lost;
    for (const auto& [name, run] : host.runs) {
        if (run.isOrdered())
            lost.push_back(name);
    }
    for (const std::string& name : lost)
        runLost(host, name, reason);
}

void Dispatcher::evacuateDraining(HostView& host)
{
    for (auto& [name, run] : host.runs) {
        if (run.stopping)
            continue;
        Job* job = m_book.find(run.task.job);
        if (!job)
            continue;
        const StepSpec& step = job->spec().steps[run.task.step];
        const TaskState* task = job->find(run.task);
        const int64_t leftMs = step.estimateMs * (100 - (task ? task->percent : 0)) / 100;
        const bool finishesInTime = !step.lasting && leftMs + drainSlackMs < host.last.remainingMs;
        if (finishesInTime)
            continue;
        // Its last chance to hand its checkpoint over; without checkpoints the run may still be lucky.
        if (step.lasting || step.checkpoints)
            stopRun(host, run);
    }
}

} // namespace hemlocklead::dispatch
