#pragma once

#include "dispatch/HostChooser.h"
#include "dispatch/JobState.h"

#include <tuple>

namespace hemlocklead::dispatch {

/// Logs steps whose tasks find no host for some time, with the number of hosts that are rejected for each reason.
class WaitingStepLog {
public:
    struct Settings {
        Duration delay { 2000 }; ///< A shorter wait is not logged.
        Duration maxGap { 1000 }; ///< A step that is not noted for longer has not waited in between.
        Duration repeatInterval { 5000 }; ///< Shortest interval between two lines of a step.
    };

    explicit WaitingStepLog(Settings settings);

    /// Notes that a task of the step has found no host. `longestWithoutRun` is the time for which the waiting task that
    /// has been without a run for longest has had none.
    void noteWaiting(const TaskId& task, const StepSpec& step, const StepState& stepState, Duration longestWithoutRun,
        const PlacementConstraints& constraints, const PlacementContext& context, const BestEffortLimits& limits);

    /// Notes that no task of the step waits for a host any more.
    void noteSettled(const TaskId& task);

    void removeJob(const std::string& job);
    void clear() { m_steps.clear(); }

private:
    /// Job, occurrence and step.
    using Key = std::tuple<std::string, uint32_t, uint32_t>;

    static Key keyOf(const TaskId& task) { return { task.job, task.occurrence, task.step }; }

    struct WaitingStep {
        Instant since;
        Instant nextLogAt;
        Instant notedAt; ///< Last time at which a task of the step found no host.
    };

    Settings m_settings;
    std::map<Key, WaitingStep> m_steps;
};

} // namespace hemlocklead::dispatch
