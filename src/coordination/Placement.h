#pragma once

#include "base/Clock.h"
#include "state/Attempt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hemlocklead {

/// A host as placement sees it.
struct PlacementHost {
    std::string name;
    std::string dataCentre;
    std::string rack; ///< Unique across data centres.
    Resources capacity;
    Resources free; ///< Capacity less all known reservations.
    bool usable { false }; ///< Data centre in, connected, not leaving, not ejected.
    std::vector<std::string> services; ///< Services with a target on the host.
};

/// What is to be placed, and where the job's other tasks are.
struct PlacementRequest {
    Resources resources;
    std::string avoidedHost; ///< Host of the last failed attempt; empty when there is none.
    std::map<std::string, int> tasksInDataCentre; ///< Open attempts of the same job.
    std::map<std::string, int> tasksInRack;
    std::map<std::string, double> interference; ///< Predicted slowdown of each service by this task; 0 when missing.
};

/// An attempt that may be evicted for urgent work.
struct EvictionCandidate {
    AttemptKey key;
    std::string host;
    Resources resources;
    int64_t sinceCheckpoint { 0 }; ///< Progress that an eviction without a checkpoint loses.
};

/// Choice of hosts and of work to evict.
class Placement {
public:
    /// Index of the best host with room, or nullopt. In order: lowest interference, fewest tasks of the job in the data
    /// centre, then in the rack, then the least room left.
    static std::optional<size_t> chooseHost(const PlacementRequest& request, std::span<const PlacementHost> hosts);

    /// Whether the task fits some usable or unusable host when that is empty.
    static bool fitsSomewhere(const Resources& resources, std::span<const PlacementHost> hosts);

    /// Attempts whose end makes room for up to `count` tasks like the request, those that lose the least progress since
    /// their checkpoints first. Makes room for fewer when there is not enough. `candidates` holds neither watches nor
    /// urgent work.
    static std::vector<EvictionCandidate> chooseEvictions(const PlacementRequest& request,
        std::span<const PlacementHost> hosts, const std::vector<EvictionCandidate>& candidates, size_t count);
};

} // namespace hemlocklead
