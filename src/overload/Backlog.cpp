#include "overload/Backlog.h"

#include <algorithm>
#include <utility>

namespace hemlocklead::overload {

namespace {

    /// Keeps published times in range when hardly any work gets done.
    constexpr Duration maxTime = std::chrono::hours { 1 };

} // namespace

/// The jobs of one queue and kind.
struct Backlog::QueueJobs {
    int64_t priority { 0 };
    int64_t count { 0 };
    double coreSeconds { 0 };
    Duration slack { 0 }; ///< Sum.
};

QueueLoads Backlog::loads(const std::array<std::optional<double>, roomKindCount>& cores) const
{
    std::map<std::pair<std::string, RoomKind>, QueueJobs> queues;
    for (const BacklogJob& job : m_jobs) {
        QueueJobs& queue = queues[{ job.queue, job.kind }];
        queue.priority = job.priority;
        ++queue.count;
        queue.coreSeconds += job.coreSeconds;
        queue.slack += job.slack;
    }
    QueueLoads loads;
    for (const auto& [key, queue] : queues) {
        const auto& [name, kind] = key;
        const double rate = cores[static_cast<size_t>(kind)].value_or(0);
        const QueueLoad load = rate > 0 ? loadOf(queue, kind, rate) : QueueLoad {};
        const auto [known, isNew] = loads.try_emplace(name, load);
        if (!isNew && load.wait < known->second.wait)
            known->second = load;
    }
    std::erase_if(loads, [](const auto& load) { return load.second == QueueLoad {}; });
    return loads;
}

QueueLoad Backlog::loadOf(const QueueJobs& queue, RoomKind kind, double cores) const
{
    const double newJob = queue.coreSeconds / static_cast<double>(queue.count);
    double all = 0;
    double inTime = 0;
    double late = 0;
    for (const BacklogJob& job : m_jobs) {
        if (job.kind != kind)
            continue;
        all += job.coreSeconds;
        // Placement orders by priority first, then by class, then by work.
        if (job.priority < queue.priority || (job.priority == queue.priority && job.roomClass == RoomClass::InTime))
            inTime += job.coreSeconds;
        else if (job.priority == queue.priority && job.roomClass == RoomClass::Late && job.coreSeconds <= newJob)
            late += job.coreSeconds;
    }
    Duration wait = timeFor(inTime, cores);
    if (wait > queue.slack / queue.count)
        wait = timeFor(inTime + late, cores);
    return { std::min(wait, maxTime), std::min(timeFor(all, cores), maxTime) };
}

} // namespace hemlocklead::overload
