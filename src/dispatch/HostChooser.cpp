#include "dispatch/HostChooser.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    /// Share of its processors that must be left for a task that fills; below it the task would crawl and disturb.
    constexpr double fillShare = 0.75;

    /// Penalties outweigh any difference in free processors, in thousandths of a core, and are ordered by what a wrong
    /// choice costs: a failed run again, or a run that takes longer by the remote factor.
    constexpr int64_t avoidPenalty = 4'000'000;
    constexpr int64_t remotePenalty = 2'000'000;

    /// Thousandths of a core of leftover that outweigh one disturbed serving task: about half a host. Users of such a
    /// task lose four times what it would give them, a filling task at half speed loses half.
    constexpr double harmPenalty = 30'000;

    bool hasLabel(const HostView& host, const std::string& label)
    {
        return label.empty() || std::ranges::find(host.last.labels, label) != host.last.labels.end();
    }

    bool matches(const StepSpec& step, const std::string& service, const HostView& host)
    {
        return host.last.service == service && hasLabel(host, step.requiredLabel);
    }

    Resources reservation(const StepSpec& step)
    {
        Resources needed = step.resources;
        if (step.fills)
            needed.cpuMilli = 0;
        return needed;
    }

    bool withinHostLimit(const StepSpec& step, const PlacementNeeds& needs, const HostView& host)
    {
        if (step.maxPerHost == 0)
            return true;
        const auto placed = needs.tasksByHost.find(host.name);
        return placed == needs.tasksByHost.end() || placed->second < step.maxPerHost;
    }

    /// Whether a task that fills would get too little of the host to be worth a start there.
    bool wouldCrawl(const StepSpec& step, const HostView& host)
    {
        const auto leftNeeded = static_cast<int64_t>(static_cast<double>(step.resources.cpuMilli) * fillShare);
        return host.leftoverMilli() < leftNeeded;
    }

    bool isWithin(const FillLimits& limits, const StepSpec& step, const HostView& host, const PlacementView& view)
    {
        if (!limits.overcommit && wouldCrawl(step, host))
            return false;
        if (host.holdsFilling(view.now))
            return false;
        return newlyDisturbed(step, host, view.disturbance) <= limits.mostDisturbed;
    }

    /// Lower is better.
    int64_t cost(const StepSpec& step, const PlacementNeeds& needs, const HostView& host, const PlacementView& view)
    {
        int64_t cost = host.free().cpuMilli;
        if (step.fills) {
            cost = step.resources.cpuMilli - host.leftoverMilli();
            cost += static_cast<int64_t>(newlyDisturbed(step, host, view.disturbance) * harmPenalty);
        }
        if (host.name == needs.avoidHost)
            cost += avoidPenalty;
        const std::string& rack = step.dataRack.empty() ? needs.rack : step.dataRack;
        if (!rack.empty() && host.last.rack != rack)
            cost += remotePenalty;
        return cost;
    }

} // namespace

double newlyDisturbed(const StepSpec& step, const HostView& host, const InterferenceModel& model)
{
    const double cores = static_cast<double>(step.resources.cpuMilli) / 1000;
    double tasks = 0;
    for (const auto& [serving, group] : host.disturbed) {
        const auto after = model.withTask(group.forecast, serving, step.image, cores);
        tasks += (after.overTargetProbability() - group.forecast.overTargetProbability()) * group.tasks;
    }
    return tasks;
}

bool isUsable(const HostView& host, const PlacementView& view)
{
    return host.connected && host.reported && host.last.life != 0 && !host.last.draining && !host.last.silent
        && view.now - host.reportedAt <= view.maxReportAge && !view.closedDataCentres.contains(host.last.dataCentre)
        && !view.isEjected(host.name);
}

const HostView* chooseHost(
    const StepSpec& step, const PlacementNeeds& needs, const PlacementView& view, const FillLimits& limits)
{
    const Resources needed = reservation(step);
    const HostView* best = nullptr;
    int64_t bestCost = 0;
    for (const auto& [name, host] : view.hosts) {
        if (!matches(step, needs.service, host) || !needed.fitsIn(host.free()) || !isUsable(host, view))
            continue;
        if (!withinHostLimit(step, needs, host))
            continue;
        if (step.fills && !isWithin(limits, step, host, view))
            continue;
        const int64_t hostCost = cost(step, needs, host, view);
        if (!best || hostCost < bestCost) {
            best = &host;
            bestCost = hostCost;
        }
    }
    return best;
}

} // namespace hemlocklead::dispatch
