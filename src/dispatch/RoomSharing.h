#pragma once

#include "dispatch/HostChooser.h"
#include "dispatch/JobState.h"

#include <set>

namespace hemlocklead::dispatch {

/// Whether the tasks of the step keep processors for an unlimited time.
inline bool reservesProcessorsForLong(const StepSpec& step) { return step.longRunning && !step.bestEffort; }

/// A long-running step with reserved processors, in the division of scarce room.
struct SharingStep {
    const Job* job { nullptr };
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t tasks { 0 };
    uint32_t placed { 0 }; ///< With the tasks for which room is being made, without those that are being stopped.
    uint32_t atWork { 0 }; ///< Serving according to a recent report, and not being stopped.

    const StepSpec& spec() const { return job->spec().steps[step]; }
    const StepState& state() const { return job->occurrences().at(occurrence).steps[step]; }
    TaskId firstTask() const { return { job->id(), occurrence, step, 0 }; }
    bool contains(const TaskId& task) const
    {
        return task.job == job->id() && task.occurrence == occurrence && task.step == step;
    }
    double share() const { return shareOf(placed); }
    double shareOf(uint32_t placedTasks) const { return static_cast<double>(placedTasks) / tasks; }

    /// Whether one task may be stopped without exceeding the step's `maxUnavailable`.
    bool mayLoseTask() const
    {
        return atWork > 0 && !spec().gang && (spec().maxUnavailable == 0 || tasks - atWork < spec().maxUnavailable);
    }
};

/// What a long-running step with waiting tasks asks for.
struct StepDemand {
    uint32_t tasks { 0 };
    uint32_t placed { 0 };
    int64_t cpuMilli { 0 }; ///< Of one task, thousandths of a core.
};

/// The largest share of their tasks, from 0 to 1, up to which all steps can be filled with `freeMilli` processors.
double affordableShare(const std::vector<StepDemand>& demands, int64_t freeMilli);

/// A run that is being stopped so that a task of another step fits on its host.
struct RoomTransfer {
    std::string host;
    TaskId receiver; ///< The first task of the step that needs the room.
};

/// The memory of best-effort runs that are being stopped on a host, which a long-running task gets.
struct MemoryTransfer {
    TaskId receiver; ///< The first task of the step that needs the memory.
    Instant since {};
};

/// Best-effort runs to be stopped so that a task gets their memory.
struct RunsToStop {
    std::string host;
    std::vector<std::string> tasks;
};

/// Chooses the host on which the fewest best-effort runs have to end so that a task of the long-running step, which has
/// the processors there, gets the memory. `mayStop` tells which runs may be stopped. Hosts in `excluded` are not
/// considered.
std::optional<RunsToStop> chooseRunsToStopForMemory(const StepSpec& step, PlacementConstraints constraints,
    const PlacementContext& context, const std::function<bool(const HostRun&)>& mayStop,
    const std::set<std::string>& excluded);

/// A run to be stopped to make room.
struct RunToStop {
    std::string host;
    std::string task;
    SharingStep* from;
};

/// Chooses a run whose end makes room for a task of `needy`, or nullopt if there is none. Its step still has at least
/// as large a share of its tasks as `needy` has then, so room never changes hands back and forth. Of the possible runs,
/// it is one of the step with the largest share, then the one that leaves least room over. Hosts in `excluded` are not
/// considered.
std::optional<RunToStop> chooseRunToStop(const SharingStep& needy, const PlacementConstraints& constraints,
    std::vector<SharingStep>& steps, const std::set<std::string>& excluded, const PlacementContext& context);

} // namespace hemlocklead::dispatch
