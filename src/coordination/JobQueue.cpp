#include "coordination/JobQueue.h"

#include <algorithm>
#include <cassert>

namespace hemlocklead {

namespace {

    /// Returns the largest share that `used` takes of any resource that the quota limits.
    double largestShare(const Resources& used, const Resources& quota)
    {
        const auto share = [](int64_t part, int64_t whole) {
            return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
        };
        return std::max({ share(used.cpuMilli, quota.cpuMilli), share(used.memoryMib, quota.memoryMib),
            share(used.accelerators, quota.accelerators) });
    }

    /// Returns whether `used` is within `quota`, where an amount of 0 means no limit.
    bool fitsInQuota(const Resources& used, const Resources& quota)
    {
        const auto within = [](int64_t part, int64_t whole) { return whole == 0 || part <= whole; };
        return within(used.cpuMilli, quota.cpuMilli) && within(used.memoryMib, quota.memoryMib)
            && within(used.accelerators, quota.accelerators);
    }

} // namespace

JobQueue::JobQueue(LimitsLookup limitsLookup)
    : m_limitsLookup(std::move(limitsLookup))
{
}

void JobQueue::addJob(const QueuedJob& job) { m_jobs[job.id].job = job; }

void JobQueue::removeJob(const std::string& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    const size_t waiting = found->second.ready.size() + found->second.backingOff.size();
    m_waiting -= waiting;
    m_waitingByName[found->second.job.name] -= waiting;
    m_jobsWithWaiting.erase(id);
    m_jobs.erase(found);
}

void JobQueue::clear()
{
    m_jobsWithWaiting.clear();
    m_jobs.clear();
    m_usage.clear();
    m_waitingByName.clear();
    m_waiting = 0;
}

void JobQueue::push(const QueuedTask& task, Instant notBefore)
{
    const auto found = m_jobs.find(task.job);
    assert(found != m_jobs.end());
    Entry& entry = found->second;
    const bool added = !entry.ready.contains(task.index) && entry.backingOff.emplace(notBefore, task.index).second;
    if (!added)
        return;
    ++m_waiting;
    ++m_waitingByName[entry.job.name];
    m_jobsWithWaiting[task.job] = &entry;
}

std::optional<QueuedTask> JobQueue::next(Instant now)
{
    std::map<std::string_view, double> shares;
    const auto shareOfTeam = [&](const std::string& team) {
        const auto [found, isNew] = shares.try_emplace(team, 0.0);
        if (isNew)
            found->second = dominantShare(team);
        return found->second;
    };
    Entry* best = nullptr;
    Order bestOrder;
    for (const auto& [id, entry] : m_jobsWithWaiting) {
        if (!isReady(*entry, now))
            continue;
        const Order order { shareOfTeam(entry->job.team), entry->job.acceptedAtUnixMs };
        const bool sameUrgency = best && best->job.urgent == entry->job.urgent;
        const bool better = !best || (sameUrgency ? order < bestOrder : entry->job.urgent);
        if (better && isWithinLimits(entry->job)) {
            best = entry;
            bestOrder = order;
        }
    }
    if (!best)
        return std::nullopt;
    const QueuedTask task { best->job.id, *best->ready.begin() };
    best->ready.erase(best->ready.begin());
    --m_waiting;
    --m_waitingByName[best->job.name];
    if (best->ready.empty() && best->backingOff.empty())
        m_jobsWithWaiting.erase(task.job);
    return task;
}

void JobQueue::defer(const std::string& id, Instant until)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end())
        found->second.deferredUntil = until;
}

void JobQueue::setUnplaceable(const std::string& id, const std::string& reason)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end())
        found->second.unplaceable = reason;
}

void JobQueue::noteRunning(const QueuedJob& job)
{
    Usage& usage = m_usage[job.name];
    usage.team = job.team;
    usage.resources = usage.resources + job.resources;
    ++usage.running;
}

void JobQueue::noteEnded(const QueuedJob& job)
{
    Usage& usage = m_usage[job.name];
    usage.resources = usage.resources - job.resources;
    --usage.running;
    assert(usage.running >= 0);
}

const QueuedJob* JobQueue::job(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.job;
}

size_t JobQueue::waitingOf(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? 0 : found->second.ready.size() + found->second.backingOff.size();
}

size_t JobQueue::waitingOfName(std::string_view name) const
{
    const auto found = m_waitingByName.find(name);
    return found == m_waitingByName.end() ? 0 : found->second;
}

std::vector<std::pair<std::string, std::string>> JobQueue::unplaceable() const
{
    std::vector<std::pair<std::string, std::string>> jobs;
    for (const auto& [id, entry] : m_jobsWithWaiting) {
        if (!entry->unplaceable.empty())
            jobs.emplace_back(id, entry->unplaceable);
    }
    return jobs;
}

std::vector<std::string> JobQueue::waitingWatches() const
{
    std::vector<std::string> jobs;
    for (const auto& [id, entry] : m_jobsWithWaiting) {
        if (entry->job.watch)
            jobs.push_back(id);
    }
    return jobs;
}

double JobQueue::dominantShare(std::string_view team) const
{
    double share = 0;
    for (const auto& [name, usage] : m_usage) {
        if (usage.team == team)
            share = std::max(share, shareOf(name, usage));
    }
    return share;
}

bool JobQueue::isWithinLimits(const QueuedJob& job) const
{
    const Limits* limits = m_limitsLookup(job.name);
    const auto found = m_usage.find(job.name);
    if (!limits)
        return true;
    const Usage usage = found == m_usage.end() ? Usage {} : found->second;
    const bool belowCount = limits->maxRunning == 0 || usage.running < limits->maxRunning;
    return belowCount && fitsInQuota(usage.resources + job.resources, limits->teamQuota);
}

bool JobQueue::isReady(Entry& entry, Instant now)
{
    if (!entry.unplaceable.empty() || now < entry.deferredUntil)
        return false;
    while (!entry.backingOff.empty() && entry.backingOff.begin()->first <= now) {
        entry.ready.insert(entry.backingOff.begin()->second);
        entry.backingOff.erase(entry.backingOff.begin());
    }
    return !entry.ready.empty();
}

double JobQueue::shareOf(std::string_view name, const Usage& usage) const
{
    const Limits* limits = m_limitsLookup(name);
    const bool hasQuota = limits && limits->teamQuota != Resources {};
    return largestShare(usage.resources, hasQuota ? limits->teamQuota : m_capacity);
}

} // namespace hemlocklead
