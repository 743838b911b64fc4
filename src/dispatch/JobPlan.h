#pragma once

#include "dispatch/JobSpec.h"
#include "learning/LearnedState.h"

#include <map>
#include <vector>

namespace hemlocklead::dispatch {

/// Estimates task durations per image. Declared durations are often far off, and tasks of one image take similar times.
class DurationEstimator {
public:
    /// Records that a task of the step took `duration`.
    void observe(const StepSpec& step, Duration duration);

    /// Geometric mean of the declared duration and the observed average of the image, or whichever is known.
    Duration estimate(const StepSpec& step) const;

    void exportTo(learning::LearnedState& state) const;

    /// Takes over mean durations, replacing those that are known.
    void importFrom(const std::vector<learning::DurationEstimate>& durations);

private:
    std::map<std::string, double> m_meanMs; ///< By image.
};

/// The deadlines of the steps of a job with respect to its objective. Times count from the submission.
struct JobPlan {
    Duration objective { 0 };
    std::vector<Duration> criticalPaths; ///< By step: longest chain of work from its start to the end of the job.

    /// Time that the job takes if none of its steps waits.
    Duration longestPath() const;

    /// How long the step can still wait without missing the objective; negative if the objective is missed.
    Duration slack(uint32_t step, Duration elapsed) const { return objective - elapsed - criticalPaths[step]; }

    /// A job that takes longer is worth nothing to its caller.
    Duration usefulTime() const;

    /// Whether a late job that takes `elapsed` and then the step's critical path is still worth something.
    bool isUsefulLate(uint32_t step, Duration elapsed) const;

    bool operator==(const JobPlan&) const = default;
};

JobPlan makePlan(const JobSpec& spec, const QueuePolicy& policy, const DurationEstimator& durations);

} // namespace hemlocklead::dispatch
