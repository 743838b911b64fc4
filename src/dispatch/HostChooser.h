#pragma once

#include "dispatch/HostBook.h"

#include <functional>
#include <set>

namespace hemlocklead::dispatch {

/// What a task needs of a host, beside its step's resources.
struct PlacementNeeds {
    std::string service;
    std::string avoidHost; ///< Host of the task's last run; used only when no other will do.
    std::map<std::string, uint32_t> tasksByHost; ///< Tasks of the same step and occurrence that are placed.
    std::string rack; ///< Rack of the step's other tasks, for a step that wants one rack.
};

/// What the owner knows of the hosts at the time of a placement.
struct PlacementView {
    const std::map<std::string, HostView>& hosts;
    const std::set<std::string>& closedDataCentres;
    std::function<bool(const std::string& host)> isEjected;
    Instant now;
    Duration maxReportAge;
    const InterferenceModel& disturbance;
};

/// What a task that fills must put up with.
struct FillLimits {
    bool overcommit { false }; ///< Takes a host that leaves it little.
    double mostDisturbed { 0 }; ///< Serving tasks that it may push over their target.
};

/// Number of serving tasks that one more task of the step is expected to push over their target, beyond those that are
/// over it without.
double newlyDisturbed(const StepSpec& step, const HostView& host, const InterferenceModel& model);

/// Whether the host may get new runs at all.
bool isUsable(const HostView& host, const PlacementView& view);

/// Chooses the host for one task, or null when none has room.
///
/// Tasks with reserved processors go where they leave the smallest hole, so that large holes stay for large tasks.
/// Tasks that fill go where the other tasks leave most processor time and are disturbed least; they wait while no host
/// is within `limits`.
const HostView* chooseHost(
    const StepSpec& step, const PlacementNeeds& needs, const PlacementView& view, const FillLimits& limits);

} // namespace hemlocklead::dispatch
