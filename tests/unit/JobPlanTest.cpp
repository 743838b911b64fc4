#include "dispatch/JobPlan.h"

#include <gtest/gtest.h>

namespace hemlocklead::dispatch {
namespace {

    /// Load pattern: more work than the hosts can do in time, of jobs with several steps whose durations are declared
    /// roughly.
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

        static QueueTerms terms()
        {
            QueueTerms terms;
            terms.stretch = 2;
            terms.allowance = Duration { 1000 };
            return terms;
        }

        DurationBook m_durations;
    };

    // Guards against a plan that counts parallel steps one after the other, or a chain's steps as parallel.
    TEST_F(JobPlanTest, remaining_stepsInParallelAndInARow_isTheLongestChain)
    {
        JobSpec spec;
        spec.steps = { step(2000), step(500), step(3000, { 0, 1 }), step(1000, { 1 }) };
        const JobPlan plan = makePlan(spec, terms(), m_durations);
        EXPECT_EQ(plan.remaining,
            (std::vector { Duration { 5000 }, Duration { 3500 }, Duration { 3000 }, Duration { 1000 } }));
        EXPECT_EQ(plan.objective, Duration { 11'000 });
    }

    // Guards against a step that waits so long for a better host that its job is late.
    TEST_F(JobPlanTest, slack_asTimePasses_endsWhenTheRestNoLongerFits)
    {
        JobSpec spec;
        spec.steps = { step(2000), step(3000, { 0 }) };
        const JobPlan plan = makePlan(spec, terms(), m_durations);
        EXPECT_EQ(plan.slack(0, Duration { 0 }), Duration { 6000 });
        EXPECT_EQ(plan.slack(1, Duration { 7000 }), Duration { 1000 });
        EXPECT_LT(plan.slack(1, Duration { 8500 }), Duration { 0 });
        EXPECT_TRUE(plan.isWorthLate(1, Duration { 8500 }));
        EXPECT_FALSE(plan.isWorthLate(1, Duration { 31'000 }));
    }

    // Guards against trust in a declared duration that is far off.
    TEST_F(JobPlanTest, expected_declaredFarOff_movesTowardsWhatItsImageTook)
    {
        for (int i = 0; i < 20; ++i)
            m_durations.note(step(100, {}, "image"), Duration { 2500 });
        EXPECT_EQ(m_durations.expected(step(100, {}, "image")), Duration { 500 });
        EXPECT_EQ(m_durations.expected(step(0, {}, "image")), Duration { 2500 });
        EXPECT_EQ(m_durations.expected(step(100, {}, "other")), Duration { 100 });
        EXPECT_GT(m_durations.expected(step(0, {}, "other")), Duration { 0 });
    }

} // namespace
} // namespace hemlocklead::dispatch
