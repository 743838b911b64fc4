#include "coordination/TargetChooser.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr double latencyWeight = 0.2; ///< Weight of a new sample in the moving average.
    constexpr double defaultLatencyUs = 1000; ///< For hosts that nothing is known of.
    constexpr double failurePenalty = 9; ///< A host that always fails scores as ten times its latency.

    /// Requests of other entries change quickly; an older report says nothing about them.
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

std::optional<std::string> TargetChooser::choose(const Need& need, const IsOut& isOut, Instant now)
{
    if (auto probe = chooseProbe(need, isOut, now))
        return probe;
    std::vector<Entry> entries = usable(need, isOut, false);
    if (entries.empty())
        entries = usable(need, isOut, true);
    if (entries.empty())
        return std::nullopt;
    entries = preferOwn(entries, now);
    const size_t first = m_random() % entries.size();
    if (entries.size() == 1)
        return entries[first]->first;
    const size_t second = (first + 1 + m_random() % (entries.size() - 1)) % entries.size();
    const bool takeFirst = score(entries[first], now) <= score(entries[second], now);
    return entries[takeFirst ? first : second]->first;
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
    // A host that left and came back starts again at zero while older requests may still end.
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

std::optional<std::string> TargetChooser::chooseProbe(const Need& need, const IsOut& isOut, Instant now)
{
    if (m_ejector.ejectedCount() == 0)
        return std::nullopt;
    for (const auto& [host, target] : m_targets) {
        const bool usableHost = !target.leaving && !isOut(target.report.dataCentre) && !need.tried.contains(host);
        if (!usableHost || !m_ejector.isProbeDue(host, now, need.idempotent))
            continue;
        m_ejector.probeSent(host, now);
        return host;
    }
    return std::nullopt;
}

std::vector<TargetChooser::Entry> TargetChooser::usable(const Need& need, const IsOut& isOut, bool allowTried) const
{
    std::vector<Entry> entries;
    for (auto entry = m_targets.begin(); entry != m_targets.end(); ++entry) {
        const auto& [host, target] = *entry;
        if (target.leaving || target.report.slots <= 0 || isOut(target.report.dataCentre))
            continue;
        if (m_ejector.isEjected(host) || (!allowTried && need.tried.contains(host)))
            continue;
        entries.push_back(entry);
    }
    return entries;
}

std::vector<TargetChooser::Entry> TargetChooser::preferOwn(const std::vector<Entry>& entries, Instant now) const
{
    std::vector<Entry> own;
    for (const Entry entry : entries) {
        const Target& target = entry->second;
        if (target.report.dataCentre == m_ownDataCentre && load(target, now) < target.report.slots)
            own.push_back(entry);
    }
    return own.empty() ? entries : own;
}

double TargetChooser::score(Entry entry, Instant now) const
{
    const Target& target = entry->second;
    const double latency = target.latencyUs > 0 ? target.latencyUs : defaultLatencyUs;
    const double occupied = static_cast<double>(load(target, now) + 1) / static_cast<double>(target.report.slots);
    return latency * occupied * (1 + failurePenalty * m_ejector.failureRate(entry->first, now));
}

} // namespace hemlocklead
