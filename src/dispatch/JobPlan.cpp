#include "dispatch/JobPlan.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    /// Weight of the newest duration in the moving average of its image, which so covers about ten tasks.
    constexpr double smoothingFactor = 0.1;

    /// Used for a task with neither a declared nor an observed duration.
    constexpr double defaultEstimateMs = 1000;

    /// A job that takes more than this many times its objective is worth nothing to its caller.
    constexpr int64_t usefulTimeFactor = 3;

} // namespace

void DurationEstimator::observe(const StepSpec& step, Duration duration)
{
    if (step.image.empty())
        return;
    const auto milliseconds = static_cast<double>(duration.count());
    const auto [mean, isNew] = m_meanMs.try_emplace(step.image, milliseconds);
    if (!isNew)
        mean->second += smoothingFactor * (milliseconds - mean->second);
}

Duration DurationEstimator::estimate(const StepSpec& step) const
{
    const auto learned = m_meanMs.find(step.image);
    const auto declared = static_cast<double>(step.estimateMs);
    if (learned == m_meanMs.end())
        return Duration { static_cast<int64_t>(declared > 0 ? declared : defaultEstimateMs) };
    if (declared <= 0)
        return Duration { static_cast<int64_t>(learned->second) };
    return Duration { static_cast<int64_t>(std::sqrt(declared * learned->second)) };
}

void DurationEstimator::exportTo(learning::LearnedState& state) const
{
    for (const auto& [image, meanMs] : m_meanMs)
        state.durations.push_back({ image, meanMs });
}

void DurationEstimator::importFrom(const std::vector<learning::DurationEstimate>& durations)
{
    for (const learning::DurationEstimate& row : durations)
        m_meanMs.insert_or_assign(row.image, row.meanMs);
}

Duration JobPlan::longestPath() const
{
    return criticalPaths.empty() ? Duration { 0 } : std::ranges::max(criticalPaths);
}

Duration JobPlan::usefulTime() const { return usefulTimeFactor * objective; }

bool JobPlan::isUsefulLate(uint32_t step, Duration elapsed) const
{
    return elapsed + criticalPaths[step] <= usefulTime();
}

JobPlan makePlan(const JobSpec& spec, const QueuePolicy& policy, const DurationEstimator& durations)
{
    JobPlan plan;
    plan.criticalPaths.assign(spec.steps.size(), Duration { 0 });
    // Steps depend only on earlier steps, so iterating backwards sees all dependents of a step before the step.
    for (size_t step = spec.steps.size(); step-- > 0;) {
        Duration& path = plan.criticalPaths[step];
        path += durations.estimate(spec.steps[step]);
        for (const uint32_t earlier : spec.steps[step].after)
            plan.criticalPaths[earlier] = std::max(plan.criticalPaths[earlier], path);
    }
    const double scaled = policy.stretch * static_cast<double>(plan.longestPath().count());
    plan.objective = Duration { static_cast<int64_t>(scaled) } + policy.allowance;
    return plan;
}

} // namespace hemlocklead::dispatch
