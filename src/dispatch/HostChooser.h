#pragma once

#include "dispatch/HostRegistry.h"

#include <functional>
#include <set>

namespace hemlocklead::dispatch {

/// What a task needs of a host, beside its step's resources.
struct PlacementConstraints {
    std::string service;
    std::string previousHost; ///< Host of the task's last run; used only when no other will do.
    std::map<std::string, uint32_t> tasksByHost; ///< Tasks of the same step and occurrence that are placed.
    std::string rack; ///< Rack of the step's other tasks, for a step that wants one rack.
};

/// What the owner knows of the hosts at the time of a placement.
struct PlacementContext {
    const std::map<std::string, HostState>& hosts;
    const std::set<std::string>& closedDataCentres;
    std::function<bool(const std::string& host)> isEjected;
    Instant now;
    Duration maxReportAge;
    const DisturbanceModel& interference;
};

/// What a task that fills must put up with.
struct BestEffortLimits {
    bool overcommit { false }; ///< Takes a host that leaves it little.
    double maxNewlyOverTarget { 0 }; ///< Serving tasks that it may push over their target.
};

/// Number of serving tasks that one more task of the step is expected to push over their target, beyond those that are
/// over it without.
double newlyOverTarget(const StepSpec& step, const HostState& host, const DisturbanceModel& model);

/// Whether the host may get new runs at all.
bool isUsable(const HostState& host, const PlacementContext& context);

/// Chooses the host for one task, or null when none has room.
///
/// Tasks with reserved processors go where they leave the smallest hole, so that large holes stay for large tasks.
/// Tasks that fill go where the other tasks leave most processor time and are disturbed least; they wait while no host
/// is within `limits`.
const HostState* chooseHost(const StepSpec& step, const PlacementConstraints& constraints,
    const PlacementContext& context, const BestEffortLimits& limits);

} // namespace hemlocklead::dispatch
