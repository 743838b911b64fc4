#include "entry/TaskPlacer.h"

#include "base/Log.h"
#include "entry/JobId.h"

#include <algorithm>
#include <cassert>

namespace hemlocklead {

namespace {

    constexpr Duration reserveTimeout { 2000 };
    /// Delay before a job that found no host is retried, unless it is urgent, and between evictions for an urgent job.
    constexpr Duration deferDelay { 100 };
    constexpr Duration refusalRetryDelay { 50 };
    /// Time without placements on a host that is not connected or refuses for a reason other than capacity.
    constexpr Duration hostAvoidTime { 1000 };
    constexpr Duration evictionTimeout { 3000 }; ///< After which an eviction is no longer expected to free capacity.
    constexpr size_t maxPlacementsPerTick = 200; ///< Bounds the duration of a tick.
    constexpr size_t maxEvictionsPerRound = 32;

} // namespace

TaskPlacer::TaskPlacer(ShardLog& log, const ShardEnvironment& environment, JobQueue& queue, AttemptTracker& attempts)
    : m_log(log)
    , m_environment(environment)
    , m_queue(queue)
    , m_attempts(attempts)
{
}

void TaskPlacer::clear()
{
    ++m_generation;
    m_pending.clear();
    m_pendingCounts.clear();
    m_shortages.clear();
}

void TaskPlacer::tick()
{
    requeueTimedOut();
    if (!m_log.hasAuthority() || m_queue.waiting() == 0)
        return;
    const Instant now = m_environment.clock.now();
    m_environment.hosts.refresh(m_environment.control.state(), now);
    m_queue.setCapacity(m_environment.hosts.totalCapacity());
    recheckUnplaceable();
    for (size_t i = 0; i < maxPlacementsPerTick; ++i) {
        const std::optional<QueuedTask> task = m_queue.next(now);
        if (!task)
            return;
        place(*task);
    }
}

void TaskPlacer::handleReserveReply(const std::string& host, const ReserveReply& reply)
{
    const auto found = m_pending.find(reply.key);
    if (found == m_pending.end() || found->second.host != host || found->second.appending)
        return;
    if (!reply.granted) {
        m_environment.counters.add("reservations_refused");
        if (reply.refusal != errorName(ErrorKind::NoCapacity))
            m_environment.hosts.avoid(host, m_environment.clock.now() + hostAvoidTime);
        releaseAndRequeue(reply.key, refusalRetryDelay);
        return;
    }
    const JobState* job = m_log.state().job(reply.key.job);
    if (!job || job->phase != JobPhase::Active || !m_log.hasAuthority()) {
        releaseAndRequeue(reply.key, refusalRetryDelay);
        return;
    }
    found->second.appending = true;
    m_log.append(assignedRecord(m_log.epoch(), reply.key, host),
        [this, key = reply.key, generation = m_generation](const RecordOutcome& outcome) {
            if (generation == m_generation)
                handleAssignedRecord(key, outcome);
        });
}

void TaskPlacer::agentGone(const std::string& host)
{
    std::vector<AttemptKey> keys;
    for (const auto& [key, pending] : m_pending) {
        if (pending.host == host && !pending.appending)
            keys.push_back(key);
    }
    for (const AttemptKey& key : keys)
        releaseAndRequeue(key, Duration { 0 });
}

void TaskPlacer::place(const QueuedTask& task)
{
    const QueuedJob job = *m_queue.job(task.job);
    const JobState* state = m_log.state().job(task.job);
    if (!state || state->tasks[task.index].phase != TaskPhase::Waiting)
        return;
    const PlacementRequest request = requestFor(task, job);
    const auto hosts = m_environment.hosts.hosts();
    const std::optional<size_t> chosen = Placement::chooseHost(request, hosts);
    if (!chosen) {
        handleNoHost(task, job, request);
        return;
    }
    const AttemptKey key { task.job, task.index, state->tasks[task.index].lastAttempt + 1 };
    reserve(key, job, hosts[*chosen]);
}

void TaskPlacer::reserve(const AttemptKey& key, const QueuedJob& job, const PlacementHost& chosen)
{
    const Instant now = m_environment.clock.now();
    const std::string host = chosen.name;
    m_queue.noteRunning(job);
    addPending(key, { job, host, chosen.dataCentre, chosen.rack, now });
    if (!m_environment.send(host, Reserve { m_log.shard(), key, job.resources })) {
        m_environment.hosts.avoid(host, now + hostAvoidTime);
        releaseAndRequeue(key, refusalRetryDelay);
        return;
    }
    m_environment.hosts.addPendingReservation(host, key, job.resources);
    m_environment.hosts.ejector().notePlaced(host, now);
    const auto shortage = m_shortages.find(job.id);
    if (shortage != m_shortages.end() && !shortage->second.evictionDeadlines.empty())
        shortage->second.evictionDeadlines.pop_front();
}

void TaskPlacer::addPending(const AttemptKey& key, Pending pending)
{
    const auto [added, isNew] = m_pending.emplace(key, std::move(pending));
    assert(isNew);
    PendingCounts& counts = m_pendingCounts[key.job];
    ++counts.tasks;
    ++counts.inDataCentre[added->second.dataCentre];
    ++counts.inRack[added->second.rack];
}

void TaskPlacer::removePending(std::map<AttemptKey, Pending>::iterator found)
{
    const auto counts = m_pendingCounts.find(found->first.job);
    --counts->second.inDataCentre[found->second.dataCentre];
    --counts->second.inRack[found->second.rack];
    if (--counts->second.tasks == 0)
        m_pendingCounts.erase(counts);
    m_pending.erase(found);
}

void TaskPlacer::handleNoHost(const QueuedTask& task, const QueuedJob& job, const PlacementRequest& request)
{
    const Instant now = m_environment.clock.now();
    m_queue.push(task, now);
    // Urgent jobs are retried in the next tick, before other jobs can take the capacity that an eviction freed.
    m_queue.defer(task.job, now + (job.urgent ? Duration { 1 } : deferDelay));
    const auto hosts = m_environment.hosts.hosts();
    if (!hosts.empty() && !Placement::fitsAnyHost(request.resources, hosts)) {
        m_queue.setUnplaceable(task.job, "a task is larger than any known host");
        LogEvent(LogLevel::Warning, "job_unplaceable").field("job", task.job);
        return;
    }
    if (job.urgent)
        evictFor(job, request);
}

void TaskPlacer::evictFor(const QueuedJob& job, const PlacementRequest& request)
{
    const Instant now = m_environment.clock.now();
    Shortage& shortage = m_shortages[job.id];
    if (now < shortage.nextEvictionAt)
        return;
    shortage.nextEvictionAt = now + deferDelay;
    std::deque<Instant>& deadlines = shortage.evictionDeadlines;
    while (!deadlines.empty() && deadlines.front() <= now)
        deadlines.pop_front();
    const size_t waiting = m_queue.waitingOf(job.id);
    if (waiting <= deadlines.size())
        return;
    const size_t count = std::min(waiting - deadlines.size(), maxEvictionsPerRound);
    const auto candidates = m_environment.hosts.evictable(now);
    const auto evictions = Placement::chooseEvictions(request, m_environment.hosts.hosts(), candidates, count);
    if (evictions.empty())
        return;
    for (const EvictionCandidate& eviction : evictions)
        evict(eviction);
    deadlines.insert(deadlines.end(), count, now + evictionTimeout);
}

void TaskPlacer::evict(const EvictionCandidate& candidate)
{
    const Instant now = m_environment.clock.now();
    m_environment.hosts.markEvicting(candidate.key, now + evictionTimeout);
    m_environment.counters.add("evictions_for_urgent");
    LogEvent(LogLevel::Info, "evict_for_urgent").field("task", candidate.key.taskId()).field("host", candidate.host);
    const std::optional<uint32_t> shard = shardOfJobId(candidate.key.job);
    if (shard == m_log.shard())
        m_attempts.stop(candidate.key, EndReason::Evicted, true);
    else if (shard)
        m_environment.send(
            candidate.host, Stop { *shard, m_environment.epochOf(*shard), candidate.key, EndReason::Evicted, true });
}

void TaskPlacer::handleAssignedRecord(const AttemptKey& key, const RecordOutcome& outcome)
{
    const auto found = m_pending.find(key);
    assert(found != m_pending.end());
    const std::string host = found->second.host;
    const JobState* job = m_log.state().job(key.job);
    const OpenAttempt expected { key.attempt, host };
    if (!outcome.stored || !m_log.isOwner() || !job || job->tasks[key.index].open != expected) {
        releaseAndRequeue(key, refusalRetryDelay);
        return;
    }
    removePending(found);
    m_attempts.startAssigned(key, host);
}

void TaskPlacer::releaseAndRequeue(const AttemptKey& key, Duration delay)
{
    const auto found = m_pending.find(key);
    const Pending pending = found->second;
    removePending(found);
    m_environment.hosts.removePendingReservation(pending.host, key);
    m_queue.noteEnded(pending.job);
    const JobState* job = m_log.state().job(key.job);
    if (job && m_queue.job(key.job) && job->tasks[key.index].phase == TaskPhase::Waiting)
        m_queue.push({ key.job, key.index }, m_environment.clock.now() + delay);
}

void TaskPlacer::requeueTimedOut()
{
    const Instant now = m_environment.clock.now();
    std::vector<AttemptKey> keys;
    for (const auto& [key, pending] : m_pending) {
        if (!pending.appending && now - pending.sentAt > reserveTimeout)
            keys.push_back(key);
    }
    for (const AttemptKey& key : keys)
        releaseAndRequeue(key, Duration { 0 });
}

void TaskPlacer::recheckUnplaceable()
{
    if (m_hostsVersion == m_environment.hosts.version())
        return;
    m_hostsVersion = m_environment.hosts.version();
    for (const auto& [job, reason] : m_queue.unplaceable())
        m_queue.setUnplaceable(job, {});
}

bool TaskPlacer::fitsElsewhere(const Resources& resources, const std::string& host) const
{
    return std::ranges::any_of(m_environment.hosts.hosts(), [&](const PlacementHost& other) {
        return other.usable && other.name != host && resources.fitsIn(other.capacity);
    });
}

PlacementRequest TaskPlacer::requestFor(const QueuedTask& task, const QueuedJob& job) const
{
    const TaskState& state = m_log.state().job(task.job)->tasks[task.index];
    PlacementRequest request;
    request.resources = job.resources;
    request.tasksInDataCentre = m_attempts.tasksInDataCentre(task.job);
    request.tasksInRack = m_attempts.tasksInRack(task.job);
    // Pending tasks have no open attempt yet. If they were not counted, all tasks of a job that are placed in one tick
    // would go to the same host.
    const auto pending = m_pendingCounts.find(task.job);
    if (pending != m_pendingCounts.end()) {
        for (const auto& [dataCentre, count] : pending->second.inDataCentre)
            request.tasksInDataCentre[dataCentre] += count;
        for (const auto& [rack, count] : pending->second.inRack)
            request.tasksInRack[rack] += count;
    }
    request.interference = m_environment.hosts.interferenceOf(job.name);
    if (state.failures > 0 && fitsElsewhere(job.resources, state.lastHost))
        request.avoidedHost = state.lastHost;
    return request;
}

} // namespace hemlocklead
