#pragma once

#include "dispatch/JobSpec.h"

#include <map>
#include <vector>

namespace hemlocklead::dispatch {

/// How long tasks take. Declared durations are often far off, and tasks of one image behave alike.
class DurationEstimator {
public:
    /// A task of the step was done after `lasted`.
    void observe(const StepSpec& step, Duration duration);

    /// Between what is declared for the step and what other tasks of its image took.
    Duration estimate(const StepSpec& step) const;

private:
    std::map<std::string, double> m_meanMs; ///< By image.
};

/// When the steps of a job must start for the job to meet its objective. Times count from the hand-in.
struct JobPlan {
    Duration objective { 0 };
    std::vector<Duration> criticalPaths; ///< By step: longest chain of work from its start to the end of the job.

    /// How long the step may wait before the objective is missed; negative once it is.
    Duration slack(uint32_t step, Duration elapsed) const { return objective - elapsed - criticalPaths[step]; }

    /// Whether a job that takes `elapsed` and then the step's chain still earns something when it is late.
    bool isUsefulLate(uint32_t step, Duration elapsed) const;

    bool operator==(const JobPlan&) const = default;
};

JobPlan makePlan(const JobSpec& spec, const QueuePolicy& policy, const DurationEstimator& durations);

} // namespace hemlocklead::dispatch
