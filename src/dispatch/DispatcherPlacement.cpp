#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    constexpr double unlimited = 1e9;

    /// Free processors of all usable hosts, thousandths of a core.
    int64_t freeProcessors(const PlacementContext& context)
    {
        int64_t free = 0;
        for (const auto& [name, host] : context.hosts) {
            if (isUsable(host, context))
                free += std::max<int64_t>(host.free().cpuMilli, 0);
        }
        return free;
    }

} // namespace

void Dispatcher::placeJobs()
{
    if (!m_knowsClosedDataCentres)
        return;
    // Order by queue priority, then jobs that can still meet their objective before late ones, then by age. Under
    // overload it is worth more to finish some jobs on time than to finish all of them late.
    planRoom();
    const Instant now = m_clock.now();
    std::vector<std::pair<PlacementKey, Job*>> jobs;
    for (const std::string& id : m_openJobs) {
        if (Job* job = m_registry.find(id))
            jobs.emplace_back(placementKey(*job, now), job);
    }
    std::ranges::sort(jobs, {}, [](const auto& entry) { return entry.first; });
    for (auto& [name, host] : m_hosts.hosts()) {
        host.held = {};
        host.heldFor.clear();
        host.isHeldFromShortTasks = false;
        refreshForecasts(host);
    }
    boundInterference();
    holdTransferredRoom();
    const PlacementContext context = placementContext();
    std::vector<Job*> ordered;
    ordered.reserve(jobs.size());
    for (const auto& [key, job] : jobs)
        ordered.push_back(job);
    for (auto first = ordered.begin(); first != ordered.end();) {
        const auto next = std::find_if(first, ordered.end(),
            [&](const Job* job) { return job->policy().priority != (*first)->policy().priority; });
        placeLongRunningSteps({ first, next }, context);
        std::for_each(first, next, [&](Job* job) { placeJob(*job, context); });
        first = next;
    }
    stopRunsForWorkInTime(context);
}

void Dispatcher::placeLongRunningSteps(std::span<Job* const> jobs, const PlacementContext& context)
{
    std::vector<StepPlacement> waiting;
    for (Job* job : jobs) {
        openDueOccurrences(*job);
        for (auto& [number, occurrence] : job->occurrences()) {
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (reservesProcessorsForLong(job->spec().steps[step]) && occurrence.steps[step].waiting() > 0
                    && isStepReady(*job, occurrence, step))
                    waiting.push_back(beginPlacement(*job, number, step, context));
            }
        }
    }
    if (waiting.empty())
        return;
    std::vector<StepDemand> demands;
    demands.reserve(waiting.size());
    for (StepPlacement& placement : waiting) {
        demands.push_back({ static_cast<uint32_t>(placement.state().tasks.size()), placement.state().placed,
            placement.spec().resources.cpuMilli });
    }
    // While there is not room for all, each step gets this share of its tasks first, so that none gets nothing. The
    // tasks of a step still follow each other: hosts with few services leave more of the others free of interference.
    const double share = affordableShare(demands, freeProcessors(context));
    for (StepPlacement& placement : waiting) {
        const StepState& state = placement.state();
        while (state.placed < share * static_cast<double>(state.tasks.size()) && placeNextTask(placement, context)) { }
    }
    // Of the rest, the task that has been without a run for longest comes first, so that no step always comes last.
    std::ranges::stable_sort(
        waiting, {}, [&](const StepPlacement& placement) { return nextWithoutRunSince(placement); });
    for (StepPlacement& placement : waiting) {
        while (!placement.foundNoHost && placeNextTask(placement, context)) { }
        finishPlacement(placement, context);
    }
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
    // Work that gives way must not take the hosts that work in time spares because of the harm done there.
    if (givesWay(job)) {
        limits.maxOverTarget = m_settings.maxOverTarget;
        return limits;
    }
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
    limits.mayExceedBound = !canWait || job.spec().repeats > 0;
    limits.maxOverTarget = limits.mayExceedBound ? unlimited : m_settings.maxOverTarget;
    return limits;
}

PlacementContext Dispatcher::placementContext() const
{
    const Instant now = m_clock.now();
    return { m_hosts.hosts(), m_closedDataCentres,
        [this, now](const std::string& host) { return m_ejector.isEjected(host, now); }, now, m_settings.maxReportAge,
        m_interference, boundExcessFunction() };
}

