#include "dispatch/HostBook.h"

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
    const double usage = step.lasting ? lastingUsage : 1.0;
    run.usageMilli = static_cast<int64_t>(static_cast<double>(step.resources.cpuMilli) * usage);
    run.fills = step.fills;
    run.lasting = step.lasting;
    run.image = step.image;
    host.reserved = host.reserved + run.reserved;
    host.usageMilli += run.usageMilli;
    return host.runs.emplace(name, std::move(run)).first->second;
}

void HostBook::remove(HostView& host, const std::string& task)
{
    const auto found = host.runs.find(task);
    if (found == host.runs.end())
        return;
    host.reserved = host.reserved - found->second.reserved;
    host.usageMilli -= found->second.usageMilli;
    host.runs.erase(found);
}

} // namespace hemlocklead::dispatch
