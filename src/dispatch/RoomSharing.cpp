#include "dispatch/RoomSharing.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    /// Whether `from` stays at least as well off as `needy` after it has given up a task for one of `needy`.
    bool canGiveTo(const SharingStep& from, const SharingStep& needy)
    {
        return from.job->policy().priority >= needy.job->policy().priority && from.mayLoseTask()
            && from.shareOf(from.placed - 1) >= needy.shareOf(needy.placed + 1);
    }

} // namespace

double affordableShare(const std::vector<StepDemand>& demands, int64_t freeMilli)
{
    // Fills the steps from the smallest placed share upwards: `rate` processors are needed for each unit of share.
    std::vector<std::pair<double, double>> steps; // Placed share, processors of all tasks.
    steps.reserve(demands.size());
    for (const StepDemand& demand : demands) {
        steps.emplace_back(
            static_cast<double>(demand.placed) / demand.tasks, static_cast<double>(demand.cpuMilli) * demand.tasks);
    }
    std::ranges::sort(steps);
    double left = static_cast<double>(freeMilli);
    double rate = 0;
    for (size_t i = 0; i < steps.size(); ++i) {
        rate += steps[i].second;
        const double next = i + 1 < steps.size() ? steps[i + 1].first : 1;
        const double needed = rate * (next - steps[i].first);
        if (needed > left)
            return steps[i].first + left / rate;
        left -= needed;
    }
    return 1;
}

std::optional<RunToStop> chooseRunToStop(const SharingStep& needy, const PlacementConstraints& constraints,
    std::vector<SharingStep>& steps, const std::set<std::string>& excluded, const PlacementContext& context)
{
    std::vector<SharingStep*> givers;
    for (SharingStep& step : steps) {
        if (canGiveTo(step, needy))
            givers.push_back(&step);
    }
    if (givers.empty())
        return std::nullopt;
    std::optional<RunToStop> best;
    std::pair<double, int64_t> bestKey;
    for (const auto& [name, host] : context.hosts) {
        if (excluded.contains(name))
            continue;
        for (const auto& entry : host.runs) {
            const HostRun& run = entry.second;
            const auto giver
                = std::ranges::find_if(givers, [&](const SharingStep* step) { return step->contains(run.task); });
            if (giver == givers.end() || !run.seen || run.stopping
                || !fitsAfterEndOf(run, needy.spec(), constraints, host, context))
                continue;
            const std::pair key { -(*giver)->share(),
                host.available().cpuMilli + run.reserved.cpuMilli - needy.spec().resources.cpuMilli };
            if (best && bestKey <= key)
                continue;
            best = { name, entry.first, *giver };
            bestKey = key;
        }
    }
    return best;
}

std::optional<RunsToStop> chooseRunsToStopForMemory(const StepSpec& step, PlacementConstraints constraints,
    const PlacementContext& context, const std::function<bool(const HostRun&)>& mayStop,
    const std::set<std::string>& excluded)
{
    constraints.mayUseHeldRoom = true;
    std::optional<RunsToStop> best;
    for (const auto& [name, host] : context.hosts) {
        if (excluded.contains(name) || rejectionOf(host, step, constraints, context, {}) != HostRejection::Memory)
            continue;
        std::vector<const HostRun*> runs;
        for (const auto& [task, run] : host.runs) {
            if (mayStop(run))
                runs.push_back(&run);
        }
        std::ranges::sort(runs, std::greater {}, [](const HostRun* run) { return run->reserved.memoryMib; });
        RunsToStop chosen { name, {} };
        Resources room = host.free();
        for (auto run = runs.begin(); run != runs.end() && !step.resources.fitsIn(room); ++run) {
            room = room + (*run)->reserved;
            chosen.tasks.push_back((*run)->task.text());
        }
        if (step.resources.fitsIn(room) && (!best || chosen.tasks.size() < best->tasks.size()))
            best = std::move(chosen);
    }
    return best;
}

} // namespace hemlocklead::dispatch
