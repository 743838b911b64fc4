#include "base/Log.h"
#include "dispatch/Dispatcher.h"
#include "dispatch/RoomKinds.h"

#include <algorithm>
#include <utility>

namespace hemlocklead::dispatch {

namespace {

    using overload::RoomClass;
    using overload::RoomKind;

    double coreSecondsOf(const StepSpec& step, Duration estimate)
    {
        return static_cast<double>(step.resources.cpuMilli * estimate.count()) / 1e6;
    }

    /// Bounds the time of the search; the runs that occupy their host longest come first.
    constexpr size_t maxStopCandidates = 16;

    RoomKind kindOf(const StepSpec& step) { return step.bestEffort ? RoomKind::BestEffort : RoomKind::Reserved; }

} // namespace

void Dispatcher::planRoom()
{
    const Instant now = m_clock.now();
    if (!m_settings.divideRoomByCost || !m_room.isPlanDue(now))
        return;
    std::vector<overload::RoomDivision::Job> jobs;
    for (const std::string& id : m_openJobs) {
        Job* job = m_registry.find(id);
        if (job && isDivided(job->spec()))
            jobs.push_back({ id, roomKindOf(job->spec()), roomDemandOf(*job, now) });
    }
    m_room.plan(std::move(jobs), now);
    measureReservedShares();
    logRoomPlan(now);
}

overload::RoomDemand Dispatcher::roomDemandOf(Job& job, Instant now)
{
    const JobPlan& plan = planOf(job);
    const Duration elapsed = now - job.seenAt();
    overload::RoomDemand demand;
    demand.priority = job.policy().priority;
    demand.order = job.offset();
    demand.timeLeft = plan.objective - elapsed;
    demand.usefulTimeLeft = plan.usefulTime() - elapsed;
    const Occurrence& occurrence = job.occurrence(0);
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepState& state = occurrence.steps[step];
        double left = state.waiting();
        for (const TaskState& task : state.tasks) {
            if (task.phase == TaskPhase::Placed)
                left += 1 - static_cast<double>(task.percent) / 100;
        }
        demand.hasBegun |= state.placed + state.done > 0;
        const StepSpec& spec = job.spec().steps[step];
        demand.coreSeconds += left * coreSecondsOf(spec, m_durations.estimate(spec));
        if (state.waiting() > 0)
            demand.criticalPath = std::max(demand.criticalPath, plan.criticalPaths[step]);
    }
    return demand;
}

void Dispatcher::measureReservedShares()
{
    std::map<std::string, std::pair<int64_t, int64_t>> sums;
    for (const auto& [name, host] : m_hosts.hosts()) {
        auto& [reserved, capacity] = sums[host.last.service];
        reserved += host.reserved.cpuMilli;
        capacity += host.last.capacity.cpuMilli;
    }
    m_reservedShares.clear();
    for (const auto& [service, sum] : sums) {
        if (sum.second > 0)
            m_reservedShares[service] = static_cast<double>(sum.first) / static_cast<double>(sum.second);
    }
}

void Dispatcher::logRoomPlan(Instant now)
{
    constexpr Duration logInterval { 5000 };
    const auto& counts = m_room.classCounts(RoomKind::BestEffort);
    const auto count
        = [&](RoomClass roomClass) { return static_cast<uint64_t>(counts[static_cast<size_t>(roomClass)]); };
    const std::optional<double> cores = m_room.cores(RoomKind::BestEffort);
    m_counters.set("best_effort_jobs_deferred",
        cores ? static_cast<int64_t>(count(RoomClass::Late) + count(RoomClass::Expired)) : 0);
    if (!cores || now - m_roomLoggedAt < logInterval)
        return;
    m_roomLoggedAt = now;
    LogEvent(LogLevel::Info, "room_scarce")
        .field("cores", *cores)
        .field("in_time", count(RoomClass::InTime))
        .field("late", count(RoomClass::Late))
        .field("expired", count(RoomClass::Expired));
}

bool Dispatcher::givesWay(const Job& job) const
{
    if (!m_settings.divideRoomByCost || !m_room.givesWay(job.id(), RoomKind::BestEffort))
        return false;
    // With less reserved, the users count a job without a working run as lost after 3 s.
    constexpr double minReservedShare = 0.5;
    const auto share = m_reservedShares.find(job.policy().service);
    return share != m_reservedShares.end() && share->second >= minReservedShare;
}

