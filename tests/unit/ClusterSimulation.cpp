#include "ClusterSimulation.h"

#include <algorithm>

namespace hemlocklead {

using namespace dispatch;

ClusterSimulation::ClusterSimulation(Settings settings)
    : m_settings(settings)
    , m_registry(m_clock, m_counters)
    , m_follower(m_journal, m_timers, m_clock, m_registry, {})
    , m_writer(m_journal, m_timers, m_clock, {})
    , m_dispatcher(m_registry, m_follower, m_writer, *this, m_clock, m_wallClock, m_counters, {})
    , m_ownership(m_registry, m_follower, m_journal, m_writer, m_clock, m_counters,
          { .entry = "entry", .incarnation = 4711 },
          { [this](uint64_t, bool stopped) { m_dispatcher.activate(stopped); },
              [this] {
                  m_dispatcher.deactivate();
                  m_follower.restart();
              } })
{
    m_registry.setListener(&m_dispatcher);
    m_dispatcher.setClosedDataCentres({});
    for (uint32_t index = 0; index < m_settings.hosts; ++index) {
        Host host;
        host.name = "host-" + std::to_string(100 + index);
        host.dataCentre = dataCentreName(index % m_settings.dataCentres);
        m_journal.append({ { hostKey(host.name), hostValue({ "127.0.0.1:1", 1 }), 0 } }, std::nullopt, Duration { 0 },
            [](AppendStatus) {});
        m_hosts.emplace(host.name, host);
    }
    m_follower.start();
    while (!m_ownership.isOwner())
        run(m_settings.cycle);
    for (auto& [name, host] : m_hosts) {
        m_dispatcher.hostConnected(name);
        report(host);
    }
}

void ClusterSimulation::submit(const std::string& job, const StepSpec& step, std::optional<Duration> runTime)
{
    if (runTime)
        m_runTimes.emplace(job, *runTime);
    QueuePolicy policy;
    policy.queue = "watches";
    policy.service = "service";
    JobSpec spec;
    spec.payload = "payload";
    spec.steps = { step };
    m_jobs.emplace(job, step);
    m_services[job].cpuMilli = step.resources.cpuMilli * step.tasks;
    m_journal.append({ { jobKey(job), jobValue(policy, spec), 0 } }, std::nullopt, Duration { 0 }, [](AppendStatus) {});
}

void ClusterSimulation::run(Duration time)
{
    for (Duration passed { 0 }; passed < time; passed += m_settings.cycle) {
        m_timers.run(m_settings.cycle);
        const bool reports = m_clock.now() >= m_reportAt;
        if (reports)
            m_reportAt = m_clock.now() + m_settings.reportInterval;
        for (auto& [name, host] : m_hosts) {
            endRuns(host, host.stopping, "stopped");
            endRuns(host, host.ending, "done");
            if (reports && !host.lost && m_clock.now() >= host.silentUntil)
                report(host);
        }
        m_ownership.tick();
        m_dispatcher.runCycle();
        account();
    }
}

void ClusterSimulation::loseDataCentre(uint32_t dataCentre)
{
    for (auto& [name, host] : m_hosts) {
        if (host.dataCentre != dataCentreName(dataCentre))
            continue;
        host.lost = true;
        host.runs.clear();
        host.ending.clear();
        host.stopping.clear();
        m_dispatcher.hostDisconnected(name);
    }
}

void ClusterSimulation::cutOffDataCentre(uint32_t dataCentre)
{
    for (auto& [name, host] : m_hosts) {
        if (host.dataCentre == dataCentreName(dataCentre))
            host.lapsed = host.runs;
    }
    loseDataCentre(dataCentre);
}

void ClusterSimulation::restoreDataCentre(uint32_t dataCentre)
{
    for (auto& [name, host] : m_hosts) {
        if (host.dataCentre != dataCentreName(dataCentre) || !host.lost)
            continue;
        host.lost = false;
        for (const auto& [task, order] : host.lapsed)
            host.ends.push_back({ ++host.endsReported, task, order.attempt, "lapsed", "" });
        if (host.lapsed.empty()) {
            ++host.life;
            host.ends.clear();
            host.endsReported = 0;
        }
        host.lapsed.clear();
        host.settledOrders = 0;
        m_dispatcher.hostConnected(name);
        report(host);
    }
}

void ClusterSimulation::restartWorkersWithClosedDataCentre(uint32_t dataCentre)
{
    m_dispatcher.setClosedDataCentres({ dataCentreName(dataCentre) });
    for (auto& [name, host] : m_hosts) {
        ++host.life;
        host.runs.clear();
        host.ending.clear();
        host.stopping.clear();
        host.ends.clear();
        report(host);
    }
}

void ClusterSimulation::silenceFreeHosts(Duration time)
{
    for (auto& [name, host] : m_hosts) {
        int64_t used = 0;
        for (const auto& [task, order] : host.runs)
            used += order.cpuMilli;
        if (used + 16'000 <= m_settings.capacity.cpuMilli)
            host.silentUntil = m_clock.now() + time;
    }
}

uint32_t ClusterSimulation::running(const std::string& job) const
{
    uint32_t count = 0;
    for (const auto& [name, host] : m_hosts) {
        count += static_cast<uint32_t>(
            std::ranges::count_if(host.runs, [&](const auto& run) { return parseTaskId(run.first)->job == job; }));
    }
    return count;
}

bool ClusterSimulation::isRunning(const std::string& job, uint32_t index) const
{
    const std::string task = TaskId { job, 0, 0, index }.text();
    return std::ranges::any_of(m_hosts, [&](const auto& entry) { return entry.second.runs.contains(task); });
}

void ClusterSimulation::send(const std::string& name, HostOrders orders)
{
    Host& host = m_hosts.at(name);
    if (host.lost || orders.life != host.life)
        return;
    std::erase_if(host.ends, [&](const RunEnd& end) { return end.number <= orders.acknowledgedEnds; });
    for (const RunOrder& start : orders.starts) {
        host.runs.insert_or_assign(start.task, start);
        host.settledOrders = start.sequence;
        if (const auto time = m_runTimes.find(parseTaskId(start.task)->job); time != m_runTimes.end())
            host.ending.insert_or_assign(start.task, m_clock.now() + time->second);
    }
    for (const RunStop& stop : orders.stops) {
        if (!host.runs.contains(stop.task)
            || !host.stopping.emplace(stop.task, m_clock.now() + m_settings.stopTime).second)
            continue;
        const std::string job = parseTaskId(stop.task)->job;
        Service& service = m_services.at(job);
        ++service.stops;
        service.mostAway = std::max(service.mostAway, m_jobs.at(job).tasks - running(job));
    }
}

void ClusterSimulation::report(Host& host)
{
    HostReport report;
    report.host = host.name;
    report.life = host.life;
    report.clockMs = m_clock.now().time_since_epoch().count();
    report.service = "service";
    report.dataCentre = host.dataCentre;
    report.capacity = m_settings.capacity;
    report.full = true;
    report.settledOrders = host.settledOrders;
    for (const auto& [task, order] : host.runs)
        report.running.push_back({ task, order.attempt, "", 100, 100, 500 });
    report.ends = host.ends;
    m_dispatcher.hostReported(host.name, report);
}

void ClusterSimulation::endRuns(Host& host, std::map<std::string, Instant>& due, const std::string& reason)
{
    for (auto end = due.begin(); end != due.end();) {
        if (m_clock.now() < end->second) {
            ++end;
            continue;
        }
        // A run may be stopped and end by itself; the first end counts.
        if (const auto run = host.runs.find(end->first); run != host.runs.end()) {
            host.ends.push_back({ ++host.endsReported, end->first, run->second.attempt, reason, "" });
            host.runs.erase(run);
        }
        end = due.erase(end);
    }
}

Resources ClusterSimulation::freeOn(const Host& host) const
{
    Resources free = m_settings.capacity;
    for (const auto& [task, order] : host.runs)
        free = free - m_jobs.at(parseTaskId(task)->job).resources;
    return free;
}

void ClusterSimulation::account()
{
    for (const auto& [job, step] : m_jobs) {
        Service& service = m_services.at(job);
        service.offered += m_settings.cycle * step.tasks;
        service.received += m_settings.cycle * running(job);
        if (step.longRunning)
            accountWaits(job);
    }
}

void ClusterSimulation::accountWaits(const std::string& job)
{
    const StepSpec& step = m_jobs.at(job);
    uint32_t room = 0;
    for (const auto& [name, host] : m_hosts) {
        if (host.lost)
            continue;
        for (Resources free = freeOn(host); room < 2 && step.resources.fitsIn(free); free = free - step.resources)
            ++room;
    }
    Service& service = m_services.at(job);
    for (uint32_t index = 0; index < step.tasks; ++index) {
        Duration& wait = m_waits[TaskId { job, 0, 0, index }.text()];
        wait = room < 2 || isRunning(job, index) ? Duration { 0 } : wait + m_settings.cycle;
        service.longestWaitWithRoom = std::max(service.longestWaitWithRoom, wait);
    }
}

} // namespace hemlocklead
