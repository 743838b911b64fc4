#include "overload/RoomPlan.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace hemlocklead::overload {

namespace {

    RoomClass classWithoutCompetition(const RoomDemand& demand)
    {
        if (demand.criticalPath > demand.usefulTimeLeft)
            return RoomClass::Expired;
        return demand.criticalPath > demand.timeLeft ? RoomClass::Late : RoomClass::InTime;
    }

    /// A job gives way before another one if its key is greater.
    using YieldKey = std::tuple<int64_t, bool, double, uint64_t>;

    YieldKey yieldKey(const RoomDemand& demand)
    {
        return { demand.priority, !demand.hasBegun, demand.coreSeconds, demand.order };
    }

    void deferWhatDoesNotFit(const std::vector<RoomDemand>& demands, double cores, std::vector<RoomClass>& classes)
    {
        std::vector<size_t> byDeadline;
        for (size_t i = 0; i < demands.size(); ++i) {
            if (classes[i] == RoomClass::InTime)
                byDeadline.push_back(i);
        }
        std::ranges::sort(byDeadline, {}, [&](size_t i) { return std::pair(demands[i].timeLeft, demands[i].order); });
        std::priority_queue<std::pair<YieldKey, size_t>> selected;
        double work = 0;
        for (const size_t i : byDeadline) {
            const RoomDemand& demand = demands[i];
            const Duration begin = timeFor(work, cores);
            work += demand.coreSeconds;
            selected.emplace(yieldKey(demand), i);
            if (std::max(begin + demand.criticalPath, timeFor(work, cores)) <= demand.timeLeft)
                continue;
            const size_t yielding = selected.top().second;
            selected.pop();
            classes[yielding] = RoomClass::Late;
            work -= demands[yielding].coreSeconds;
        }
    }

    void giveTurn(const std::vector<RoomDemand>& demands, std::vector<RoomClass>& classes)
    {
        const auto longest = std::ranges::max_element(demands, {}, &RoomDemand::deferredFor);
        if (longest != demands.end() && longest->deferredFor >= maxDeferral)
            classes[static_cast<size_t>(longest - demands.begin())] = RoomClass::InTime;
    }

} // namespace

Duration timeFor(double coreSeconds, double cores)
{
    constexpr double maxMs = 1e12;
    return Duration { static_cast<int64_t>(std::min(coreSeconds / cores * 1000, maxMs)) };
}

std::vector<RoomClass> planRoom(const std::vector<RoomDemand>& demands, std::optional<double> cores)
{
    std::vector<RoomClass> classes;
    classes.reserve(demands.size());
    for (const RoomDemand& demand : demands)
        classes.push_back(classWithoutCompetition(demand));
    if (cores && *cores > 0)
        deferWhatDoesNotFit(demands, *cores, classes);
    giveTurn(demands, classes);
    return classes;
}

} // namespace hemlocklead::overload
