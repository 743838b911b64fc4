#include "coordination/Placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlocklead {

namespace {

    // Predictions are compared in steps of this size: interference reports lag, so smaller differences are noise.
    constexpr double interferenceStep = 0.05;

    using Rank = std::tuple<int64_t, int, int, double>;

    int countOf(const std::map<std::string, int>& counts, const std::string& name)
    {
        const auto found = counts.find(name);
        return found == counts.end() ? 0 : found->second;
    }

    int64_t quantizedInterference(const PlacementRequest& request, const PlacementHost& host)
    {
        double sum = 0;
        for (const std::string& service : host.services) {
            const auto found = request.interference.find(service);
            sum += found == request.interference.end() ? 0 : found->second;
        }
        return std::llround(std::floor(sum / interferenceStep));
    }

    /// Returns the fraction of the host's capacity that stays free with the task placed, summed over the resources.
    double freeShareAfterPlacement(const PlacementRequest& request, const PlacementHost& host)
    {
        const auto part = [](int64_t left, int64_t whole) {
            return whole > 0 ? static_cast<double>(left) / static_cast<double>(whole) : 0.0;
        };
        const Resources left = host.free - request.resources;
        return part(left.cpuMilli, host.capacity.cpuMilli) + part(left.memoryMib, host.capacity.memoryMib)
            + part(left.accelerators, host.capacity.accelerators);
    }

    Rank rankOf(const PlacementRequest& request, const PlacementHost& host)
    {
        return { quantizedInterference(request, host), countOf(request.tasksInDataCentre, host.dataCentre),
            countOf(request.tasksInRack, host.rack), freeShareAfterPlacement(request, host) };
    }

    /// Attempts to evict on one host to free capacity for the next task.
    struct EvictionPlan {
        const PlacementHost* host { nullptr };
        Resources free;
        std::vector<EvictionCandidate> candidates; ///< Sorted by progress since the checkpoint, lowest first.
        size_t evictionCount { 0 }; ///< Length of the prefix of `candidates` to evict.
        int64_t lostProgress { 0 }; ///< Total progress lost by evicting the prefix.

        auto cost() const { return std::make_tuple(lostProgress, evictionCount); }
    };

    /// Selects the shortest prefix of the candidates that frees `needed`; returns false if all of them free too little.
    bool choosePrefix(EvictionPlan& plan, const Resources& needed)
    {
        Resources free = plan.free;
        plan.evictionCount = 0;
        plan.lostProgress = 0;
        while (!needed.fitsIn(free) && plan.evictionCount < plan.candidates.size()) {
            const EvictionCandidate& candidate = plan.candidates[plan.evictionCount++];
            free = free + candidate.resources;
            plan.lostProgress += candidate.progressSinceCheckpoint;
        }
        return needed.fitsIn(free);
    }

    std::vector<EvictionPlan> plansByHost(const PlacementRequest& request, std::span<const PlacementHost> hosts,
        const std::vector<EvictionCandidate>& candidates)
    {
        std::map<std::string_view, std::vector<EvictionCandidate>> byHost;
        for (const EvictionCandidate& candidate : candidates)
            byHost[candidate.host].push_back(candidate);
        std::vector<EvictionPlan> plans;
        for (const PlacementHost& host : hosts) {
            const auto found = byHost.find(host.name);
            if (!host.usable || found == byHost.end() || host.name == request.avoidedHost)
                continue;
            std::ranges::sort(found->second, {}, [](const EvictionCandidate& candidate) {
                return std::make_tuple(candidate.progressSinceCheckpoint, candidate.key);
            });
            EvictionPlan plan { &host, host.free, std::move(found->second) };
            if (choosePrefix(plan, request.resources))
                plans.push_back(std::move(plan));
        }
        return plans;
    }

} // namespace

std::optional<size_t> Placement::chooseHost(const PlacementRequest& request, std::span<const PlacementHost> hosts)
{
    std::optional<size_t> best;
    Rank bestRank;
    for (size_t i = 0; i < hosts.size(); ++i) {
        const PlacementHost& host = hosts[i];
        if (!host.usable || !request.resources.fitsIn(host.free) || host.name == request.avoidedHost)
            continue;
        const Rank rank = rankOf(request, host);
        if (!best || rank < bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

bool Placement::fitsAnyHost(const Resources& resources, std::span<const PlacementHost> hosts)
{
    return std::ranges::any_of(hosts, [&](const PlacementHost& host) { return resources.fitsIn(host.capacity); });
}

std::vector<EvictionCandidate> Placement::chooseEvictions(const PlacementRequest& request,
    std::span<const PlacementHost> hosts, const std::vector<EvictionCandidate>& candidates, size_t count)
{
    std::vector<EvictionPlan> plans = plansByHost(request, hosts, candidates);
    std::vector<EvictionCandidate> evictions;
    while (count-- > 0 && !plans.empty()) {
        const auto best = std::ranges::min_element(plans, {}, &EvictionPlan::cost);
        for (size_t i = 0; i < best->evictionCount; ++i) {
            best->free = best->free + best->candidates[i].resources;
            evictions.push_back(best->candidates[i]);
        }
        best->free = best->free - request.resources;
        best->candidates.erase(
            best->candidates.begin(), best->candidates.begin() + static_cast<ptrdiff_t>(best->evictionCount));
        if (!choosePrefix(*best, request.resources))
            plans.erase(best);
    }
    return evictions;
}

} // namespace hemlocklead