Dispatcher::PlacementKey Dispatcher::placementKey(Job& job, Instant now)
{
    const int64_t priority = job.policy().priority;
    if (!m_settings.divideRoomByCost || !isDivided(job.spec()))
        return { priority, latenessClass(job, now), 0, job.offset() };
    const double work = m_room.isScarce(roomKindOf(job.spec())) ? m_room.workOf(job.id()) : 0;
    return { priority, static_cast<int>(m_room.classOf(job.id())), work, job.offset() };
}

void Dispatcher::noteLackOfRoom(const Job& job, const TaskId& firstTask)
{
    const StepSpec& step = job.spec().steps[firstTask.step];
    if (!m_settings.divideRoomByCost || step.longRunning)
        return;
    m_room.noteLack(kindOf(step), m_clock.now());
    if (step.bestEffort && m_room.isScarce(RoomKind::BestEffort) && m_room.classOf(job.id()) == RoomClass::InTime)
        m_waitingInTime.push_back(firstTask);
}

void Dispatcher::stopRunsForWorkInTime(const PlacementContext& context)
{
    const std::vector<TaskId> waiting = std::exchange(m_waitingInTime, {});
    std::erase_if(m_stoppedForWorkInTime, [&](const std::string& task) {
        return std::ranges::none_of(
            m_hosts.hosts(), [&](const auto& entry) { return entry.second.runs.contains(task); });
    });
    // The search for runs takes longer than the rest of a cycle, and the classes change only with a plan.
    if (waiting.empty() || m_room.plannedAt() != context.now)
        return;
    std::vector<StoppableRun> candidates = stoppableRuns(context);
    for (const TaskId& step : waiting) {
        if (candidates.empty() || m_stoppedForWorkInTime.size() >= m_settings.maxStopsForWorkInTime)
            return;
        stopOneRunFor(step, candidates, context);
    }
}

std::vector<Dispatcher::StoppableRun> Dispatcher::stoppableRuns(const PlacementContext& context)
{
    std::vector<StoppableRun> candidates;
    for (auto& [name, host] : m_hosts.hosts()) {
        for (auto& [task, run] : host.runs) {
            if (!canResumeElsewhere(run))
                continue;
            Job& job = *m_registry.find(run.task.job);
            if (!givesWay(job))
                continue;
            const StepSpec& spec = job.spec().steps[run.task.step];
            const TaskState* state = job.find(run.task);
            // A run that is about to end frees its host by itself, and one that has just begun has been placed there
            // when no work in time could use the host.
            const Duration left = m_durations.estimate(spec) * (100 - state->percent) / 100;
            if (left >= 2 * m_settings.moveTime && context.now - run.seenAt >= m_settings.moveTime)
                candidates.push_back({ &host, &run, left });
        }
    }
    std::ranges::sort(candidates, std::greater {}, &StoppableRun::timeLeft);
    if (candidates.size() > maxStopCandidates)
        candidates.resize(maxStopCandidates);
    return candidates;
}

void Dispatcher::stopOneRunFor(
    const TaskId& firstTask, std::vector<StoppableRun>& candidates, const PlacementContext& context)
{
    Job& job = *m_registry.find(firstTask.job);
    const StepSpec& step = job.spec().steps[firstTask.step];
    const PlacementConstraints constraints
        = constraintsOf(job, job.occurrence(firstTask.occurrence).steps[firstTask.step], step);
    const BestEffortLimits limits = bestEffortLimits(job, firstTask.occurrence, firstTask.step, context.now);
    const auto makesRoom = [&](const StoppableRun& candidate) {
        HostRegistry without;
        HostState& host = without.host(candidate.host->name);
        host = *candidate.host;
        without.remove(host, candidate.run->task.text());
        refreshForecasts(host);
        return rejectionOf(host, step, constraints, context, limits) == HostRejection::None;
    };
    const auto chosen = std::ranges::find_if(candidates, makesRoom);
    if (chosen == candidates.end())
        return;
    HostRun& run = *chosen->run;
    LogEvent(LogLevel::Info, "run_stopped_for_work_in_time")
        .field("host", chosen->host->name)
        .field("task", run.task.text())
        .field("attempt", run.attempt)
        .field("receiver", job.id());
    m_counters.add("runs_stopped_for_work_in_time");
    ++m_registry.find(run.task.job)->find(run.task)->moves;
    m_stoppedForWorkInTime.insert(run.task.text());
    stopRun(*chosen->host, run);
    candidates.erase(chosen);
}

void Dispatcher::noteWorkDone(const StepSpec& step)
{
    if (m_settings.divideRoomByCost)
        m_room.noteWorkDone(kindOf(step), coreSecondsOf(step, m_durations.estimate(step)));
}

} // namespace hemlocklead::dispatch
