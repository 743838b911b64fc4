#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    constexpr double unlimited = 1e9;

} // namespace

void Dispatcher::placeJobs()
{
    if (!m_knowsClosedDataCentres)
        return;
    // Order by queue priority, then jobs that can still meet their objective before late ones, then by age. Under
    // overload it is worth more to finish some jobs on time than to finish all of them late.
    using Key = std::tuple<int64_t, int, uint64_t>;
    const Instant now = m_clock.now();
    std::vector<std::pair<Key, Job*>> jobs;
    for (const std::string& id : m_openJobs) {
        if (Job* job = m_registry.find(id))
            jobs.emplace_back(Key { job->policy().priority, latenessClass(*job, now), job->offset() }, job);
    }
    std::ranges::sort(jobs, {}, [](const auto& entry) { return entry.first; });
    for (auto& [name, host] : m_hosts.hosts()) {
        host.held = {};
        host.isHeldFromShortTasks = false;
        refreshForecasts(host);
    }
    const PlacementContext context = placementContext();
    for (const auto& [key, job] : jobs)
        placeJob(*job, context);
}

void Dispatcher::refreshForecasts(HostState& host) const
{
    host.refreshForecasts(
        m_interference, [this](const std::string& job) { return m_serviceLevels.interferenceWeight(job); });
}

const JobPlan& Dispatcher::planOf(const Job& job)
{
    const auto found = m_plans.find(job.id());
    if (found != m_plans.end())
        return found->second;
    return m_plans.emplace(job.id(), makePlan(job.spec(), job.policy(), m_durations)).first->second;
}

int Dispatcher::latenessClass(Job& job, Instant now)
{
    // Long-running tasks have no end to be late for, and the plan does not contain the due times of scheduled jobs.
    if (job.spec().repeats > 0)
        return 0;
    const JobPlan& plan = planOf(job);
    const Duration elapsed = now - job.seenAt();
    int result = 0;
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (job.spec().steps[step].longRunning || occurrence.steps[step].waiting() == 0
                || plan.slack(step, elapsed) >= Duration { 0 })
                continue;
            result = std::max(result, plan.isUsefulLate(step, elapsed) ? 1 : 2);
        }
    }
    return result;
}

bool Dispatcher::hasWorkingRun(const StepState& state, const TaskId& firstTask) const
{
    TaskId id = firstTask;
    return std::ranges::any_of(state.tasks, [&](const TaskState& task) {
        id.index = static_cast<uint32_t>(&task - state.tasks.data());
        const HostRun* run = task.phase == TaskPhase::Placed ? m_hosts.findRun(task.host, id) : nullptr;
        return run && run->speedPercent > 0;
    });
}

BestEffortLimits Dispatcher::bestEffortLimits(Job& job, uint32_t occurrence, uint32_t step, Instant now)
{
    BestEffortLimits limits;
    limits.overcommit = now - job.lastEventAt() >= m_settings.overcommitDelay;
    const Duration slack = planOf(job).slack(step, now - job.seenAt());
    // A job that has missed its objective is worth little to its caller, and no longer more than the users that its
    // tasks would harm.
    const bool isLate = slack < Duration { 0 };
    const auto isStalled = [&] {
        return now - job.lastEventAt() >= m_settings.maxLateWait
            && !hasWorkingRun(job.occurrence(occurrence).steps[step], { job.id(), occurrence, step, 0 });
    };
    const StepSpec& spec = job.spec().steps[step];
    const bool mayBeLate = spec.bestEffort && !spec.longRunning;
    const bool canWait = isLate ? mayBeLate && !isStalled() : slack > m_settings.slackMargin;
    limits.maxOverTarget = canWait && job.spec().repeats == 0 ? m_settings.maxOverTarget : unlimited;
    return limits;
}

PlacementContext Dispatcher::placementContext() const
{
    const Instant now = m_clock.now();
    return { m_hosts.hosts(), m_closedDataCentres,
        [this, now](const std::string& host) { return m_ejector.isEjected(host, now); }, now, m_settings.maxReportAge,
        m_interference };
}

void Dispatcher::placeJob(Job& job, const PlacementContext& context)
{
    openDueOccurrences(job);
    for (auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting() > 0 && isStepReady(job, occurrence, step))
                placeStep(job, number, step, context);
        }
    }
}

void Dispatcher::openDueOccurrences(Job& job)
{
    const JobSpec& spec = job.spec();
    if (spec.repeats == 0) {
        job.occurrence(0);
        return;
    }
    const int64_t nowMs = m_wallClock.unixMs();
    for (auto number = static_cast<uint32_t>(job.occurrences().size()); number < spec.repeats; ++number) {
        if (nowMs < spec.firstDueMs + static_cast<int64_t>(number) * spec.intervalMs)
            return;
        job.occurrence(number);
    }
}

