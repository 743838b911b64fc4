#include "coordination/Placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlocklead {

namespace {

    // Differences in predicted interference below this are noise of the lagging reports.
    constexpr double interferenceStep = 0.05;

    using Rank = std::tuple<int64_t, int, int, double>;

    int countOf(const std::map<std::string, int>& counts, const std::string& name)
    {
        const auto found = counts.find(name);
        return found == counts.end() ? 0 : found->second;
    }

    int64_t interferenceLevel(const PlacementRequest& request, const PlacementHost& host)
    {
        double sum = 0;
        for (const std::string& service : host.services) {
            const auto found = request.interference.find(service);
            sum += found == request.interference.end() ? 0 : found->second;
        }
        return std::llround(std::floor(sum / interferenceStep));
    }

    /// Part of the host's capacity that stays free, summed over the resources.
    double roomLeft(const PlacementRequest& request, const PlacementHost& host)
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
        return { interferenceLevel(request, host), countOf(request.tasksInDataCentre, host.dataCentre),
            countOf(request.tasksInRack, host.rack), roomLeft(request, host) };
    }

    /// Evictions on one host for the next task.
    struct EvictionPlan {
        const PlacementHost* host { nullptr };
        Resources free;
        std::vector<EvictionCandidate> left; ///< Candidates, least progress lost first.
        size_t chosen { 0 }; ///< Length of the prefix of `left` that makes room.
        int64_t lost { 0 }; ///< Progress that the prefix loses.

        auto cost() const { return std::make_tuple(lost, chosen); }
    };

    /// Finds the smallest prefix of the candidates that makes room; false when all of them do not.
    bool choosePrefix(EvictionPlan& plan, const Resources& needed)
    {
        Resources free = plan.free;
        plan.chosen = 0;
        plan.lost = 0;
        while (!needed.fitsIn(free) && plan.chosen < plan.left.size()) {
            const EvictionCandidate& candidate = plan.left[plan.chosen++];
            free = free + candidate.resources;
            plan.lost += candidate.sinceCheckpoint;
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
                return std::make_tuple(candidate.sinceCheckpoint, candidate.key);
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

bool Placement::fitsSomewhere(const Resources& resources, std::span<const PlacementHost> hosts)
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
        for (size_t i = 0; i < best->chosen; ++i) {
            best->free = best->free + best->left[i].resources;
            evictions.push_back(best->left[i]);
        }
        best->free = best->free - request.resources;
        best->left.erase(best->left.begin(), best->left.begin() + static_cast<ptrdiff_t>(best->chosen));
        if (!choosePrefix(*best, request.resources))
            plans.erase(best);
    }
    return evictions;
}

} // namespace hemlocklead
