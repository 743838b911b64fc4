#include "overload/RoomDivision.h"

#include <utility>

namespace hemlocklead::overload {

RoomDivision::RoomDivision(Settings settings)
    : m_settings(settings)
    , m_estimators { RoomEstimator(settings.estimator), RoomEstimator(settings.estimator) }
{
}

void RoomDivision::plan(std::vector<Job> jobs, Instant now)
{
    m_plannedAt = now;
    // Entries stay in place: allocating them anew took a third of the time of a plan for 2,000 jobs.
    for (auto& [id, entry] : m_jobs)
        entry.isNamed = false;
    std::array<std::vector<RoomDemand>, roomKindCount> demands;
    std::array<std::vector<Planned*>, roomKindCount> planned;
    for (Job& job : jobs) {
        Planned& entry = m_jobs[std::move(job.id)];
        entry.isNamed = true;
        entry.coreSeconds = job.demand.coreSeconds;
        job.demand.deferredFor = entry.deferredSince ? now - *entry.deferredSince : Duration { 0 };
        const auto kind = static_cast<size_t>(job.kind);
        demands[kind].push_back(job.demand);
        planned[kind].push_back(&entry);
    }
    std::erase_if(m_jobs, [](const auto& entry) { return !entry.second.isNamed; });
    for (size_t kind = 0; kind < roomKindCount; ++kind) {
        m_estimators[kind].update(now);
        m_cores[kind] = m_estimators[kind].cores(now);
        m_counts[kind] = {};
        const std::vector<RoomClass> classes = planRoom(demands[kind], m_cores[kind]);
        for (size_t i = 0; i < classes.size(); ++i) {
            Planned& entry = *planned[kind][i];
            entry.roomClass = classes[i];
            ++m_counts[kind][static_cast<size_t>(classes[i])];
            const bool hasTurn = demands[kind][i].deferredFor >= maxDeferral;
            if (classes[i] == RoomClass::InTime && !hasTurn)
                entry.deferredSince.reset();
            else if (!entry.deferredSince)
                entry.deferredSince = now;
        }
    }
}

RoomClass RoomDivision::classOf(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? RoomClass::InTime : found->second.roomClass;
}

double RoomDivision::workOf(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.coreSeconds;
}

void RoomDivision::clear() { *this = RoomDivision(m_settings); }

} // namespace hemlocklead::overload