void Dispatcher::placeJob(Job& job, const PlacementContext& context)
{
    openDueOccurrences(job);
    for (auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (reservesProcessorsForLong(job.spec().steps[step]) || occurrence.steps[step].waiting() == 0
                || !isStepReady(job, occurrence, step))
                continue;
            StepPlacement placement = beginPlacement(job, number, step, context);
            while (placeNextTask(placement, context)) { }
            finishPlacement(placement, context);
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

Dispatcher::StepPlacement Dispatcher::beginPlacement(
    Job& job, uint32_t occurrence, uint32_t step, const PlacementContext& context)
{
    StepPlacement placement;
    placement.job = &job;
    placement.occurrence = occurrence;
    placement.step = step;
    placement.constraints = constraintsOf(job, job.occurrence(occurrence).steps[step], job.spec().steps[step]);
    placement.limits = bestEffortLimits(job, occurrence, step, context.now);
    placement.due = dueTasks(job, placement.spec(), placement.state(), context.now);
    return placement;
}

std::vector<uint32_t> Dispatcher::dueTasks(
    const Job& job, const StepSpec& spec, const StepState& state, Instant now) const
{
    std::vector<uint32_t> due;
    for (uint32_t index = 0; index < state.tasks.size(); ++index) {
        if (state.tasks[index].needsPlacement() && now >= state.tasks[index].notBefore)
            due.push_back(index);
    }
    // Users are owed each long-running task, so none may always come last when room comes free for one at a time.
    if (spec.longRunning) {
        std::ranges::stable_sort(due, {}, [&](uint32_t index) { return withoutRunSince(job, state.tasks[index]); });
    }
    return due;
}

bool Dispatcher::mayUseHeldRoom(const StepPlacement& placement, const PlacementContext& context) const
{
    if (!placement.spec().longRunning || context.now - nextWithoutRunSince(placement) < m_settings.maxTimeWithoutRun)
        return false;
    constexpr uint32_t twice = 2;
    return countTasksThatFit(placement.spec(), placement.constraints, context, placement.limits, twice) == twice;
}

Instant Dispatcher::nextWithoutRunSince(const StepPlacement& placement) const
{
    if (placement.next == placement.due.size())
        return Instant::max();
    return withoutRunSince(*placement.job, placement.state().tasks[placement.due[placement.next]]);
}

const HostState* Dispatcher::chooseHostFor(const StepPlacement& placement, const PlacementContext& context)
{
    const StepSpec& spec = placement.spec();
    if (const HostState* host = chooseHost(spec, placement.constraints, context, placement.limits))
        return host;
    if (const HostState* host = hostWithTransferredMemory(placement, context))
        return host;
    if (!mayUseHeldRoom(placement, context))
        return nullptr;
    PlacementConstraints constraints = placement.constraints;
    constraints.mayUseHeldRoom = true;
    const HostState* host = chooseHost(spec, constraints, context, placement.limits);
    if (host) {
        m_counters.add("held_room_used");
        LogEvent(LogLevel::Info, "held_room_used")
            .field("job", placement.job->id())
            .field("occurrence", placement.occurrence)
            .field("step", placement.step)
            .field("host", host->name)
            .field("held_for", host->heldFor)
            .field("without_run_ms", static_cast<int64_t>((context.now - nextWithoutRunSince(placement)).count()));
    }
    return host;
}

bool Dispatcher::placeNextTask(StepPlacement& placement, const PlacementContext& context)
{
    if (placement.next == placement.due.size())
        return false;
    Job& job = *placement.job;
    const StepSpec& spec = placement.spec();
    StepState& state = placement.state();
    const uint32_t index = placement.due[placement.next];
    TaskState& task = state.tasks[index];
    placement.constraints.previousHost = task.host;
    const HostState* host = chooseHostFor(placement, context);
    if (!host) {
        placement.foundNoHost = true;
        noteLackOfRoom(job, placement.firstTask());
        holdHosts(placement, context);
        takeMemory(placement, context);
        return false;
    }
    ++placement.next;
    ++placement.constraints.tasksByHost[host->name];
    if (spec.bestEffort) {
        placement.newlyOver += newlyOverTarget(spec, *host, m_interference);
        m_bound.notePlaced(boundEffects(spec, *host));
    }
    startTask(job, { job.id(), placement.occurrence, placement.step, index }, task, *host);
    placement.placed += (placement.placed.empty() ? "" : ",") + std::to_string(index) + ":" + host->name;
    return true;
}

Duration Dispatcher::longestTimeWithoutRun(const Job& job, const StepState& state, Instant now) const
{
    Duration longest { 0 };
    for (const TaskState& task : state.tasks) {
        if (task.needsPlacement())
            longest = std::max(longest, now - withoutRunSince(job, task));
    }
    return longest;
}

void Dispatcher::finishPlacement(const StepPlacement& placement, const PlacementContext& context)
{
    Job& job = *placement.job;
    const StepSpec& spec = placement.spec();
    StepState& state = placement.state();
    if (!placement.placed.empty())
        state.heldSince.reset();
    const TaskId firstTask = placement.firstTask();
    if (placement.foundNoHost) {
        m_waitingSteps.noteWaiting(firstTask, spec, state, longestTimeWithoutRun(job, state, context.now),
            placement.constraints, context, placement.limits);
    } else {
        m_waitingSteps.noteSettled(firstTask);
        state.noRoomSince.reset();
        state.noMemorySince.reset();
    }
    if (placement.placed.empty())
        return;
    LogEvent(LogLevel::Info, "tasks_placed")
        .field("job", job.id())
        .field("occurrence", placement.occurrence)
        .field("step", placement.step)
        .field("priority", job.policy().priority)
        .field("waited_ms", static_cast<int64_t>((context.now - job.lastEventAt()).count()))
        .field("waiting", state.waiting())
        .field("disturbed", static_cast<int64_t>(std::lround(placement.newlyOver)))
        .field("limited", placement.limits.maxOverTarget < unlimited ? 1 : 0)
        .field("hosts", placement.placed);
}

void Dispatcher::holdHosts(const StepPlacement& placement, const PlacementContext& context)
{
    const StepSpec& spec = placement.spec();
    StepState& state = placement.state();
    // Short tasks and best-effort tasks soon find room again.
    if (!spec.longRunning || spec.bestEffort)
        return;
    // Long-running tasks never fail for good, so each of the step's tasks without a run needs a host.
    const std::vector<std::string> held = chooseHostsToHold(spec, placement.constraints, context, state.waiting());
    for (const std::string& name : held) {
        HostState& host = m_hosts.host(name);
        host.held = host.held + spec.resources;
        if (host.heldFor.empty())
            host.heldFor = placement.job->id();
    }
    if (held.empty()) {
        if (!state.noRoomSince)
            state.noRoomSince = context.now;
        return state.heldSince.reset();
    }
    state.noRoomSince.reset();
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
