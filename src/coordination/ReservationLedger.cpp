#include "coordination/ReservationLedger.h"

#include <algorithm>

namespace hemlocklead {

ReservationLedger::ReservationLedger(Duration reservationTtl)
    : m_reservationTtl(reservationTtl)
{
}

std::optional<ErrorKind> ReservationLedger::reserve(const std::string& id, const Resources& amount, Instant now)
{
    if (!m_ready)
        return ErrorKind::NotReady;
    if (!amount.isNonNegative())
        return ErrorKind::InvalidRequest;
    expire(now);
    if (m_entries.contains(id))
        return {};
    if (!(held() + amount).fitsIn(m_capacity))
        return ErrorKind::NoCapacity;
    m_entries.emplace(id, Entry { amount, now + m_reservationTtl });
    return {};
}

bool ReservationLedger::commit(std::string_view id, Instant now)
{
    expire(now);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    found->second.expiresAt.reset();
    return true;
}

bool ReservationLedger::holds(std::string_view id, Instant now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && (!found->second.expiresAt || *found->second.expiresAt > now);
}

void ReservationLedger::hold(const std::string& id, const Resources& amount)
{
    const auto [entry, added] = m_entries.try_emplace(id, Entry { amount, {} });
    if (!added)
        entry->second.expiresAt.reset();
}

void ReservationLedger::release(std::string_view id)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        m_entries.erase(found);
}

void ReservationLedger::expire(Instant now)
{
    std::erase_if(
        m_entries, [&](const auto& entry) { return entry.second.expiresAt && *entry.second.expiresAt <= now; });
}

Resources ReservationLedger::free() const
{
    const Resources rest = m_capacity - held();
    return { std::max<int64_t>(0, rest.cpuMilli), std::max<int64_t>(0, rest.memoryMib),
        std::max<int64_t>(0, rest.accelerators) };
}

Resources ReservationLedger::held() const
{
    Resources sum;
    for (const auto& [id, entry] : m_entries)
        sum = sum + entry.amount;
    return sum;
}

} // namespace hemlocklead
