#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    using overload::InterferenceBound;

    /// Less than half the interval between two reports of a host, on which the decision depends.
    constexpr Duration boundInterval { 200 };

    /// Until then no report shows the effect of a pause: the tail latency falls within 0.5 s, and a report takes 0.45
    /// s.
    constexpr Duration minPause { 1000 };

    /// After a pause is over, this much headroom is left above the target: the deviation of the measurements.
    constexpr double headroomMargin = 0.3;

    constexpr double minMissingHeadroom = 0.01;

    double headroomUsed(
        const InterferenceModel& model, const std::string& latencyCritical, const std::string& image, double cores)
    {
        return model.pair(latencyCritical, image).headroomPerCore * cores;
    }

} // namespace

void Dispatcher::boundInterference()
{
    const Instant now = m_clock.now();
    if (!m_bound.isOn() || (m_boundMeasuredAt && now - *m_boundMeasuredAt < boundInterval))
        return;
    std::vector<InterferenceBound::Job> jobs = indexLatencyCriticalJobs();
    std::vector<BoundedHost> hosts;
    BoundGroups groups;
    for (auto& [name, host] : m_hosts.hosts()) {
        // The state of a host that is out of touch is not known; its tasks count as not slowed.
        const bool isRecent = !host.last.silent && now - host.reportedAt <= m_settings.maxReportAge;
        if (!isRecent || host.latencyCriticalGroups.empty())
            continue;
        BoundedHost bounded { &host, coresWithoutPauses(host), {} };
        InterferenceBound::Host measured { measureGroups(host, bounded.cores), {} };
        for (const InterferenceBound::Group& group : measured.groups) {
            jobs[group.job].slowedNow += group.slowedNow;
            jobs[group.job].slowedExpected += group.slowedExpected;
        }
        hosts.push_back(std::move(bounded));
        groups.push_back(std::move(measured));
    }
    m_bound.update(std::move(jobs));
    countTimeOverBound(now);
    orderPauses(hosts, groups, now);
}

std::vector<InterferenceBound::Job> Dispatcher::indexLatencyCriticalJobs()
{
    std::vector<InterferenceBound::Job> jobs;
    m_boundIndices.clear();
    for (const std::string& id : m_openJobs) {
        const Job* job = m_registry.find(id);
        if (!job || std::ranges::none_of(job->spec().steps, &StepSpec::longRunning))
            continue;
        InterferenceBound::Job counted;
        for (const auto& [number, occurrence] : job->occurrences()) {
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (job->spec().steps[step].longRunning)
                    counted.tasks += static_cast<uint32_t>(occurrence.steps[step].tasks.size());
            }
        }
        m_boundIndices.emplace(id, static_cast<uint32_t>(jobs.size()));
        jobs.push_back(counted);
    }
    return jobs;
}

CoresByImage Dispatcher::coresWithoutPauses(const HostState& host) const
{
    CoresByImage cores = host.bestEffortCores();
    if (m_orderedPauses.empty())
        return cores;
    for (const auto& [task, run] : host.runs) {
        if (run.bestEffort && isPauseOrdered(run))
            cores[run.image] += static_cast<double>(run.usageMilli * (100 - run.speedPercent)) / 100 / 1000;
    }
    return cores;
}

std::vector<InterferenceBound::Group> Dispatcher::measureGroups(const HostState& host, const CoresByImage& cores) const
{
    std::vector<InterferenceBound::Group> groups;
    std::vector<const Service*> services;
    const bool hasPauses = std::ranges::any_of(
        host.runs, [this](const auto& entry) { return entry.second.bestEffort && isPauseOrdered(entry.second); });
    for (const auto& [service, known] : host.latencyCriticalGroups) {
        const auto index = m_boundIndices.find(service.job);
        if (index == m_boundIndices.end())
            continue;
        const auto forecast = hasPauses ? m_interference.forecast(service, cores) : known.forecast;
        double used = 0;
        for (const auto& [image, imageCores] : cores)
            used += headroomUsed(m_interference, service.image, image, imageCores);
        InterferenceBound::Group group;
        group.job = index->second;
        group.slowedExpected = std::max(forecast.overTargetProbability() - known.overByOwnLoad, 0.0) * known.tasks;
        const double missing = std::min(1 + headroomMargin - forecast.headroom, used);
        group.missingHeadroom = std::max(missing, minMissingHeadroom);
        groups.push_back(group);
        services.push_back(&service);
    }
    if (!host.runsBestEffort())
        return groups;
    for (const auto& [task, run] : host.runs) {
        if (!run.longRunning || !run.seen || !run.isOverTarget())
            continue;
        const auto service = std::ranges::find_if(
            services, [served = run.service()](const Service* known) { return *known == served; });
        if (service != services.end())
            groups[static_cast<size_t>(service - services.begin())].slowedNow += 1;
    }
    return groups;
}

void Dispatcher::countTimeOverBound(Instant now)
{
    // After a pause of the process, the present state does not stand for all the time since the last measurement.
    const Duration elapsed = m_boundMeasuredAt ? std::min(now - *m_boundMeasuredAt, 2 * boundInterval) : Duration { 0 };
    m_boundMeasuredAt = now;
    int64_t over = 0;
    for (uint32_t job = 0; job < m_bound.jobs().size(); ++job)
        over += m_bound.isOverNow(job) ? 1 : 0;
    m_counters.add("interference_bound_exceeded_ms", over * elapsed.count());
}

