#include "coordination/HostEjector.h"

#include <algorithm>

namespace hemlocklead {

void HostEjector::addHost(const std::string& host) { m_hosts.try_emplace(host); }

void HostEjector::removeHost(std::string_view host)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        m_hosts.erase(found);
}

void HostEjector::record(std::string_view name, bool success, Instant now)
{
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end())
        return;
    Host& host = found->second;
    if (host.ejected) {
        recordProbe(host, success, now);
        return;
    }
    count(host, success, now);
    if (!success)
        ejectIfFailing(host, now);
}

bool HostEjector::isEjected(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second.ejected;
}

bool HostEjector::isProbeDue(std::string_view name, Instant now, bool idempotent) const
{
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end() || !found->second.ejected)
        return false;
    const Instant from = found->second.probeFrom + (idempotent ? Duration { 0 } : m_settings.ejection);
    return now >= from;
}

void HostEjector::probeSent(std::string_view name, Instant now)
{
    const auto found = m_hosts.find(name);
    if (found != m_hosts.end())
        found->second.probeFrom = now + m_settings.probeInterval;
}

double HostEjector::failureRate(std::string_view name, Instant now) const
{
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end())
        return 0;
    const Sum results = sum(found->second, now);
    return results.total == 0 ? 0 : static_cast<double>(results.failed) / static_cast<double>(results.total);
}

size_t HostEjector::ejectedCount() const
{
    return static_cast<size_t>(std::ranges::count_if(m_hosts, [](const auto& entry) { return entry.second.ejected; }));
}

HostEjector::Sum HostEjector::sum(const Host& host, Instant now)
{
    const int64_t current = now.time_since_epoch() / bucketLength;
    Sum results;
    for (const Bucket& bucket : host.buckets) {
        if (bucket.period <= current - static_cast<int64_t>(bucketCount))
            continue;
        results.total += bucket.succeeded + bucket.failed;
        results.failed += bucket.failed;
    }
    return results;
}

void HostEjector::count(Host& host, bool success, Instant now)
{
    const int64_t period = now.time_since_epoch() / bucketLength;
    Bucket& bucket = host.buckets[static_cast<size_t>(period) % bucketCount];
    if (bucket.period != period)
        bucket = { period, 0, 0 };
    ++(success ? bucket.succeeded : bucket.failed);
}

void HostEjector::recordProbe(Host& host, bool success, Instant now) const
{
    if (!success) {
        host.probesSucceeded = 0;
        host.probeFrom = now + m_settings.ejection;
        return;
    }
    if (++host.probesSucceeded < m_settings.probesNeeded)
        return;
    host = Host {};
}

void HostEjector::ejectIfFailing(Host& host, Instant now) const
{
    const Sum results = sum(host, now);
    if (results.total < m_settings.minSamples)
        return;
    if (static_cast<double>(results.failed) < m_settings.maxFailureRate * static_cast<double>(results.total))
        return;
    if ((ejectedCount() + 1) * 2 > m_hosts.size())
        return;
    host.ejected = true;
    host.probesSucceeded = 0;
    host.probeFrom = now + m_settings.ejection;
}

} // namespace hemlocklead
