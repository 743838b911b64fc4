#include "coordination/TargetChooser.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr double latencyWeight = 0.2; ///< Weight of a new sample in the moving average.
    constexpr double defaultLatencyUs = 1000; ///< For hosts without a measured latency.
    constexpr double failurePenalty = 9; ///< A host that always fails is scored with ten times its latency.

    /// The load from other entries changes quickly, so a report older than this is ignored.
    constexpr Duration reportValidity { 500 };

    int64_t load(const TargetChooser::Target& target, Instant now)
    {
        if (now - target.reportedAt > reportValidity)
            return target.inFlight;
        return std::max(target.inFlight, target.report.busy);
    }

} // namespace

TargetChooser::TargetChooser(std::string ownDataCentre, uint64_t seed)
    : m_ownDataCentre(std::move(ownDataCentre))
    , m_random(seed)
{
}

void TargetChooser::update(const std::string& host, const Report& report, Instant now)
{
    Target& target = m_targets[host];
    target.report = report;
    target.reportedAt = now;
    if (target.latencyUs == 0)
        target.latencyUs = static_cast<double>(report.latency.count());
    m_ejector.addHost(host);
}

void TargetChooser::remove(std::string_view host)
{
    const auto found = m_targets.find(host);
    if (found != m_targets.end())
        m_targets.erase(found);
    m_ejector.removeHost(host);
}

void TargetChooser::setLeaving(std::string_view host)
{
    const auto found = m_targets.find(host);
    if (found != m_targets.end())
        found->second.leaving = true;
}

std::optional<std::string> TargetChooser::choose(const Requirements& requirements, const IsOut& isOut, Instant now)
{
    if (auto probe = chooseProbe(requirements, isOut, now))
        return probe;
    std::vector<HostIterator> candidates = usableHosts(requirements, isOut, false);
    if (candidates.empty())
        candidates = usableHosts(requirements, isOut, true);
    if (candidates.empty())
        return std::nullopt;
    candidates = preferOwnDataCentre(candidates, now);
    const size_t first = m_random() % candidates.size();
    if (candidates.size() == 1)
        return candidates[first]->first;
    const size_t second = (first + 1 + m_random() % (candidates.size() - 1)) % candidates.size();
    const bool takeFirst = score(candidates[first], now) <= score(candidates[second], now);
    return candidates[takeFirst ? first : second]->first;
}

void TargetChooser::sent(std::string_view host)
{
    const auto found = m_targets.find(host);
    if (found != m_targets.end())
        ++found->second.inFlight;
}

void TargetChooser::ended(std::string_view host, std::optional<std::chrono::microseconds> latency)
{
    const auto found = m_targets.find(host);
    if (found == m_targets.end())
        return;
    Target& target = found->second;
    // A host that was removed and added again starts at zero while its older requests may still end.
    target.inFlight = std::max<int64_t>(0, target.inFlight - 1);
    if (!latency)
        return;
    const auto sample = static_cast<double>(latency->count());
    target.latencyUs = target.latencyUs == 0 ? sample : target.latencyUs + latencyWeight * (sample - target.latencyUs);
}

void TargetChooser::noteBusy(std::string_view host, int64_t busy, Instant now)
{
    const auto found = m_targets.find(host);
    if (found == m_targets.end())
        return;
    found->second.report.busy = busy;
    found->second.reportedAt = now;
}

std::optional<std::string> TargetChooser::chooseProbe(const Requirements& requirements, const IsOut& isOut, Instant now)
{
    if (m_ejector.ejectedCount() == 0)
        return std::nullopt;
    for (const auto& [host, target] : m_targets) {
        const bool usableHost
            = !target.leaving && !isOut(target.report.dataCentre) && !requirements.tried.contains(host);
        if (!usableHost || !m_ejector.isProbeDue(host, now, requirements.idempotent))
            continue;
        m_ejector.probeSent(host, now);
        return host;
    }
    return std::nullopt;
}

std::vector<TargetChooser::HostIterator> TargetChooser::usableHosts(
    const Requirements& requirements, const IsOut& isOut, bool allowTried) const
{
    std::vector<HostIterator> candidates;
    for (auto candidate = m_targets.begin(); candidate != m_targets.end(); ++candidate) {
        const auto& [host, target] = *candidate;
        if (target.leaving || target.report.slots <= 0 || isOut(target.report.dataCentre))
            continue;
        if (m_ejector.isEjected(host) || (!allowTried && requirements.tried.contains(host)))
            continue;
        candidates.push_back(candidate);
    }
    return candidates;
}

std::vector<TargetChooser::HostIterator> TargetChooser::preferOwnDataCentre(
    const std::vector<HostIterator>& candidates, Instant now) const
{
    std::vector<HostIterator> own;
    for (const HostIterator candidate : candidates) {
        const Target& target = candidate->second;
        if (target.report.dataCentre == m_ownDataCentre && load(target, now) < target.report.slots)
            own.push_back(candidate);
    }
    return own.empty() ? candidates : own;
}

double TargetChooser::score(HostIterator candidate, Instant now) const
{
    const Target& target = candidate->second;
    const double latency = target.latencyUs > 0 ? target.latencyUs : defaultLatencyUs;
    const double occupied = static_cast<double>(load(target, now) + 1) / static_cast<double>(target.report.slots);
    return latency * occupied * (1 + failurePenalty * m_ejector.failureRate(candidate->first, now));
}

} // namespace hemlocklead
