#include "dispatch/Dispatcher.h"
#include "dispatch/RoomKinds.h"

namespace hemlocklead::dispatch {

using overload::RoomKind;

void Dispatcher::publishLoad(std::vector<JournalRecord>& records)
{
    // The rate of work starts at nothing with each owner and is smoothed over 2 s, so it is 95% of its value after 6 s
    // of work, and hosts take up to 1 s to report. A lower rate would reject jobs that there is room for.
    constexpr Duration minMeasuredTime { 7000 };
    const Instant now = m_clock.now();
    if (!m_settings.admissionByBacklog || now - m_activeSince < minMeasuredTime || !m_loadSchedule.isDue(now))
        return;
    overload::QueueLoads loads = queueLoads();
    if (!m_loadSchedule.isNeeded(loads))
        return;
    m_loadSchedule.notePublished(loads, now);
    records.push_back({ std::string(loadKey), loadValue({ m_writer.epoch(), std::move(loads), now }), 0 });
    m_counters.add("load_records");
}

overload::QueueLoads Dispatcher::queueLoads()
{
    if (!m_room.isScarce(RoomKind::Reserved) && !m_room.isScarce(RoomKind::BestEffort))
        return {};
    overload::Backlog backlog;
    for (const std::string& id : m_openJobs) {
        Job* job = m_registry.find(id);
        if (!job || !isDivided(job->spec()))
            continue;
        const JobPlan& plan = planOf(*job);
        backlog.add({ job->policy().queue, roomKindOf(job->spec()), m_room.classOf(id), job->policy().priority,
            m_room.workOf(id), plan.objective - plan.longestPath() });
    }
    return backlog.loads({ m_room.cores(RoomKind::Reserved), m_room.cores(RoomKind::BestEffort) });
}

} // namespace hemlocklead::dispatch
