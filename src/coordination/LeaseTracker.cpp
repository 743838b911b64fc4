#include "coordination/LeaseTracker.h"

namespace hemlocklead {

LeaseTracker::LeaseTracker(Settings settings)
    : m_settings(settings)
{
}

void LeaseTracker::add(const AttemptKey& key) { m_leases[key] = Lease {}; }

void LeaseTracker::adopt(const AttemptKey& key, Instant claimReadAt)
{
    Lease lease;
    lease.claimReadAt = claimReadAt;
    m_leases[key] = lease;
}

void LeaseTracker::remove(const AttemptKey& key) { m_leases.erase(key); }

void LeaseTracker::clear() { m_leases.clear(); }

void LeaseTracker::noteSent(const AttemptKey& key, Instant now, std::optional<Stamp> startEcho)
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end())
        return;
    found->second.lastSent = now;
    if (!startEcho)
        return;
    found->second.startEcho = startEcho;
    found->second.absentSince.reset();
}

void LeaseTracker::noteListed(const AttemptKey& key, const Stamp& stamp)
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end())
        return;
    Lease& lease = found->second;
    lease.absentSince.reset();
    // The agent received the listed Start before it made this stamp, so the Start echoed no later stamp.
    if (!lease.startEcho)
        lease.startEcho = stamp;
}

void LeaseTracker::noteAbsent(const AttemptKey& key, const Stamp& stamp, Instant now)
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end() || !found->second.startEcho)
        return;
    Lease& lease = found->second;
    const bool restarted = lease.startEcho->incarnation != stamp.incarnation;
    const bool startIsTooOld = stamp.timeMs > lease.startEcho->timeMs + m_settings.startFreshness.count();
    if ((restarted || startIsTooOld) && !lease.absentSince)
        lease.absentSince = now;
}

bool LeaseTracker::hasProvablyEnded(const AttemptKey& key, Instant now) const
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end())
        return false;
    const Lease& lease = found->second;
    const bool confirmed = lease.absentSince && now - *lease.absentSince >= m_settings.confirmationGrace;
    return confirmed || hasExpired(lease, now);
}

std::optional<Instant> LeaseTracker::lastSent(const AttemptKey& key) const
{
    const auto found = m_leases.find(key);
    return found == m_leases.end() ? std::nullopt : found->second.lastSent;
}

bool LeaseTracker::hasExpired(const Lease& lease, Instant now) const
{
    const Duration leaseAndMargin = m_settings.lease + m_settings.margin;
    if (lease.claimReadAt && now <= *lease.claimReadAt + m_settings.authority + leaseAndMargin)
        return false;
    if (lease.lastSent)
        return now > *lease.lastSent + leaseAndMargin;
    // This owner has sent no lease. Only an adopted attempt can have had one, from a former owner, and that has
    // expired.
    return lease.claimReadAt.has_value();
}

} // namespace hemlocklead
