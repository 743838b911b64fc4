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

/// Input of placement for one host.
struct PlacementHost {
    std::string name;
    std::string dataCentre;
    std::string rack; ///< Unique across data centres.
    Resources capacity;
    Resources free; ///< Capacity minus all known reservations.
    bool usable { false }; ///< Connected, in an open data centre, not leaving and not ejected.
    std::vector<std::string> services; ///< Services that have a target on this host.
};

/// A task to place and the distribution of the other tasks of its job.
struct PlacementRequest {
    Resources resources;
    std::string avoidedHost; ///< Host of the last failed attempt; empty if there is none.
    std::map<std::string, int> tasksInDataCentre; ///< Open attempts of the same job, by data centre.
    std::map<std::string, int> tasksInRack;
    std::map<std::string, double> interference; ///< Predicted slowdown by this task, by service; a missing one is 0.
};

/// A running attempt that may be evicted to free capacity for urgent work.
struct EvictionCandidate {
    AttemptKey key;
    std::string host;
    Resources resources;
    int64_t progressSinceCheckpoint { 0 }; ///< Lost if the attempt is evicted without a new checkpoint.
};

/// Selects hosts for tasks, and attempts to evict for urgent tasks.
class Placement {
public:
    /// Returns the index of the best usable host on which the task fits, or nullopt. Hosts are ordered by predicted
    /// interference, then by the number of the job's tasks in the data centre, then by that in the rack, then by the
    /// capacity that would stay free; the lowest value is best in each case.
    static std::optional<size_t> chooseHost(const PlacementRequest& request, std::span<const PlacementHost> hosts);

    /// Returns whether the task fits into the full capacity of any host, usable or not.
    static bool fitsAnyHost(const Resources& resources, std::span<const PlacementHost> hosts);

    /// Returns attempts to evict so that up to `count` tasks like the request fit, or fewer if the candidates do not
    /// free enough. Evictions that lose the least progress since the last checkpoint are preferred. `candidates` must
    /// contain neither watches nor urgent work.
    static std::vector<EvictionCandidate> chooseEvictions(const PlacementRequest& request,
        std::span<const PlacementHost> hosts, const std::vector<EvictionCandidate>& candidates, size_t count);
};

} // namespace hemlocklead
