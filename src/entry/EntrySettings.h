#pragma once

#include "base/Clock.h"
#include "base/Result.h"
#include "transport/Address.h"

#include <string>
#include <vector>

namespace hemlocklead {

/// Settings of an entry process. docs/settings.md describes each key.
struct EntrySettings {
    std::string name; ///< Unique among entries.
    std::string dataCentre;
    std::string region;
    Address httpAddress; ///< For callers and operators.
    Address peerAddress; ///< For agents and other entries.
    Address logAddress;
    std::vector<Address> peers; ///< Peer addresses of the other entries.
    uint32_t shards { 8 }; ///< Must be the same at every entry and must not change once jobs exist.

    Duration controlPoll { 250 };
    Duration startFreshness { 2000 }; ///< Maximum age of the view that a `Start` is based on (F).
    Duration shardAuthority { 5000 }; ///< Duration of a shard owner's authority (D).
    Duration attemptLease { 20'000 }; ///< Length of an attempt lease (L).
    Duration driftMargin { 1000 };
    Duration workerLease { 6000 }; ///< Longest lease given to the worker (W).
    Duration ownerTimeout { 3000 };
    Duration groupCommit { 20 };
    Duration snapshotInterval { 60'000 };
    Duration logRetention { 3'600'000 };
    Duration resultRetention { 86'400'000 };
    Duration drain { 2000 }; ///< Time between SIGTERM and closing the listener.
    Duration keepalive { 8000 }; ///< Longest keepalive interval of agents; agents silent for twice that are dropped.

    int64_t retryBudgetPercent { 10 };
    bool hedging { true };
};

/// Parses the `[entry]` table of a TOML file. Fails with `InvalidSettings`; the message names file, line and key.
Result<EntrySettings> parseEntrySettings(const std::string& file);

} // namespace hemlocklead
