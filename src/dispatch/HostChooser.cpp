#include "dispatch/HostChooser.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace hemlocklead::dispatch {

namespace {

    /// Share of a best-effort task's processors that must be idle on its host. With less it would make little progress
    /// and interfere with others.
    constexpr double minIdleShare = 0.75;

    /// Penalties are in thousandths of a core and outweigh any difference in free processors. They are ordered by the
    /// cost of a wrong choice: another failed run on the previous host, a run slowed down by remote data, or a held
    /// host that is given away.
    constexpr int64_t previousHostPenalty = 4'000'000;
    constexpr int64_t remotePenalty = 2'000'000;
    constexpr int64_t heldHostPenalty = 1'000'000;

    /// Idle thousandths of a core that offset one latency-critical task newly over its target: about half a host. Such
    /// a task costs its users four times its value, a best-effort task at half speed loses half of its own.
    constexpr double overTargetPenalty = 30'000;

    /// Idle thousandths of a core that offset a delay of a task by its own duration, which loses about the value of the
    /// task: a quarter of what a task newly over its target costs.
    constexpr double delayPenalty = overTargetPenalty / 4;

    /// A task on a host slower than this takes more than twice its time. The penalty outweighs all others together.
    constexpr double minSpeed = 0.5;
    constexpr int64_t verySlowPenalty = 8'000'000;

    /// Cost of the expected delay of a task on the host; 0 at full speed.
    int64_t delayCost(const HostState& host)
    {
        const auto cost = static_cast<int64_t>((1 / host.speed - 1) * delayPenalty);
        return host.speed < minSpeed ? cost + verySlowPenalty : cost;
    }

    bool hasLabel(const HostState& host, const std::string& label)
    {
        return label.empty() || std::ranges::find(host.last.labels, label) != host.last.labels.end();
    }

    bool matches(const StepSpec& step, const std::string& service, const HostState& host)
    {
        return host.last.service == service && hasLabel(host, step.requiredLabel);
    }

    Resources reservation(const StepSpec& step)
    {
        Resources needed = step.resources;
        if (step.bestEffort)
            needed.cpuMilli = 0;
        return needed;
    }

    /// The available share of what is needed, of the resource of which the smallest share is available.
    double availableShare(const Resources& needed, const Resources& available)
    {
        double smallest = std::numeric_limits<double>::infinity();
        const auto consider = [&](int64_t amountNeeded, int64_t amountAvailable) {
            if (amountNeeded > 0)
                smallest = std::min(smallest, static_cast<double>(amountAvailable) / static_cast<double>(amountNeeded));
        };
        consider(needed.cpuMilli, available.cpuMilli);
        consider(needed.memoryMib, available.memoryMib);
        consider(needed.accelerators, available.accelerators);
        return smallest;
    }

    bool withinHostLimit(const StepSpec& step, const PlacementConstraints& constraints, const HostState& host)
    {
        if (step.maxPerHost == 0)
            return true;
        const auto placed = constraints.tasksByHost.find(host.name);
        return placed == constraints.tasksByHost.end() || placed->second < step.maxPerHost;
    }

    /// Expected number of latency-critical tasks on the host that are over their target with one more task of the step,
    /// beyond the probability that `withoutIt` gives for each of them.
    double sumOverTarget(const StepSpec& step, const HostState& host, const InterferenceModel& model,
        const std::function<double(const LatencyCriticalGroup&)>& withoutIt)
    {
        const double cores = coresOf(step);
        double tasks = 0;
        for (const auto& [service, group] : host.latencyCriticalGroups) {
            const auto after = model.withTask(group.forecast, service.image, step.image, cores);
            tasks += (after.overTargetProbability() - withoutIt(group)) * group.tasks * group.interferenceWeight;
        }
        return tasks;
    }

    bool isWithinLimits(
        const BestEffortLimits& limits, const StepSpec& step, const HostState& host, const PlacementContext& context)
    {
        if (!limits.overcommit && lacksIdleProcessors(step, host))
            return false;
        if (host.pausesBestEffort(context.now))
            return false;
        if (overTargetByBestEffort(step, host, context.interference) > limits.maxOverTarget)
            return false;
        return limits.mayExceedBound || context.excess(step, host) <= 0;
    }

    /// Placement cost of a task on the host, in thousandths of a core; the lowest cost wins.
    int64_t cost(const StepSpec& step, const PlacementConstraints& constraints, const HostState& host,
        const PlacementContext& context)
    {
        int64_t cost = host.free().cpuMilli;
        if (step.bestEffort) {
            cost = step.resources.cpuMilli - host.idleMilli();
            cost += static_cast<int64_t>(newlyOverTarget(step, host, context.interference) * overTargetPenalty);
        }
        if (host.name == constraints.previousHost)
            cost += previousHostPenalty;
        // The task that the host is held for is about to get its room.
        if (constraints.mayUseHeldRoom && host.isHeldFromShortTasks)
            cost += heldHostPenalty;
        const std::string& rack = step.dataRack.empty() ? constraints.rack : step.dataRack;
        if (!rack.empty() && host.last.rack != rack)
            cost += remotePenalty;
        return cost + delayCost(host);
    }

} // namespace

