#include "coordination/LeaseBook.h"

namespace hemlocklead {

LeaseBook::LeaseBook(Settings settings)
    : m_settings(settings)
{
}

void LeaseBook::add(const AttemptKey& key) { m_leases[key] = Lease {}; }

void LeaseBook::adopt(const AttemptKey& key, Instant claimReadAt)
{
    Lease lease;
    lease.claimReadAt = claimReadAt;
    m_leases[key] = lease;
}

void LeaseBook::remove(const AttemptKey& key) { m_leases.erase(key); }

void LeaseBook::clear() { m_leases.clear(); }

void LeaseBook::noteSent(const AttemptKey& key, Instant now, std::optional<Stamp> startEcho)
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

void LeaseBook::noteListed(const AttemptKey& key, const Stamp& stamp)
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end())
        return;
    Lease& lease = found->second;
    lease.absentSince.reset();
    // The start that the listing shows was sent before it, so its echo is not later than this stamp.
    if (!lease.startEcho)
        lease.startEcho = stamp;
}

void LeaseBook::noteAbsent(const AttemptKey& key, const Stamp& stamp, Instant now)
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

bool LeaseBook::isProvedEnded(const AttemptKey& key, Instant now) const
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end())
        return false;
    const Lease& lease = found->second;
    const bool confirmed = lease.absentSince && now - *lease.absentSince >= m_settings.confirmationGrace;
    return confirmed || hasExpired(lease, now);
}

std::optional<Instant> LeaseBook::lastSent(const AttemptKey& key) const
{
    const auto found = m_leases.find(key);
    return found == m_leases.end() ? std::nullopt : found->second.lastSent;
}

bool LeaseBook::hasExpired(const Lease& lease, Instant now) const
{
    const Duration leaseAndMargin = m_settings.lease + m_settings.margin;
    if (lease.claimReadAt && now <= *lease.claimReadAt + m_settings.authority + leaseAndMargin)
        return false;
    if (lease.lastSent)
        return now > *lease.lastSent + leaseAndMargin;
    // Without a lease from this owner only a former owner's can have been in force, and that has run out.
    return lease.claimReadAt.has_value();
}

} // namespace hemlocklead
