#pragma once

#include "base/Clock.h"
#include "state/ShardState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

/// Another entry and the time of its last ping.
struct LiveEntry {
    std::string name;
    Instant heardAt;
};

/// Rank of an entry for a shard; the highest among the live entries takes an ownerless shard.
uint64_t rendezvousRank(std::string_view entry, uint32_t shard);

/// Decides when this entry claims one shard, and how long its own claim lets it act.
class ShardAuthority {
public:
    struct Settings {
        std::string self; ///< Name of this entry.
        uint32_t shard { 0 };
        Duration authority { 5000 }; ///< D
        Duration ownerTimeout { 3000 };
    };

    /// `startedAt` is when this entry began to listen for pings; nobody counts as unreachable before the timeout.
    ShardAuthority(Settings settings, Instant startedAt);

    /// Whether to append a claim now. `claim` is the current one of the folded stream, `others` the entries heard.
    ///
    /// An unowned shard goes to the entry of the highest rank at once, and to any other after the owner timeout, so
    /// that an entry that is live but cannot reach the log does not keep the shard ownerless.
    bool shouldClaim(const ShardClaim& claim, const std::vector<LiveEntry>& others, Instant now);

    /// End of the authority that follows from `claim`: D after the confirming read was sent; nullopt without authority.
    std::optional<Instant> authorityEnd(
        const ShardClaim& claim, uint64_t ownEpoch, std::optional<Instant> confirmedAt) const;

    /// Whether leases may be granted and starts sent at `now`.
    bool holds(const ShardClaim& claim, uint64_t ownEpoch, std::optional<Instant> confirmedAt, Instant now) const;

private:
    bool isReachable(std::string_view owner, const std::vector<LiveEntry>& others, Instant now) const;
    bool ranksFirst(const std::vector<LiveEntry>& others, Instant now) const;

    Settings m_settings;
    Instant m_startedAt;
    std::optional<Instant> m_ownerlessSince;
};

} // namespace hemlocklead
