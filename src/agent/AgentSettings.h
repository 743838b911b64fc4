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
    Address httpAddress; ///< HTTP address for announcements of targets on this host, `/metrics` and `/health`.
    Address workerAddress; ///< Address of the worker on this host.

    Duration homeKeepalive { 2000 };
    Duration keepalive { 8000 };
    Duration startFreshness { 2000 }; ///< Maximum age of the view that a `Start` is based on (F).
    Duration workerLease { 6000 }; ///< Longest lease given to the worker (W).
    Duration driftMargin { 1000 };
    Duration announcementTtl { 3000 };
    Duration reservationTtl { 5000 };
    Duration workerPoll { 500 }; ///< Interval between two reads of the worker's task list.
    Duration drain { 10'000 }; ///< Maximum duration of the drain in a planned stop.
    int64_t queuePerTarget { 16 }; ///< Maximum number of calls waiting for a slot, per target.
    bool throttling { true }; ///< Throttle and evict tasks that interfere with a service.
};

/// Parses the `[agent]` table of a TOML file. Fails with `InvalidSettings`; the message names file, line and key.
Result<AgentSettings> parseAgentSettings(const std::string& file);

} // namespace hemlocklead