bool Dispatcher::isStepReady(const Job& job, const Occurrence& occurrence, uint32_t step) const
{
    return std::ranges::all_of(
        job.spec().steps[step].after, [&](uint32_t earlier) { return occurrence.steps[earlier].isDone(); });
}

PlacementConstraints Dispatcher::constraintsOf(const Job& job, const StepState& state, const StepSpec& spec)
{
    PlacementConstraints constraints;
    constraints.service = job.policy().service;
    if (spec.maxPerHost == 0 && !spec.sameRack)
        return constraints;
    for (const TaskState& task : state.tasks) {
        if (task.phase != TaskPhase::Placed)
            continue;
        ++constraints.tasksByHost[task.host];
        if (const HostState* host = m_hosts.find(task.host); host && spec.sameRack)
            constraints.rack = host->last.rack;
    }
    return constraints;
}

void Dispatcher::placeStep(Job& job, uint32_t occurrence, uint32_t step, const PlacementContext& context)
{
    const StepSpec& spec = job.spec().steps[step];
    StepState& state = job.occurrence(occurrence).steps[step];
    PlacementConstraints constraints = constraintsOf(job, state, spec);
    const BestEffortLimits limits = bestEffortLimits(job, occurrence, step, context.now);
    std::string placed;
    double newlyOver = 0;
    bool foundNoHost = false;
    for (uint32_t index = 0; index < state.tasks.size(); ++index) {
        TaskState& task = state.tasks[index];
        if (!task.needsPlacement() || context.now < task.notBefore)
            continue;
        constraints.previousHost = task.host;
        const HostState* host = chooseHost(spec, constraints, context, limits);
        if (!host) {
            foundNoHost = true;
            break;
        }
        ++constraints.tasksByHost[host->name];
        if (spec.bestEffort)
            newlyOver += newlyOverTarget(spec, *host, m_interference);
        startTask(job, { job.id(), occurrence, step, index }, task, *host);
        placed += (placed.empty() ? "" : ",") + std::to_string(index) + ":" + host->name;
    }
    if (!placed.empty())
        state.heldSince.reset();
    const TaskId firstTask { job.id(), occurrence, step, 0 };
    if (foundNoHost) {
        m_waitingSteps.noteWaiting(firstTask, spec, state.waiting(), constraints, context, limits);
        holdHosts(state, spec, constraints, context);
    } else {
        m_waitingSteps.noteSettled(firstTask);
    }
    if (placed.empty())
        return;
    LogEvent(LogLevel::Info, "tasks_placed")
        .field("job", job.id())
        .field("occurrence", occurrence)
        .field("step", step)
        .field("priority", job.policy().priority)
        .field("waited_ms", static_cast<int64_t>((context.now - job.lastEventAt()).count()))
        .field("waiting", state.waiting())
        .field("disturbed", static_cast<int64_t>(std::lround(newlyOver)))
        .field("limited", limits.maxOverTarget < unlimited ? 1 : 0)
        .field("hosts", placed);
}

void Dispatcher::holdHosts(
    StepState& state, const StepSpec& spec, const PlacementConstraints& constraints, const PlacementContext& context)
{
    // Short tasks and best-effort tasks soon find room again.
    if (!spec.longRunning || spec.bestEffort)
        return;
    // Long-running tasks never fail for good, so each of the step's tasks without a run needs a host.
    const std::vector<std::string> held = chooseHostsToHold(spec, constraints, context, state.waiting());
    for (const std::string& name : held) {
        HostState& host = m_hosts.host(name);
        host.held = host.held + spec.resources;
    }
    if (held.empty())
        return state.heldSince.reset();
    if (!state.heldSince)
        state.heldSince = context.now;
    // Short tasks rarely keep a large gap occupied, since they take the tightest fit. One host is enough to make
    // progress when they do.
    if (context.now - *state.heldSince >= m_settings.maxHoldTime)
        m_hosts.host(held.front()).isHeldFromShortTasks = true;
}

void Dispatcher::startTask(Job& job, const TaskId& id, TaskState& task, const HostState& chosen)
{
    HostState& host = m_hosts.host(chosen.name);
    const Instant now = m_clock.now();
    ++task.attempt;
    task.host = host.name;
    task.life = host.life;
    task.percent = 0;
    job.setTaskPhase(id, TaskPhase::Placed);
    m_hosts.add(host, id, task.attempt, job.spec().steps[id.step], HostRun::Stage::AwaitingCommit);
    refreshForecasts(host);
    m_pendingStarts.push_back({ host.name, id, task.attempt });
    m_ejector.notePlaced(host.name, now);
    m_counters.add("starts");
    markDirty(job);
}

} // namespace hemlocklead::dispatch