bool Dispatcher::isPauseOrdered(const HostRun& run) const
{
    const auto pause = m_orderedPauses.find(run.task.text());
    return pause != m_orderedPauses.end() && pause->second.attempt == run.attempt;
}

void Dispatcher::addPausableRuns(BoundedHost& host, InterferenceBound::Host& groups)
{
    std::vector<const Service*> services;
    for (const auto& [service, known] : host.state->latencyCriticalGroups) {
        if (m_boundIndices.contains(service.job))
            services.push_back(&service);
    }
    for (auto& [task, run] : host.state->runs) {
        const bool isPaused = isPauseOrdered(run);
        // A run that the agent has paused by itself slows nothing.
        const bool isPausable
            = run.bestEffort && !run.longRunning && run.seen && !run.stopping && (isPaused || run.speedPercent > 0);
        if (!isPausable)
            continue;
        InterferenceBound::Run candidate { isPaused, {} };
        const double cores = static_cast<double>(run.usageMilli) / 1000;
        for (const Service* service : services)
            candidate.headroom.push_back(headroomUsed(m_interference, service->image, run.image, cores));
        groups.runs.push_back(std::move(candidate));
        host.runs.push_back(&run);
    }
}

void Dispatcher::orderPauses(std::vector<BoundedHost>& hosts, BoundGroups& groups, Instant now)
{
    for (size_t host = 0; host < hosts.size(); ++host) {
        const bool canBeOrdered = hosts[host].state->connected && hosts[host].state->acceptsOrders();
        const auto isAffected = [this](const InterferenceBound::Group& group) { return m_bound.isOver(group.job); };
        if (canBeOrdered && std::ranges::any_of(groups[host].groups, isAffected))
            addPausableRuns(hosts[host], groups[host]);
    }
    std::set<std::string> needed;
    for (const InterferenceBound::Pause& pause : m_bound.choosePauses(groups)) {
        const HostRun& run = *hosts[pause.host].runs[pause.run];
        needed.insert(run.task.text());
        orderPause(*hosts[pause.host].state, run, pause, now);
    }
    endUnneededPauses(needed, now);
}

void Dispatcher::orderPause(HostState& host, const HostRun& run, const InterferenceBound::Pause& pause, Instant now)
{
    const std::string task = run.task.text();
    const bool isRenewal = isPauseOrdered(run);
    OrderedPause& ordered = m_orderedPauses[task];
    if (isRenewal && ordered.until - now > pause.hold / 2)
        return;
    host.outbox.pauses.push_back({ task, run.attempt, pause.hold.count() });
    if (isRenewal) {
        ordered.until = now + pause.hold;
        return;
    }
    ordered = { host.name, run.attempt, now, now + pause.hold };
    m_counters.add("interference_pauses");
    const InterferenceBound::Job& job = m_bound.jobs()[pause.job];
    const auto id = std::ranges::find(m_boundIndices, pause.job, [](const auto& entry) { return entry.second; });
    LogEvent(LogLevel::Info, "interference_pause")
        .field("host", host.name)
        .field("task", task)
        .field("attempt", run.attempt)
        .field("job", id == m_boundIndices.end() ? std::string() : id->first)
        .field("tasks", job.tasks)
        .field("slowed", static_cast<int64_t>(job.slowedNow))
        .field("expected", job.slowedExpected);
}

void Dispatcher::endUnneededPauses(const std::set<std::string>& needed, Instant now)
{
    for (auto entry = m_orderedPauses.begin(); entry != m_orderedPauses.end();) {
        const auto& [task, pause] = *entry;
        HostState* host = m_hosts.find(pause.host);
        const bool isPresent = host && host->runs.contains(task) && host->runs.at(task).attempt == pause.attempt;
        const bool isOver = !isPresent || now >= pause.until;
        if (!isOver && (needed.contains(task) || now - pause.since < minPause)) {
            ++entry;
            continue;
        }
        if (!isOver && host->connected)
            host->outbox.pauses.push_back({ task, pause.attempt, 0 });
        LogEvent(LogLevel::Info, "interference_pause_ended")
            .field("host", pause.host)
            .field("task", task)
            .field("attempt", pause.attempt)
            .field("held_ms", static_cast<int64_t>((now - pause.since).count()));
        entry = m_orderedPauses.erase(entry);
    }
}

std::vector<InterferenceBound::Effect> Dispatcher::boundEffects(const StepSpec& step, const HostState& host) const
{
    std::vector<InterferenceBound::Effect> effects;
    if (!m_bound.isOn())
        return effects;
    for (const auto& [service, group] : host.latencyCriticalGroups) {
        const auto index = m_boundIndices.find(service.job);
        if (index == m_boundIndices.end())
            continue;
        const auto after = m_interference.withTask(group.forecast, service.image, step.image, coresOf(step));
        const double increase = after.overTargetProbability() - group.forecast.overTargetProbability();
        const double tasks = std::max(increase, 0.0) * group.tasks;
        // Services are ordered by job.
        if (!effects.empty() && effects.back().job == index->second)
            effects.back().tasks += tasks;
        else
            effects.push_back({ index->second, tasks });
    }
    return effects;
}

std::function<double(const StepSpec& step, const HostState& host)> Dispatcher::boundExcessFunction() const
{
    if (!m_bound.isOn())
        return {};
    return [this](const StepSpec& step, const HostState& host) { return m_bound.excess(boundEffects(step, host)); };
}

} // namespace hemlocklead::dispatch
