#pragma once

#include "base/Clock.h"
#include "state/ShardState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

/// Another entry, with the time at which its last ping arrived.
struct LiveEntry {
    std::string name;
    Instant heardAt;
};

/// Rank of an entry for a shard by rendezvous hashing. The live entry with the highest rank claims an unowned shard.
uint64_t rendezvousRank(std::string_view entry, uint32_t shard);

/// Decides when this entry claims a shard, and until when its own claim authorises it to act as the owner.
class ShardAuthority {
public:
    struct Settings {
        std::string self; ///< Name of this entry.
        uint32_t shard { 0 };
        Duration authority { 5000 }; ///< Time for which a confirmed claim gives authority; D in the design.
        Duration ownerTimeout { 3000 };
    };

    /// `startedAt` is when this entry began to receive pings. Every owner counts as reachable until the owner timeout
    /// has passed since then.
    ShardAuthority(Settings settings, Instant startedAt);

    /// Returns whether to append a claim now. `claim` is the current claim of the folded stream, `others` are the
    /// entries that pings were received from.
    ///
    /// A shard whose owner is another, unreachable entry counts as unowned. The entry with the highest rank claims an
    /// unowned shard at once, any other entry after the owner timeout. Otherwise an entry that is live but cannot reach
    /// the log would keep the shard unowned.
    bool shouldClaim(const ShardClaim& claim, const std::vector<LiveEntry>& others, Instant now);

    /// End of the authority from `claim`: `Settings::authority` after the confirming read was sent. Returns nullopt if
    /// the claim gives this entry no authority.
    std::optional<Instant> authorityEnd(
        const ShardClaim& claim, uint64_t ownEpoch, std::optional<Instant> confirmedAt) const;

    /// Returns whether this entry may grant leases and send starts at `now`.
    bool holds(const ShardClaim& claim, uint64_t ownEpoch, std::optional<Instant> confirmedAt, Instant now) const;

private:
    bool isReachable(std::string_view owner, const std::vector<LiveEntry>& others, Instant now) const;
    bool hasHighestRank(const std::vector<LiveEntry>& others, Instant now) const;

    Settings m_settings;
    Instant m_startedAt;
    std::optional<Instant> m_unownedSince; ///< Since when no reachable other entry has owned the shard.
};

} // namespace hemlocklead
