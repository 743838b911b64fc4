#include "dispatch/HostRegistry.h"

#include <algorithm>

namespace hemlocklead::dispatch {

HostState& HostRegistry::host(const std::string& name)
{
    HostState& state = m_hosts[name];
    state.name = name;
    return state;
}

HostState* HostRegistry::find(const std::string& name)
{
    const auto found = m_hosts.find(name);
    return found == m_hosts.end() ? nullptr : &found->second;
}

bool HostState::pausesBestEffort(Instant now) const
{
    // One and a half polls of the worker: by then a new report of the agent shows which tasks it has paused.
    constexpr Duration refusalValid { 700 };
    if (last.refusesBestEffort)
        return true;
    if (bestEffortRefusedAt && now - *bestEffortRefusedAt < refusalValid)
        return true;
    return std::ranges::any_of(
        runs, [](const auto& entry) { return entry.second.bestEffort && entry.second.speedPercent == 0; });
}

CoresByImage HostState::bestEffortCores() const
{
    CoresByImage cores;
    for (const auto& [task, run] : runs) {
        if (run.bestEffort)
            cores[run.image] += static_cast<double>(run.usageMilli * run.speedPercent) / 100 / 1000;
    }
    return cores;
}

bool HostState::runsBestEffort() const
{
    return std::ranges::any_of(runs, [](const auto& entry) {
        const HostRun& run = entry.second;
        return run.bestEffort && run.usageMilli * run.speedPercent > 0;
    });
}

void HostState::refreshForecasts(
    const InterferenceModel& model, const std::function<double(const std::string& job)>& weightOf)
{
    if (!forecastsAreStale)
        return;
    forecastsAreStale = false;
    latencyCriticalGroups.clear();
    for (const auto& [task, run] : runs) {
        if (run.longRunning)
            ++latencyCriticalGroups[run.service()].tasks;
    }
    const CoresByImage usage = bestEffortCores();
    for (auto& [service, group] : latencyCriticalGroups) {
        group.forecast = model.forecast(service, usage);
        group.overByOwnLoad = model.forecast(service, {}).overTargetProbability();
        group.interferenceWeight = weightOf(service.job);
    }
}

void HostState::setSpeed(HostRun& run, int64_t speedPercent)
{
    if (run.speedPercent == speedPercent)
        return;
    usageMilli += run.usageMilli * speedPercent / 100 - run.usageMilli * run.speedPercent / 100;
    run.speedPercent = speedPercent;
    run.wasSlowed |= speedPercent < 100;
}

const HostRun* HostRegistry::findRun(const std::string& host, const TaskId& task) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return nullptr;
    const auto run = found->second.runs.find(task.text());
    return run == found->second.runs.end() ? nullptr : &run->second;
}

HostRun& HostRegistry::add(
    HostState& host, const TaskId& task, uint32_t attempt, const StepSpec& step, HostRun::Stage stage)
{
    const std::string name = task.text();
    remove(host, name);
    HostRun run;
    run.task = task;
    run.attempt = attempt;
    run.stage = stage;
    run.reserved = step.resources;
    if (step.bestEffort)
        run.reserved.cpuMilli = 0;
    run.usageMilli = step.resources.cpuMilli;
    run.bestEffort = step.bestEffort;
    run.longRunning = step.longRunning;
    run.image = step.image;
    host.reserved = host.reserved + run.reserved;
    if (run.longRunning)
        host.longRunningReserved = host.longRunningReserved + run.reserved;
    host.forecastsAreStale = true;
    (step.longRunning ? host.longRunningMilli : host.usageMilli) += run.usageMilli;
    return host.runs.emplace(name, std::move(run)).first->second;
}

void HostRegistry::remove(HostState& host, const std::string& task)
{
    const auto found = host.runs.find(task);
    if (found == host.runs.end())
        return;
    host.reserved = host.reserved - found->second.reserved;
    if (found->second.longRunning)
        host.longRunningReserved = host.longRunningReserved - found->second.reserved;
    host.setSpeed(found->second, 100);
    (found->second.longRunning ? host.longRunningMilli : host.usageMilli) -= found->second.usageMilli;
    host.forecastsAreStale = true;
    host.runs.erase(found);
}

} // namespace hemlocklead::dispatch
