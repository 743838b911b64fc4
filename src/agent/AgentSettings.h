#pragma once

#include "base/Clock.h"
#include "base/Result.h"
#include "transport/Address.h"

#include <string>
#include <vector>

namespace hemlocklead {

/// Settings of an agent process. docs/settings.md describes each key.
struct AgentSettings {
    std::string host; ///< Unique among hosts.
    std::string dataCentre;
    std::string region;
    std::string rack;
    std::vector<Address> entries; ///< Peer addresses of the entries.
    Address httpAddress; ///< For targets on this host that announce themselves, and `/metrics`.
    Address workerAddress; ///< Worker on this host.

    Duration homeKeepalive { 2000 };
    Duration keepalive { 8000 };
    Duration startFreshness { 2000 }; ///< F
    Duration workerLease { 6000 }; ///< W
    Duration driftMargin { 1000 };
    Duration announcementTtl { 3000 };
    Duration reservationTtl { 5000 };
    Duration workerPoll { 500 }; ///< Between two reads of the worker's task list.
    Duration drain { 10'000 }; ///< Longest planned stop.
    int64_t queuePerTarget { 16 }; ///< Requests that wait for a slot.
    bool throttling { true }; ///< Throttle and evict tasks that slow a service down.
};

/// Parses the `[agent]` table of a TOML file. Fails with `InvalidSettings`; the message names file, line and key.
Result<AgentSettings> parseAgentSettings(const std::string& file);

} // namespace hemlocklead
