#include "dispatch/HostBook.h"

#include <algorithm>

namespace hemlocklead::dispatch {

HostView& HostBook::host(const std::string& name)
{
    HostView& view = m_hosts[name];
    view.name = name;
    return view;
}

HostView* HostBook::find(const std::string& name)
{
    const auto found = m_hosts.find(name);
    return found == m_hosts.end() ? nullptr : &found->second;
}

bool HostView::holdsFilling(Instant now) const
{
    // A look and a half: the agent's next report shows what it holds.
    constexpr Duration refusalValid { 700 };
    if (fillingRefusedAt && now - *fillingRefusedAt < refusalValid)
        return true;
    return std::ranges::any_of(runs, [](const auto& entry) { return entry.second.fills && entry.second.pace == 0; });
}

CoresByImage HostView::fillingCores() const
{
    CoresByImage cores;
    for (const auto& [task, run] : runs) {
        if (run.fills)
            cores[run.image] += static_cast<double>(run.usageMilli * run.pace) / 100 / 1000;
    }
    return cores;
}

void HostView::refreshDisturbed(const InterferenceModel& model)
{
    if (!disturbedIsStale)
        return;
    disturbedIsStale = false;
    disturbed.clear();
    for (const auto& [task, run] : runs) {
        if (run.lasting)
            ++disturbed[run.image].tasks;
    }
    const CoresByImage filling = fillingCores();
    for (auto& [serving, group] : disturbed)
        group.forecast = model.forecast(serving, filling);
}

void HostView::setPace(HostRun& run, int64_t pace)
{
    if (run.pace == pace)
        return;
    usageMilli += run.usageMilli * pace / 100 - run.usageMilli * run.pace / 100;
    run.pace = pace;
}

HostRun& HostBook::add(HostView& host, const TaskId& task, uint32_t attempt, const StepSpec& step, HostRun::Stage stage)
{
    const std::string name = task.text();
    remove(host, name);
    HostRun run;
    run.task = task;
    run.attempt = attempt;
    run.stage = stage;
    run.reserved = step.resources;
    if (step.fills)
        run.reserved.cpuMilli = 0;
    run.usageMilli = step.resources.cpuMilli;
    run.fills = step.fills;
    run.lasting = step.lasting;
    run.image = step.image;
    host.reserved = host.reserved + run.reserved;
    host.disturbedIsStale = true;
    (step.lasting ? host.lastingMilli : host.usageMilli) += run.usageMilli;
    return host.runs.emplace(name, std::move(run)).first->second;
}

void HostBook::remove(HostView& host, const std::string& task)
{
    const auto found = host.runs.find(task);
    if (found == host.runs.end())
        return;
    host.reserved = host.reserved - found->second.reserved;
    host.setPace(found->second, 100);
    (found->second.lasting ? host.lastingMilli : host.usageMilli) -= found->second.usageMilli;
    host.disturbedIsStale = true;
    host.runs.erase(found);
}

} // namespace hemlocklead::dispatch
