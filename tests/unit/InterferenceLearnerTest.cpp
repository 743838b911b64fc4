#include "coordination/InterferenceLearner.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class InterferenceLearnerTest : public testing::Test {
    protected:
        using Kind = InterferenceAction::Kind;

        ManualClock m_clock;
        InterferenceLearner m_learner;
        std::vector<TaskLoad> m_tasks {
            { { "noisy", 0, 1 }, "compaction", false, 4000, 900, 1 },
            { { "noisy", 1, 1 }, "compaction", false, 4000, 100, 1 },
            { { "watch", 0, 1 }, "feeds", true, 500, 0, 1 },
        };

        /// Reports `latencyUs` every 500 ms for `time` and applies the actions decided on.
        std::vector<InterferenceAction> run(Duration time, int64_t latencyUs)
        {
            std::vector<InterferenceAction> actions;
            for (Duration at { 0 }; at < time; at += Duration { 500 }) {
                m_clock.advance(Duration { 500 });
                m_learner.noteLatency("lookup", latencyUs, m_clock.now());
                if (const auto action = m_learner.decide(m_tasks, m_clock.now())) {
                    apply(*action);
                    actions.push_back(*action);
                }
            }
            return actions;
        }

        void apply(const InterferenceAction& action)
        {
            if (action.kind == Kind::Evict)
                std::erase_if(m_tasks, [&](const TaskLoad& task) { return task.key == action.key; });
            for (TaskLoad& task : m_tasks) {
                if (task.key == action.key)
                    task.throttle = action.factor;
            }
        }
    };

    // Guards against tasks that are throttled although no service is slowed down.
    TEST_F(InterferenceLearnerTest, decide_steadyLatency_doesNothing)
    {
        EXPECT_TRUE(run(Duration { 60'000 }, 2000).empty());
        EXPECT_LT(m_learner.score("lookup", "compaction"), 0.01);
    }

    // Guards against eviction before throttling, and against eviction of the task that would lose the most progress.
    TEST_F(InterferenceLearnerTest, decide_slowService_throttlesThenEvictsLeastProgress)
    {
        run(Duration { 10'000 }, 2000);
        const std::vector<InterferenceAction> actions = run(Duration { 20'000 }, 6000);
        ASSERT_GE(actions.size(), 5U);
        EXPECT_EQ(actions[0].factor, 0.5);
        EXPECT_EQ(actions[1].factor, 0.5);
        EXPECT_EQ(actions[2].factor, 0.25);
        EXPECT_EQ(actions[3].factor, 0.25);
        EXPECT_EQ(actions[4], (InterferenceAction { Kind::Evict, { "noisy", 1, 1 }, 0 }));
        EXPECT_GT(m_learner.score("lookup", "compaction"), m_learner.score("lookup", "feeds"));
    }

    // Guards against a watch that is throttled while can-wait tasks run.
    TEST_F(InterferenceLearnerTest, decide_slowService_touchesWatchesLast)
    {
        run(Duration { 10'000 }, 2000);
        const std::vector<InterferenceAction> actions = run(Duration { 60'000 }, 6000);
        ASSERT_GE(actions.size(), 7U);
        for (size_t i = 0; i < 6; ++i)
            EXPECT_EQ(actions[i].key.job, "noisy") << i;
        EXPECT_EQ(actions[6].key.job, "watch");
        EXPECT_EQ(actions.back().kind, Kind::Evict);
    }

    // Guards against tasks that stay throttled after the service has recovered.
    TEST_F(InterferenceLearnerTest, decide_latencyRecovers_takesThrottlingBack)
    {
        run(Duration { 10'000 }, 2000);
        run(Duration { 6000 }, 6000);
        EXPECT_LT(m_tasks[0].throttle, 1);
        run(Duration { 30'000 }, 2000);
        for (const TaskLoad& task : m_tasks)
            EXPECT_EQ(task.throttle, 1);
    }

    // Guards against a score that does not decay after interference ends, and against reports of unchanged scores.
    TEST_F(InterferenceLearnerTest, score_afterQuietTime_decays)
    {
        run(Duration { 10'000 }, 2000);
        run(Duration { 5000 }, 6000);
        const double learned = m_learner.score("lookup", "compaction");
        EXPECT_FALSE(m_learner.takeChanged().empty());
        EXPECT_TRUE(m_learner.takeChanged().empty());
        run(Duration { 60'000 }, 2000);
        EXPECT_LT(m_learner.score("lookup", "compaction"), learned / 2);
    }

} // namespace
} // namespace hemlocklead
