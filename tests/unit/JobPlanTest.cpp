#include "dispatch/JobPlan.h"

#include <gtest/gtest.h>

namespace hemlocklead::dispatch {
namespace {

    /// Load pattern: overload by jobs with several steps whose declared durations are rough estimates.
    class JobPlanTest : public testing::Test {
    protected:
        static StepSpec step(int64_t estimateMs, std::vector<uint32_t> after = {}, const std::string& image = "")
        {
            StepSpec spec;
            spec.estimateMs = estimateMs;
            spec.after = std::move(after);
            spec.image = image;
            return spec;
        }

        static QueuePolicy policy()
        {
            QueuePolicy policy;
            policy.stretch = 2;
            policy.allowance = Duration { 1000 };
            return policy;
        }

        DurationEstimator m_durations;
    };

    // Guards against a plan that adds up parallel steps or treats dependent steps as parallel.
    TEST_F(JobPlanTest, criticalPaths_parallelAndSequentialSteps_areLongestChains)
    {
        JobSpec spec;
        spec.steps = { step(2000), step(500), step(3000, { 0, 1 }), step(1000, { 1 }) };
        const JobPlan plan = makePlan(spec, policy(), m_durations);
        EXPECT_EQ(plan.criticalPaths,
            (std::vector { Duration { 5000 }, Duration { 3500 }, Duration { 3000 }, Duration { 1000 } }));
        EXPECT_EQ(plan.objective, Duration { 11'000 });
    }

    // Guards against a step that waits for a better host until its job misses the objective.
    TEST_F(JobPlanTest, slack_timePasses_turnsNegativeWhenCriticalPathNoLongerFits)
    {
        JobSpec spec;
        spec.steps = { step(2000), step(3000, { 0 }) };
        const JobPlan plan = makePlan(spec, policy(), m_durations);
        EXPECT_EQ(plan.slack(0, Duration { 0 }), Duration { 6000 });
        EXPECT_EQ(plan.slack(1, Duration { 7000 }), Duration { 1000 });
        EXPECT_LT(plan.slack(1, Duration { 8500 }), Duration { 0 });
        EXPECT_TRUE(plan.isUsefulLate(1, Duration { 8500 }));
        EXPECT_FALSE(plan.isUsefulLate(1, Duration { 31'000 }));
    }

    // Guards against relying on a declared duration that is far off.
    TEST_F(JobPlanTest, estimate_declaredDurationFarOff_movesTowardsObservedDuration)
    {
        for (int i = 0; i < 20; ++i)
            m_durations.observe(step(100, {}, "image"), Duration { 2500 });
        EXPECT_EQ(m_durations.estimate(step(100, {}, "image")), Duration { 500 });
        EXPECT_EQ(m_durations.estimate(step(0, {}, "image")), Duration { 2500 });
        EXPECT_EQ(m_durations.estimate(step(100, {}, "other")), Duration { 100 });
        EXPECT_GT(m_durations.estimate(step(0, {}, "other")), Duration { 0 });
    }

} // namespace
} // namespace hemlocklead::dispatch
