#include "dispatch/JobPlan.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    /// Weight of the newest task in the mean of its image: about ten tasks count.
    constexpr double newestWeight = 0.1;

    /// Assumed for a task of which nothing is known.
    constexpr double unknownMs = 1000;

    /// A job that takes more than this many times its objective is of no use to its caller any more.
    constexpr int64_t lateFactor = 3;

} // namespace

void DurationBook::note(const StepSpec& step, Duration lasted)
{
    if (step.image.empty())
        return;
    const auto milliseconds = static_cast<double>(lasted.count());
    const auto [mean, isNew] = m_meanMs.try_emplace(step.image, milliseconds);
    if (!isNew)
        mean->second += newestWeight * (milliseconds - mean->second);
}

Duration DurationBook::expected(const StepSpec& step) const
{
    const auto learned = m_meanMs.find(step.image);
    const auto declared = static_cast<double>(step.estimateMs);
    if (learned == m_meanMs.end())
        return Duration { static_cast<int64_t>(declared > 0 ? declared : unknownMs) };
    if (declared <= 0)
        return Duration { static_cast<int64_t>(learned->second) };
    return Duration { static_cast<int64_t>(std::sqrt(declared * learned->second)) };
}

bool JobPlan::isWorthLate(uint32_t step, Duration elapsed) const
{
    return elapsed + remaining[step] <= lateFactor * objective;
}

JobPlan makePlan(const JobSpec& spec, const QueueTerms& terms, const DurationBook& durations)
{
    JobPlan plan;
    plan.remaining.assign(spec.steps.size(), Duration { 0 });
    Duration longest { 0 };
    // A step only waits for earlier ones, so the last steps come first.
    for (size_t step = spec.steps.size(); step-- > 0;) {
        Duration& remaining = plan.remaining[step];
        remaining += durations.expected(spec.steps[step]);
        longest = std::max(longest, remaining);
        for (const uint32_t earlier : spec.steps[step].after)
            plan.remaining[earlier] = std::max(plan.remaining[earlier], remaining);
    }
    const double scaled = terms.stretch * static_cast<double>(longest.count());
    plan.objective = Duration { static_cast<int64_t>(scaled) } + terms.allowance;
    return plan;
}

} // namespace hemlocklead::dispatch
