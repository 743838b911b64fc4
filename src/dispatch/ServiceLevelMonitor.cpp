#include "dispatch/ServiceLevelMonitor.h"

#include "base/Log.h"

#include <algorithm>
#include <set>

namespace hemlocklead::dispatch {

namespace {

    using State = ServiceLevelMonitor::State;

    constexpr int64_t atTargetPerMille = 1000;

    constexpr std::array<std::string_view, ServiceLevelMonitor::stateCount> stateNames { "waiting", "starting",
        "over_target", "interfered", "served" };

    /// The run of a placed task, or null if the owner does not account for one.
    const HostRun* findRun(const HostRegistry& hosts, const TaskId& id, const TaskState& task)
    {
        const auto host = hosts.hosts().find(task.host);
        if (host == hosts.hosts().end())
            return nullptr;
        const auto run = host->second.runs.find(id.text());
        return run == host->second.runs.end() ? nullptr : &run->second;
    }

    State stateOf(const HostRegistry& hosts, const TaskId& id, const TaskState& task)
    {
        if (task.phase != TaskPhase::Placed)
            return State::Waiting;
        const HostRun* run = findRun(hosts, id, task);
        if (!run || !run->seen)
            return State::Starting;
        if (run->tailPerMille <= atTargetPerMille)
            return State::Served;
        const CoresByImage bestEffort = hosts.hosts().at(task.host).bestEffortCores();
        const bool isDisturbed = std::ranges::any_of(bestEffort, [](const auto& entry) { return entry.second > 0; });
        return isDisturbed ? State::Interfered : State::OverTarget;
    }

    struct LongRunningTotals {
        uint32_t tasks { 0 };
        int64_t cpuMilli { 0 }; ///< Declared processors of all tasks, thousandths of a core.
        std::set<std::string> hosts; ///< Of the placed tasks.
    };

    LongRunningTotals totalsOf(const Job& job)
    {
        LongRunningTotals totals;
        job.forEachTask([&](const TaskId& id, const TaskState& task) {
            const StepSpec& step = job.spec().steps[id.step];
            if (!step.longRunning)
                return;
            ++totals.tasks;
            totals.cpuMilli += step.resources.cpuMilli;
            if (task.phase == TaskPhase::Placed)
                totals.hosts.insert(task.host);
        });
        return totals;
    }

} // namespace

ServiceLevelMonitor::ServiceLevelMonitor(const Clock& clock, Counters& counters, Settings settings)
    : m_clock(clock)
    , m_counters(counters)
    , m_settings(settings)
{
}

bool ServiceLevelMonitor::isDue() const
{
    return !m_sampledAt || m_clock.now() - *m_sampledAt >= m_settings.sampleInterval;
}

void ServiceLevelMonitor::sample(const std::vector<const Job*>& openJobs, const HostRegistry& hosts)
{
    const Instant now = m_clock.now();
    const Duration elapsed = m_sampledAt ? now - *m_sampledAt : Duration { 0 };
    m_sampledAt = now;
    std::set<std::string> open;
    for (const Job* job : openJobs) {
        if (std::ranges::none_of(job->spec().steps, &StepSpec::longRunning))
            continue;
        open.insert(job->id());
        sampleJob(*job, hosts, elapsed);
    }
    std::erase_if(m_jobs, [&](const auto& entry) { return !open.contains(entry.first); });
}

void ServiceLevelMonitor::sampleJob(const Job& job, const HostRegistry& hosts, Duration elapsed)
{
    JobTimes& sums = m_jobs.try_emplace(job.id(), JobTimes { {}, m_clock.now() }).first->second;
    job.forEachTask([&](const TaskId& id, const TaskState& task) {
        if (job.spec().steps[id.step].longRunning)
            sums.times[static_cast<size_t>(stateOf(hosts, id, task))] += elapsed;
    });
    if (m_clock.now() - sums.since >= m_settings.logInterval)
        logIfDegraded(job, sums);
}

void ServiceLevelMonitor::logIfDegraded(const Job& job, JobTimes& sums)
{
    const Duration period = m_clock.now() - sums.since;
    const Times times = std::exchange(sums, JobTimes { {}, m_clock.now() }).times;
    for (size_t state = 0; state < stateCount; ++state)
        m_counters.add("long_running_task_ms{state=\"" + std::string(stateNames[state]) + "\"}", times[state].count());
    const bool isDegraded = std::any_of(times.begin(), times.begin() + static_cast<size_t>(State::Served),
        [](Duration time) { return time > Duration { 0 }; });
    if (!isDegraded)
        return;
    const LongRunningTotals totals = totalsOf(job);
    LogEvent event(LogLevel::Info, "service_level");
    event.field("job", job.id())
        .field("queue", job.policy().queue)
        .field("tasks", totals.tasks)
        .field("cpu_milli", totals.cpuMilli)
        .field("hosts", static_cast<uint64_t>(totals.hosts.size()))
        .field("period_ms", static_cast<int64_t>(period.count()));
    for (size_t state = 0; state < stateCount; ++state)
        event.field(std::string(stateNames[state]) + "_ms", static_cast<int64_t>(times[state].count()));
}

void ServiceLevelMonitor::reset()
{
    m_sampledAt.reset();
    m_jobs.clear();
}

} // namespace hemlocklead::dispatch
