#include "coordination/StartEjector.h"

#include <algorithm>

namespace hemlocklead {

StartEjector::StartEjector(Settings settings)
    : m_settings(settings)
{
}

void StartEjector::noteFailure(const std::string& host, const std::string& job, size_t hosts, Instant now)
{
    Record& record = m_records[host];
    ++record.failuresInRow;
    record.lastFailureAt = now;
    record.jobs.insert(job);
    const bool failsEverything = record.failuresInRow >= m_settings.failures && record.jobs.size() >= m_settings.jobs;
    if (!failsEverything && !record.onProbation)
        return;
    if (!record.onProbation && !mayEjectMore(hosts, now))
        return;
    record.onProbation = true;
    record.until = now + m_settings.ejection;
}

void StartEjector::noteSuccess(const std::string& host) { m_records.erase(host); }

void StartEjector::noteAtWork(const std::string& host, Instant seenAt)
{
    const auto found = m_records.find(host);
    if (found != m_records.end() && seenAt > found->second.lastFailureAt)
        noteSuccess(host);
}

void StartEjector::notePlaced(const std::string& host, Instant now)
{
    const auto found = m_records.find(host);
    if (found != m_records.end() && found->second.onProbation)
        found->second.until = now + m_settings.ejection;
}

bool StartEjector::isEjected(const std::string& host, Instant now) const
{
    const auto found = m_records.find(host);
    return found != m_records.end() && found->second.onProbation && now < found->second.until;
}

std::vector<std::string> StartEjector::ejected(Instant now) const
{
    std::vector<std::string> hosts;
    for (const auto& [host, record] : m_records) {
        if (isEjected(host, now))
            hosts.push_back(host);
    }
    return hosts;
}

std::map<std::string, Duration> StartEjector::ejections(Instant now) const
{
    std::map<std::string, Duration> hosts;
    for (const auto& [host, record] : m_records) {
        if (record.onProbation)
            hosts.emplace(host, std::max(record.until - now, Duration { 0 }));
    }
    return hosts;
}

void StartEjector::adopt(const std::string& host, Duration remaining, size_t hosts, Instant now)
{
    if (!mayEjectMore(hosts, now))
        return;
    Record& record = m_records[host];
    record.lastFailureAt = now;
    record.onProbation = true;
    record.until = now + std::clamp(remaining, Duration { 0 }, m_settings.ejection);
}

void StartEjector::forget(const std::string& host) { m_records.erase(host); }

bool StartEjector::mayEjectMore(size_t hosts, Instant now) const
{
    return (ejected(now).size() + 1) * 100 <= hosts * static_cast<size_t>(m_settings.maxEjectedPercent);
}

} // namespace hemlocklead
