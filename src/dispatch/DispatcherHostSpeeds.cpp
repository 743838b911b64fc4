#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    /// Whether the duration of a run that has ended and was removed from the host shows the host's speed. It does not
    /// if the run was paused or slowed down, depended on other hosts, or shared too few processors with others.
    bool showsHostSpeed(const HostState& host, const HostRun& run, const StepSpec& step)
    {
        const bool dependsOnOthers
            = step.gang || step.sameRack || (!step.dataRack.empty() && step.dataRack != host.last.rack);
        const bool lackedProcessors = run.bestEffort && lacksIdleProcessors(step, host);
        return !run.wasSlowed && !dependsOnOthers && !lackedProcessors;
    }

} // namespace

void Dispatcher::learnDuration(const HostState& host, const HostRun& run, const StepSpec& step)
{
    const Instant now = m_clock.now();
    const Duration measured = now - *run.fullRunOrderedAt;
    if (m_settings.placeByHostSpeed) {
        if (showsHostSpeed(host, run, step)) {
            m_hostSpeeds.noteRun(
                { host.name, run.task.job, run.task.step, step.image, m_durations.estimate(step), measured }, now);
        }
        // Otherwise a slow host makes tasks seem long everywhere, and its own runs as long as expected.
        if (!m_hostSpeeds.isNormal(host.name, now))
            return;
    }
    m_durations.observe(step, measured);
}

void Dispatcher::updateHostSpeeds()
{
    if (!m_settings.placeByHostSpeed)
        return;
    const Instant now = m_clock.now();
    for (const learning::HostSpeeds::Change& change : m_hostSpeeds.update(m_hosts.hosts().size(), now)) {
        LogEvent(LogLevel::Info, change.isSlow ? "host_slow" : "host_recovered")
            .field("host", change.host)
            .field("speed_percent", static_cast<int64_t>(std::lround(change.speed * 100)));
    }
    for (auto& [name, host] : m_hosts.hosts())
        host.speed = 1;
    const std::map<std::string, double> slow = m_hostSpeeds.slowHosts(now);
    for (const auto& [name, speed] : slow) {
        if (HostState* host = m_hosts.find(name))
            host->speed = speed;
    }
    m_counters.set("hosts_slow", static_cast<int64_t>(slow.size()));
}

void Dispatcher::forgetHostSpeeds()
{
    m_hostSpeeds.clear();
    if (m_settings.placeByHostSpeed)
        m_counters.set("hosts_slow", 0);
}

} // namespace hemlocklead::dispatch
