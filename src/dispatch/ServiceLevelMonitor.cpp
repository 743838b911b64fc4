#include "dispatch/ServiceLevelMonitor.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    using State = ServiceLevelMonitor::State;

    constexpr std::array<std::string_view, ServiceLevelMonitor::stateCount> stateNames { "waiting", "starting",
        "over_target", "interfered", "served" };

    /// The best-effort image that uses the most headroom of the latency-critical image.
    std::string strongestAntagonist(
        const std::string& latencyCritical, const CoresByImage& bestEffort, const InterferenceModel& model)
    {
        std::string strongest;
        double most = 0;
        for (const auto& [image, cores] : bestEffort) {
            const double headroom = model.pair(latencyCritical, image).headroomPerCore * cores;
            if (headroom > most || strongest.empty()) {
                most = headroom;
                strongest = image;
            }
        }
        return strongest;
    }

    struct TaskService {
        State state { State::Served };
        std::string antagonist; ///< Of an interfered task.
    };

    TaskService serviceOf(
        const HostRegistry& hosts, const InterferenceModel& model, const TaskId& id, const TaskState& task)
    {
        if (task.phase != TaskPhase::Placed)
            return { State::Waiting, {} };
        const HostRun* run = hosts.findRun(task.host, id);
        if (!run || !run->seen)
            return { State::Starting, {} };
        if (!run->isOverTarget())
            return { State::Served, {} };
        const HostState& host = hosts.hosts().at(task.host);
        if (!host.runsBestEffort())
            return { State::OverTarget, {} };
        return { State::Interfered, strongestAntagonist(run->image, host.bestEffortCores(), model) };
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

void ServiceLevelMonitor::sample(
    const std::vector<const Job*>& openJobs, const HostRegistry& hosts, const InterferenceModel& model)
{
    const Instant now = m_clock.now();
    const Duration elapsed = m_sampledAt ? now - *m_sampledAt : Duration { 0 };
    m_sampledAt = now;
    std::set<std::string> open;
    for (const Job* job : openJobs) {
        if (std::ranges::none_of(job->spec().steps, &StepSpec::longRunning))
            continue;
        open.insert(job->id());
        sampleJob(*job, hosts, model, elapsed);
    }
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        if (open.contains(entry->first)) {
            ++entry;
            continue;
        }
        log(entry->first, entry->second, true);
        entry = m_jobs.erase(entry);
    }
    updateMeanAttainedShare();
}

void ServiceLevelMonitor::updateMeanAttainedShare()
{
    double attained = 0;
    for (const auto& [job, sums] : m_jobs)
        attained += sums.account.attainedShare();
    m_meanAttainedShare = m_jobs.empty() ? 1 : attained / static_cast<double>(m_jobs.size());
}

void ServiceLevelMonitor::exportTo(learning::LearnedState& state) const
{
    for (const auto& [job, sums] : m_jobs)
        state.accounts.push_back({ job, sums.account.attainedShare(), sums.account.age() });
}

void ServiceLevelMonitor::importAccounts(const std::vector<learning::AccountBalance>& accounts)
{
    for (const learning::AccountBalance& row : accounts) {
        JobSums& sums = m_jobs[row.job];
        sums.account = ServiceAccount(row.attainedShare, row.age);
        sums.since = m_clock.now();
    }
    updateMeanAttainedShare();
}

void ServiceLevelMonitor::sampleJob(
    const Job& job, const HostRegistry& hosts, const InterferenceModel& model, Duration elapsed)
{
    const auto [found, isNew] = m_jobs.try_emplace(job.id());
    JobSums& sums = found->second;
    if (isNew)
        sums.since = m_clock.now();
    sums.queue = job.policy().queue;
    sums.tasks = 0;
    sums.cpuMilli = 0;
    sums.hosts.clear();
    double lost = 0;
    job.forEachTask([&](const TaskId& id, const TaskState& task) {
        const StepSpec& step = job.spec().steps[id.step];
        if (!step.longRunning)
            return;
        ++sums.tasks;
        sums.cpuMilli += step.resources.cpuMilli;
        if (task.phase == TaskPhase::Placed)
            sums.hosts.insert(task.host);
        const TaskService service = serviceOf(hosts, model, id, task);
        sums.times[static_cast<size_t>(service.state)] += elapsed;
        if (service.state == State::Interfered) {
            sums.interferedBy[service.antagonist] += elapsed;
            lost += interferedWeight;
        } else if (service.state != State::Served) {
            lost += 1;
        }
    });
    if (sums.tasks == 0)
        return;
    // After a pause of the process, the present state does not stand for all the time since the last sample.
    const Duration accounted = std::min(elapsed, 2 * m_settings.sampleInterval);
    sums.account.add(std::max(1 - lost / sums.tasks, 0.0), accounted);
    if (m_clock.now() - sums.since >= m_settings.logInterval)
        log(job.id(), sums, false);
}

void ServiceLevelMonitor::log(const std::string& job, JobSums& sums, bool ended)
{
    const Duration period = m_clock.now() - std::exchange(sums.since, m_clock.now());
    const Times times = std::exchange(sums.times, {});
    const std::map<std::string, Duration> interferedBy = std::exchange(sums.interferedBy, {});
    for (size_t state = 0; state < stateCount; ++state)
        m_counters.add("long_running_task_ms{state=\"" + std::string(stateNames[state]) + "\"}", times[state].count());
    LogEvent event(LogLevel::Info, "service_level");
    event.field("job", job)
        .field("queue", sums.queue)
        .field("tasks", sums.tasks)
        .field("cpu_milli", sums.cpuMilli)
        .field("hosts", static_cast<uint64_t>(sums.hosts.size()))
        .field("period_ms", static_cast<int64_t>(period.count()));
    for (size_t state = 0; state < stateCount; ++state)
        event.field(std::string(stateNames[state]) + "_ms", static_cast<int64_t>(times[state].count()));
    const auto strongest = std::ranges::max_element(interferedBy, {}, [](const auto& entry) { return entry.second; });
    event.field("antagonist", strongest == interferedBy.end() ? std::string() : strongest->first)
        .field("attained_per_mille", static_cast<int64_t>(std::lround(sums.account.attainedShare() * 1000)))
        .field("ended", ended ? 1 : 0);
}

double ServiceLevelMonitor::interferenceWeight(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end()
        ? 1
        : dispatch::interferenceWeight(found->second.account.attainedShare(), m_meanAttainedShare);
}

void ServiceLevelMonitor::reset()
{
    for (auto& [job, sums] : m_jobs)
        log(job, sums, true);
    m_sampledAt.reset();
    m_jobs.clear();
}

} // namespace hemlocklead::dispatch
