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

    /// Lower is better.
    int64_t cost(const StepSpec& step, const PlacementNeeds& needs, const HostView& host)
    {
        int64_t cost = step.fills ? step.resources.cpuMilli - host.leftoverMilli() : host.free().cpuMilli;
        if (host.name == needs.avoidHost)
            cost += avoidPenalty;
        const std::string& rack = step.dataRack.empty() ? needs.rack : step.dataRack;
        if (!rack.empty() && host.last.rack != rack)
            cost += remotePenalty;
        return cost;
    }

} // namespace

bool isUsable(const HostView& host, const PlacementView& view)
{
    return host.connected && host.reported && host.last.life != 0 && !host.last.draining && !host.last.silent
        && view.now - host.reportedAt <= view.maxReportAge && !view.closedDataCentres.contains(host.last.dataCentre)
        && !view.isEjected(host.name);
}

const HostView* chooseHost(
    const StepSpec& step, const PlacementNeeds& needs, const PlacementView& view, bool overcommit)
{
    const Resources needed = reservation(step);
    const auto leftNeeded = static_cast<int64_t>(static_cast<double>(step.resources.cpuMilli) * fillShare);
    const HostView* best = nullptr;
    int64_t bestCost = 0;
    for (const auto& [name, host] : view.hosts) {
        if (!matches(step, needs.service, host) || !needed.fitsIn(host.free()) || !isUsable(host, view))
            continue;
        if (!withinHostLimit(step, needs, host))
            continue;
        if (step.fills && !overcommit && host.leftoverMilli() < leftNeeded)
            continue;
        const int64_t hostCost = cost(step, needs, host);
        if (!best || hostCost < bestCost) {
            best = &host;
            bestCost = hostCost;
        }
    }
    return best;
}

bool isPlaceable(const StepSpec& step, const std::string& service, const std::map<std::string, HostView>& hosts)
{
    return std::ranges::any_of(hosts, [&](const auto& entry) {
        return matches(step, service, entry.second) && reservation(step).fitsIn(entry.second.last.capacity);
    });
}

} // namespace hemlocklead::dispatch
