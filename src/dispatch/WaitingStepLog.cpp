#include "dispatch/WaitingStepLog.h"

#include "base/Log.h"

#include <algorithm>
#include <array>

namespace hemlocklead::dispatch {

namespace {

    /// Names of the log fields, in the order of HostRejection.
    constexpr std::array<std::string_view, hostRejectionCount> rejectionNames { "hosts_fit", "other_kind", "unusable",
        "at_host_limit", "no_processors", "no_memory", "held", "over_limits" };

} // namespace

WaitingStepLog::WaitingStepLog(Settings settings)
    : m_settings(settings)
{
}

void WaitingStepLog::noteWaiting(const TaskId& task, const StepSpec& step, const StepState& stepState,
    Duration longestWithoutRun, const PlacementConstraints& constraints, const PlacementContext& context,
    const BestEffortLimits& limits)
{
    const WaitingStep begun { context.now, context.now + m_settings.delay, context.now };
    WaitingStep& state = m_steps.try_emplace(keyOf(task), begun).first->second;
    if (context.now - state.notedAt > m_settings.maxGap)
        state = begun;
    state.notedAt = context.now;
    if (context.now < state.nextLogAt)
        return;
    state.nextLogAt = context.now + m_settings.repeatInterval;
    std::array<uint64_t, hostRejectionCount> hosts {};
    Resources free;
    int64_t bestEffortMemoryMib = 0;
    std::string heldFor;
    for (const auto& [name, host] : context.hosts) {
        const HostRejection rejection = rejectionOf(host, step, constraints, context, limits);
        ++hosts[static_cast<size_t>(rejection)];
        if (rejection == HostRejection::Held && heldFor.empty())
            heldFor = host.heldFor;
        if (!isUsable(host, context))
            continue;
        free = free + host.free();
        for (const auto& [id, run] : host.runs)
            bestEffortMemoryMib += run.bestEffort ? run.reserved.memoryMib : 0;
    }
    LogEvent event(LogLevel::Info, "tasks_waiting");
    event.field("job", task.job)
        .field("occurrence", task.occurrence)
        .field("step", task.step)
        .field("waiting", stepState.waiting())
        .field("waited_ms", static_cast<int64_t>((context.now - state.since).count()))
        .field("cpu_milli", step.resources.cpuMilli)
        .field("memory_mib", step.resources.memoryMib)
        .field("free_cpu_milli", free.cpuMilli)
        .field("free_memory_mib", free.memoryMib)
        .field("best_effort_memory_mib", bestEffortMemoryMib)
        .field("without_run_ms", static_cast<int64_t>(longestWithoutRun.count()))
        .field("holding_ms", static_cast<int64_t>((context.now - stepState.heldSince.value_or(context.now)).count()))
        .field("held_for", heldFor);
    for (size_t reason = 0; reason < hostRejectionCount; ++reason)
        event.field(rejectionNames[reason], hosts[reason]);
}

void WaitingStepLog::noteSettled(const TaskId& task) { m_steps.erase(keyOf(task)); }

void WaitingStepLog::removeJob(const std::string& job)
{
    std::erase_if(m_steps, [&](const auto& entry) { return std::get<std::string>(entry.first) == job; });
}

} // namespace hemlocklead::dispatch
