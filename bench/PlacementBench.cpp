#include "coordination/JobQueue.h"
#include "coordination/Placement.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hemlocklead {
namespace {

    constexpr size_t hostCount = 1000;
    constexpr size_t runningTasks = 33'000;
    constexpr Resources hostCapacity { 32'000, 125'000, 1 };

    /// Hosts in 7 data centres, three per rack. Every third host runs the service `lookup`.
    std::vector<PlacementHost> makeHosts()
    {
        std::vector<PlacementHost> hosts;
        for (size_t i = 0; i < hostCount; ++i) {
            const std::string dataCentre = "dc" + std::to_string(i % 7);
            hosts.push_back({ "host" + std::to_string(i), dataCentre, dataCentre + "/r" + std::to_string(i / 21),
                hostCapacity, hostCapacity, true, {} });
            if (i % 3 == 0)
                hosts.back().services.push_back("lookup");
        }
        return hosts;
    }

    PlacementRequest makeRequest(std::mt19937_64& random)
    {
        PlacementRequest request;
        request.resources
            = { 200 + static_cast<int64_t>(random() % 1200), 500 + static_cast<int64_t>(random() % 5000), 0 };
        // Half of the tasks interfere with the service.
        if (random() % 2 == 0)
            request.interference["lookup"] = 0.3;
        return request;
    }

    using ChooseHost
        = std::optional<size_t> (*)(const PlacementRequest&, const std::vector<PlacementHost>&, std::mt19937_64&);

    std::optional<size_t> chooseBest(
        const PlacementRequest& request, const std::vector<PlacementHost>& hosts, std::mt19937_64&)
    {
        return Placement::chooseHost(request, hosts);
    }

    std::optional<size_t> chooseFirst(
        const PlacementRequest& request, const std::vector<PlacementHost>& hosts, std::mt19937_64&)
    {
        for (size_t i = 0; i < hosts.size(); ++i) {
            if (request.resources.fitsIn(hosts[i].free))
                return i;
        }
        return std::nullopt;
    }

    std::optional<size_t> chooseRandom(
        const PlacementRequest& request, const std::vector<PlacementHost>& hosts, std::mt19937_64& random)
    {
        for (size_t attempt = 0; attempt < hosts.size(); ++attempt) {
            const size_t i = random() % hosts.size();
            if (request.resources.fitsIn(hosts[i].free))
                return i;
        }
        return chooseFirst(request, hosts, random);
    }

    /// Result of filling all hosts with random tasks.
    struct FillResult {
        double tasks { 0 };
        double slowdown { 0 }; ///< Sum of the interference that the tasks cause.
        double largeTasks { 0 }; ///< Tasks of a quarter of a host that still fit after up to `runningTasks` small ones.
    };

    FillResult fillHosts(ChooseHost choose)
    {
        std::mt19937_64 random(7);
        std::vector<PlacementHost> hosts = makeHosts();
        FillResult result;
        for (size_t i = 0; i < runningTasks; ++i) {
            const PlacementRequest request = makeRequest(random);
            const auto chosen = choose(request, hosts, random);
            if (!chosen)
                break;
            hosts[*chosen].free = hosts[*chosen].free - request.resources;
            ++result.tasks;
            if (!request.interference.empty() && !hosts[*chosen].services.empty())
                result.slowdown += request.interference.at("lookup");
        }
        const Resources large { hostCapacity.cpuMilli / 4, hostCapacity.memoryMib / 4, 0 };
        for (PlacementHost& host : hosts) {
            for (; large.fitsIn(host.free); ++result.largeTasks)
                host.free = host.free - large;
        }
        return result;
    }

    void setRatios(benchmark::State& state, const std::string& baselineName, const FillResult& placement,
        const FillResult& baseline)
    {
        const auto ratio = [](double part, double whole) { return whole > 0 ? part / whole : 0.0; };
        state.counters["packed_vs_" + baselineName] = ratio(placement.tasks, baseline.tasks);
        state.counters["large_vs_" + baselineName] = ratio(placement.largeTasks, baseline.largeTasks);
        state.counters["slowdown_vs_" + baselineName] = ratio(placement.slowdown, baseline.slowdown);
    }

    void placeOnFullSite(benchmark::State& state)
    {
        std::mt19937_64 random(7);
        std::vector<PlacementHost> hosts = makeHosts();
        for (size_t i = 0; i < runningTasks; ++i) {
            const PlacementRequest request = makeRequest(random);
            if (const auto chosen = chooseRandom(request, hosts, random))
                hosts[*chosen].free = hosts[*chosen].free - request.resources;
        }
        const PlacementRequest request = makeRequest(random);
        for (auto _ : state)
            benchmark::DoNotOptimize(Placement::chooseHost(request, hosts));
        state.SetItemsProcessed(state.iterations());
    }
    BENCHMARK(placeOnFullSite);

    void packing(benchmark::State& state)
    {
        FillResult placement;
        for (auto _ : state)
            placement = fillHosts(chooseBest);
        setRatios(state, "first_fit", placement, fillHosts(chooseFirst));
        setRatios(state, "random", placement, fillHosts(chooseRandom));
    }
    BENCHMARK(packing)->Iterations(1)->Unit(benchmark::kMillisecond);

    /// Ratio of the smallest to the largest dominant share of 36 teams after 900 placements, fewer than their quotas
    /// allow.
    void queueFairness(benchmark::State& state)
    {
        constexpr int teams = 36;
        constexpr int tasksPerTeam = 100;
        Limits limits;
        limits.teamQuota = { 100'000, 0, 0 };
        double fairness = 0;
        for (auto _ : state) {
            JobQueue queue([&](std::string_view) { return &limits; });
            for (int team = 0; team < teams; ++team) {
                const std::string name = "team" + std::to_string(team);
                queue.addJob({ "job" + name, name, name, { 500 + team * 50, 100, 0 }, false, false, team });
                for (uint32_t index = 0; index < tasksPerTeam; ++index)
                    queue.push({ "job" + name, index }, Instant {});
            }
            for (int i = 0; i < teams * tasksPerTeam / 4; ++i)
                queue.noteRunning(*queue.job(queue.next(Instant {})->job));
            std::vector<double> shares;
            shares.reserve(teams);
            for (int team = 0; team < teams; ++team)
                shares.push_back(queue.dominantShare("team" + std::to_string(team)));
            fairness = std::ranges::min(shares) / std::ranges::max(shares);
        }
        // Ordering by age alone would serve only the first teams, and the ratio would be 0.
        state.counters["min_share_vs_max"] = fairness;
        state.SetItemsProcessed(state.iterations() * teams * tasksPerTeam / 4);
    }
    BENCHMARK(queueFairness);

} // namespace
} // namespace hemlocklead
