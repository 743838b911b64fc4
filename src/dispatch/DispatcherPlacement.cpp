#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    constexpr double unlimited = 1e9;

} // namespace

void Dispatcher::place()
{
    // Urgent queues first. Jobs that can still meet their objective come before those that are late anyway, then jobs
    // by their age: under overload the first ones in time are worth more than all of them late.
    using Key = std::tuple<int64_t, int, uint64_t>;
    const Instant now = m_clock.now();
    std::vector<std::pair<Key, Job*>> jobs;
    for (const std::string& id : m_open) {
        if (Job* job = m_book.find(id))
            jobs.emplace_back(Key { job->terms().priority, lateness(*job, now), job->offset() }, job);
    }
    std::ranges::sort(jobs, {}, [](const auto& entry) { return entry.first; });
    for (auto& [name, host] : m_hosts.hosts())
        host.refreshDisturbed(m_disturbance);
    const PlacementView view = placementView();
    for (const auto& [key, job] : jobs)
        placeJob(*job, view);
}

const JobPlan& Dispatcher::planOf(const Job& job)
{
    const auto found = m_plans.find(job.id());
    if (found != m_plans.end())
        return found->second;
    return m_plans.emplace(job.id(), makePlan(job.spec(), job.terms(), m_durations)).first->second;
}

int Dispatcher::lateness(Job& job, Instant now)
{
    // Lasting tasks are owed for as long as they run, and the due times of scheduled jobs are not in the plan.
    if (job.spec().repeats > 0)
        return 0;
    const JobPlan& plan = planOf(job);
    const Duration elapsed = now - job.seenAt();
    int lateness = 0;
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (job.spec().steps[step].lasting || occurrence.steps[step].waiting() == 0
                || plan.slack(step, elapsed) >= Duration { 0 })
                continue;
            lateness = std::max(lateness, plan.isWorthLate(step, elapsed) ? 1 : 2);
        }
    }
    return lateness;
}

FillLimits Dispatcher::fillLimits(const Job& job, uint32_t step, Instant now)
{
    FillLimits limits;
    limits.overcommit = now - job.lastEventAt() >= m_settings.fillPatience;
    const Duration slack = planOf(job).slack(step, now - job.seenAt());
    const bool canWait = slack > m_settings.slackReserve;
    limits.mostDisturbed = canWait && job.spec().repeats == 0 ? m_settings.mostDisturbed : unlimited;
    return limits;
}

PlacementView Dispatcher::placementView() const
{
    const Instant now = m_clock.now();
    return { m_hosts.hosts(), m_closedDataCentres,
        [this, now](const std::string& host) { return m_ejector.isEjected(host, now); }, now, m_settings.maxReportAge,
        m_disturbance };
}

void Dispatcher::placeJob(Job& job, const PlacementView& view)
{
    openDueOccurrences(job);
    for (auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting() > 0 && isStepReady(job, occurrence, step))
                placeStep(job, number, step, view);
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
    const int64_t nowMs = m_calendar.unixMs();
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

PlacementNeeds Dispatcher::needsOf(const Job& job, const StepState& state, const StepSpec& spec)
{
    PlacementNeeds needs;
    needs.service = job.terms().service;
    if (spec.maxPerHost == 0 && !spec.sameRack)
        return needs;
    for (const TaskState& task : state.tasks) {
        if (task.phase != TaskPhase::Placed)
            continue;
        ++needs.tasksByHost[task.host];
        if (const HostView* host = m_hosts.find(task.host); host && spec.sameRack)
            needs.rack = host->last.rack;
    }
    return needs;
}

void Dispatcher::placeStep(Job& job, uint32_t occurrence, uint32_t step, const PlacementView& view)
{
    const StepSpec& spec = job.spec().steps[step];
    StepState& state = job.occurrence(occurrence).steps[step];
    PlacementNeeds needs = needsOf(job, state, spec);
    const FillLimits limits = fillLimits(job, step, view.now);
    std::string placed;
    double disturbed = 0;
    for (uint32_t index = 0; index < state.tasks.size(); ++index) {
        TaskState& task = state.tasks[index];
        if (!task.isToBePlaced() || view.now < task.notBefore)
            continue;
        needs.avoidHost = task.host;
        const HostView* host = chooseHost(spec, needs, view, limits);
        if (!host)
            break;
        ++needs.tasksByHost[host->name];
        if (spec.fills)
            disturbed += newlyDisturbed(spec, *host, m_disturbance);
        startTask(job, { job.id(), occurrence, step, index }, task, *host);
        placed += (placed.empty() ? "" : ",") + std::to_string(index) + ":" + host->name;
    }
    if (placed.empty())
        return;
    LogEvent(LogLevel::Info, "tasks_placed")
        .field("job", job.id())
        .field("occurrence", occurrence)
        .field("step", step)
        .field("priority", job.terms().priority)
        .field("waited_ms", static_cast<int64_t>((view.now - job.lastEventAt()).count()))
        .field("waiting", state.waiting())
        .field("disturbed", static_cast<int64_t>(std::lround(disturbed)))
        .field("limited", limits.mostDisturbed < unlimited ? 1 : 0)
        .field("hosts", placed);
}

void Dispatcher::startTask(Job& job, const TaskId& id, TaskState& task, const HostView& chosen)
{
    HostView& host = m_hosts.host(chosen.name);
    const Instant now = m_clock.now();
    ++task.attempt;
    task.host = host.name;
    task.life = host.last.life;
    task.percent = 0;
    job.setTaskPhase(id, TaskPhase::Placed);
    if (!job.hasBegun())
        job.setPhase(JobPhase::Running);
    m_hosts.add(host, id, task.attempt, job.spec().steps[id.step], HostRun::Stage::Recording);
    host.refreshDisturbed(m_disturbance);
    m_starts.push_back({ host.name, id, task.attempt });
    m_ejector.notePlaced(host.name, now);
    m_counters.add("starts");
    markDirty(job);
}

} // namespace hemlocklead::dispatch