bool lacksIdleProcessors(const StepSpec& step, const HostState& host)
{
    const auto idleNeeded = static_cast<int64_t>(static_cast<double>(step.resources.cpuMilli) * minIdleShare);
    return host.idleMilli() < idleNeeded;
}

double coresOf(const StepSpec& step) { return static_cast<double>(step.resources.cpuMilli) / 1000; }

double newlyOverTarget(const StepSpec& step, const HostState& host, const InterferenceModel& model)
{
    return sumOverTarget(
        step, host, model, [](const LatencyCriticalGroup& group) { return group.forecast.overTargetProbability(); });
}

double overTargetByBestEffort(const StepSpec& step, const HostState& host, const InterferenceModel& model)
{
    return sumOverTarget(step, host, model, [](const LatencyCriticalGroup& group) { return group.overByOwnLoad; });
}

bool isUsable(const HostState& host, const PlacementContext& context)
{
    return host.isInTouch(context.now, context.maxReportAge) && host.acceptsOrders() && !host.last.draining
        && !context.closedDataCentres.contains(host.last.dataCentre) && !context.isEjected(host.name);
}

HostRejection rejectionOf(const HostState& host, const StepSpec& step, const PlacementConstraints& constraints,
    const PlacementContext& context, const BestEffortLimits& limits)
{
    const Resources needed = reservation(step);
    const Resources free = host.free();
    if (!matches(step, constraints.service, host))
        return HostRejection::OtherKind;
    if (!isUsable(host, context))
        return HostRejection::Unusable;
    if (!withinHostLimit(step, constraints, host))
        return HostRejection::HostLimit;
    if (needed.cpuMilli > free.cpuMilli)
        return HostRejection::Processors;
    if (!needed.fitsIn(free))
        return HostRejection::Memory;
    const bool respectsHeldRoom = !constraints.mayUseHeldRoom && (step.longRunning || host.isHeldFromShortTasks);
    if (respectsHeldRoom && !needed.fitsIn(host.available()))
        return HostRejection::Held;
    if (step.bestEffort && !isWithinLimits(limits, step, host, context))
        return HostRejection::BestEffortLimits;
    return HostRejection::None;
}

uint32_t countTasksThatFit(const StepSpec& step, PlacementConstraints constraints, const PlacementContext& context,
    const BestEffortLimits& limits, uint32_t most)
{
    const Resources needed = reservation(step);
    constraints.mayUseHeldRoom = true;
    constraints.tasksByHost.clear();
    uint32_t count = 0;
    for (const auto& [name, host] : context.hosts) {
        if (rejectionOf(host, step, constraints, context, limits) != HostRejection::None)
            continue;
        Resources room = host.free();
        for (; count < most && needed.fitsIn(room); room = room - needed)
            ++count;
        if (count == most)
            break;
    }
    return count;
}

std::vector<std::string> chooseHostsToHold(
    const StepSpec& step, PlacementConstraints constraints, const PlacementContext& context, uint32_t tasks)
{
    const Resources needed = reservation(step);
    std::vector<const HostState*> candidates;
    for (const auto& [name, host] : context.hosts) {
        if (needed.fitsIn(host.availableAfterShortRuns()) && matches(step, constraints.service, host)
            && isUsable(host, context))
            candidates.push_back(&host);
    }
    // Best-effort tasks reserve memory only, so free processors alone do not show how much a host lacks. A host held
    // from short tasks gets no younger tasks, so another host comes before it only by lacking less.
    std::ranges::stable_sort(
        candidates, std::greater {}, [&](const HostState* host) { return availableShare(needed, host->available()); });
    std::vector<std::string> chosen;
    for (const HostState* host : candidates) {
        Resources room = host->availableAfterShortRuns();
        while (chosen.size() < tasks && needed.fitsIn(room) && withinHostLimit(step, constraints, *host)) {
            chosen.push_back(host->name);
            ++constraints.tasksByHost[host->name];
            room = room - needed;
        }
    }
    return chosen;
}

bool fitsAfterEndOf(const HostRun& run, const StepSpec& step, const PlacementConstraints& constraints,
    const HostState& host, const PlacementContext& context)
{
    return matches(step, constraints.service, host) && isUsable(host, context)
        && withinHostLimit(step, constraints, host) && step.resources.fitsIn(host.available() + run.reserved);
}

const HostState* chooseHost(const StepSpec& step, const PlacementConstraints& constraints,
    const PlacementContext& context, const BestEffortLimits& limits)
{
    const HostState* best = nullptr;
    std::pair<double, int64_t> bestCost;
    for (const auto& [name, host] : context.hosts) {
        if (rejectionOf(host, step, constraints, context, limits) != HostRejection::None)
            continue;
        const double excess = limits.mayExceedBound ? context.excess(step, host) : 0;
        const std::pair hostCost(excess, cost(step, constraints, host, context));
        if (!best || hostCost < bestCost) {
            best = &host;
            bestCost = hostCost;
        }
    }
    return best;
}

} // namespace hemlocklead::dispatch
