#pragma once

#include "dispatch/HostRegistry.h"

#include <functional>
#include <set>

namespace hemlocklead::dispatch {

/// Constraints and preferences of a task beyond those in its step.
struct PlacementConstraints {
    std::string service;
    std::string previousHost; ///< Host of the task's last run; chosen only if no other host qualifies.
    std::map<std::string, uint32_t> tasksByHost; ///< Placed tasks of the same step and occurrence.
    std::string rack; ///< Rack of the step's other tasks if the step prefers a single rack.
    bool mayUseHeldRoom { false }; ///< Room that is held for other tasks counts as free.
};

/// The state of the cluster during one placement.
struct PlacementContext {
    const std::map<std::string, HostState>& hosts;
    const std::set<std::string>& closedDataCentres;
    std::function<bool(const std::string& host)> isEjected;
    Instant now;
    Duration maxReportAge;
    const InterferenceModel& interference;
    /// By how many tasks one more task of the step on the host exceeds the bounds on slowed latency-critical tasks;
    /// empty while no bound is set. See overload::InterferenceBound.
    std::function<double(const StepSpec& step, const HostState& host)> boundExcess {};

    double excess(const StepSpec& step, const HostState& host) const
    {
        return boundExcess && step.bestEffort ? boundExcess(step, host) : 0;
    }
};

/// Limits on the hosts that a best-effort task accepts.
struct BestEffortLimits {
    bool overcommit { false }; ///< Accepts a host with too little idle processor time.
    /// Expected number of latency-critical tasks on the host that best-effort tasks may push over their target,
    /// together with the one that is placed.
    double maxOverTarget { 0 };
    /// Accepts a host over the bounds on slowed latency-critical tasks while no other host qualifies.
    bool mayExceedBound { false };
};

/// Processor cores that a task of the step uses at full speed.
double coresOf(const StepSpec& step);

/// Expected number of latency-critical tasks on the host that one more task of the step pushes over their target, not
/// counting those that are over it anyway. Tasks of jobs that are behind others in service count for more.
double newlyOverTarget(const StepSpec& step, const HostState& host, const InterferenceModel& model);

/// Expected number of latency-critical tasks on the host that all best-effort tasks push over their target, with one
/// more task of the step. Weighted like newlyOverTarget().
double overTargetByBestEffort(const StepSpec& step, const HostState& host, const InterferenceModel& model);

/// Whether the host has too little idle processor time for a best-effort task of the step.
bool lacksIdleProcessors(const StepSpec& step, const HostState& host);

/// Whether any new runs may be placed on the host.
bool isUsable(const HostState& host, const PlacementContext& context);

/// Why a host does not qualify for a task, in the order in which the reasons are checked.
enum class HostRejection : uint8_t {
    None, ///< The host qualifies.
    OtherKind, ///< It belongs to another service or lacks the required label.
    Unusable, ///< See isUsable().
    HostLimit, ///< It has as many tasks of the step as the step allows.
    Processors, ///< Too few processors are free.
    Memory, ///< Enough processors are free, but too little memory or too few accelerators.
    Held, ///< Enough is free, but it is held for older tasks.
    BestEffortLimits, ///< It is outside the limits of a best-effort task.
};
constexpr size_t hostRejectionCount = 8;

HostRejection rejectionOf(const HostState& host, const StepSpec& step, const PlacementConstraints& constraints,
    const PlacementContext& context, const BestEffortLimits& limits);

/// How many tasks of the step fit on the hosts now if no room were held for others, at most `most`. The step's limit of
/// tasks on one host does not count: users measure room by resources.
uint32_t countTasksThatFit(const StepSpec& step, PlacementConstraints constraints, const PlacementContext& context,
    const BestEffortLimits& limits, uint32_t most);

/// Chooses hosts on which tasks of a long-running step that fit nowhere now will fit once the short runs there have
/// ended; one element a task, at most `tasks`, a host as often as tasks fit on it. The hosts that lack least come
/// first.
///
/// Without holding this room, a stream of younger jobs with smaller tasks takes all that comes free, and large tasks
/// starve. A host that would not have the room even then is not chosen, since no end of its long-running tasks is
/// known.
std::vector<std::string> chooseHostsToHold(
    const StepSpec& step, PlacementConstraints constraints, const PlacementContext& context, uint32_t tasks);

/// Whether a task of the step, which reserves its processors, would fit on the host once the run has ended.
bool fitsAfterEndOf(const HostRun& run, const StepSpec& step, const PlacementConstraints& constraints,
    const HostState& host, const PlacementContext& context);

/// Chooses the host for one task, or null if none qualifies.
///
/// Tasks with reserved processors are placed best-fit, on the host with the fewest free processors, so that large gaps
/// remain for large tasks. Best-effort tasks go where most processor time is idle and the fewest latency-critical tasks
/// are pushed over their target; they wait while no host is within `limits`. The expected delay on a slow host adds to
/// its cost, and a host slower than half speed is chosen only if no other one qualifies. Of hosts that exceed the
/// bounds on slowed tasks, the one that exceeds them least comes first.
const HostState* chooseHost(const StepSpec& step, const PlacementConstraints& constraints,
    const PlacementContext& context, const BestEffortLimits& limits);

} // namespace hemlocklead::dispatch
