#include "coordination/ShardAuthority.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hemlocklead {

uint64_t rendezvousRank(std::string_view entry, uint32_t shard)
{
    const std::string key = std::string(entry) + "/" + std::to_string(shard);
    return XXH3_64bits(key.data(), key.size());
}

ShardAuthority::ShardAuthority(Settings settings, Instant startedAt)
    : m_settings(std::move(settings))
    , m_startedAt(startedAt)
{
}

bool ShardAuthority::shouldClaim(const ShardClaim& claim, const std::vector<LiveEntry>& others, Instant now)
{
    // A claim with this entry's own name that it does not hold was made by a former process of the same entry.
    const bool owned = !claim.entry.empty() && claim.entry != m_settings.self;
    if (owned && isReachable(claim.entry, others, now)) {
        m_unownedSince.reset();
        return false;
    }
    if (!m_unownedSince)
        m_unownedSince = now;
    return hasHighestRank(others, now) || now - *m_unownedSince >= m_settings.ownerTimeout;
}

std::optional<Instant> ShardAuthority::authorityEnd(
    const ShardClaim& claim, uint64_t ownEpoch, std::optional<Instant> confirmedAt) const
{
    if (ownEpoch == 0 || claim.epoch != ownEpoch || claim.entry != m_settings.self || !confirmedAt)
        return std::nullopt;
    return *confirmedAt + m_settings.authority;
}

bool ShardAuthority::holds(
    const ShardClaim& claim, uint64_t ownEpoch, std::optional<Instant> confirmedAt, Instant now) const
{
    const std::optional<Instant> end = authorityEnd(claim, ownEpoch, confirmedAt);
    return end && now < *end;
}

bool ShardAuthority::isReachable(std::string_view owner, const std::vector<LiveEntry>& others, Instant now) const
{
    Instant heardAt = m_startedAt;
    for (const LiveEntry& other : others) {
        if (other.name == owner)
            heardAt = std::max(heardAt, other.heardAt);
    }
    return now - heardAt < m_settings.ownerTimeout;
}

bool ShardAuthority::hasHighestRank(const std::vector<LiveEntry>& others, Instant now) const
{
    const uint64_t own = rendezvousRank(m_settings.self, m_settings.shard);
    return std::ranges::none_of(others, [&](const LiveEntry& other) {
        return now - other.heardAt < m_settings.ownerTimeout && rendezvousRank(other.name, m_settings.shard) > own;
    });
}

} // namespace hemlocklead
