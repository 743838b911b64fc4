#include "ClusterSimulation.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    using dispatch::StepSpec;

    StepSpec tasks(uint32_t count, int64_t cpuMilli)
    {
        StepSpec step;
        step.tasks = count;
        step.resources = { cpuMilli, 100, 0 };
        return step;
    }

    StepSpec lastingTasks(uint32_t count, int64_t cpuMilli)
    {
        StepSpec step = tasks(count, cpuMilli);
        step.longRunning = true;
        return step;
    }

    /// The users' bound: a task that lasts is without a run for no longer than this while there is room for it twice
    /// over.
    constexpr Duration maxWaitWithRoom { 3000 };

    // Guards against room that stays empty (LOST, issue 53): it was held for large tasks for as long as the short tasks
    // ran that these waited for, and younger tasks that fit were kept out.
    TEST(HeldRoomTest, largeTasksWaitForLongRuns_youngerTaskFitsTwice_startsWithinThreeSeconds)
    {
        ClusterSimulation cluster { { .hosts = 3, .dataCentres = 1, .capacity = { 32'000, 128'000, 0 } } };
        cluster.submit("short", tasks(3, 24'000), Duration { 40'000 });
        cluster.run(Duration { 1000 });
        cluster.submit("large", lastingTasks(9, 10'000));
        cluster.run(Duration { 1000 });
        cluster.submit("small", lastingTasks(3, 4000));
        cluster.run(Duration { 10'000 });
        EXPECT_EQ(cluster.running("small"), 3u);
        EXPECT_LT(cluster.services().at("small").longestWaitWithRoom, maxWaitWithRoom);
    }

    // Guards against room that stays empty as above where each host may run one task of the step only (review, case
    // 15): the last task fits on one host, and twice by its processors.
    TEST(HeldRoomTest, largeTasksWaitForLongRuns_youngerStepIsLimitedToOneTaskAHost_allItsTasksStart)
    {
        ClusterSimulation cluster { { .hosts = 3, .dataCentres = 1, .capacity = { 32'000, 128'000, 0 } } };
        cluster.submit("short", tasks(3, 24'000), Duration { 40'000 });
        cluster.run(Duration { 1000 });
        StepSpec large = lastingTasks(3, 10'000);
        large.maxPerHost = 1;
        cluster.submit("large", large);
        cluster.run(Duration { 1000 });
        StepSpec small = lastingTasks(3, 4000);
        small.maxPerHost = 1;
        cluster.submit("small", small);
        cluster.run(maxWaitWithRoom);
        EXPECT_EQ(cluster.running("small"), 3u);
    }

    // Guards against large tasks that starve because all room that is held for them is given to younger tasks.
    TEST(HeldRoomTest, largeTaskWaitsForShortRuns_manyYoungerTasksWait_getsTheRoomOnceTheRunsHaveEnded)
    {
        ClusterSimulation cluster { { .hosts = 2, .dataCentres = 1, .capacity = { 32'000, 128'000, 0 } } };
        cluster.submit("short", tasks(2, 20'000), Duration { 7000 });
        cluster.run(Duration { 1000 });
        cluster.submit("large", lastingTasks(4, 16'000));
        cluster.run(Duration { 100 });
        cluster.submit("small", lastingTasks(12, 8000));
        cluster.run(Duration { 7000 });
        EXPECT_GE(cluster.running("large"), 2u);
        EXPECT_LT(cluster.services().at("small").longestWaitWithRoom, maxWaitWithRoom);
    }

    // Guards against best-effort work that keeps tasks that last out of hosts with free processors by its memory (LOST,
    // issue 53).
    TEST(HeldRoomTest, bestEffortTasksUseAllMemory_lastingTaskArrives_startsWithinThreeSeconds)
    {
        ClusterSimulation cluster { { .hosts = 2, .dataCentres = 1, .capacity = { 32'000, 128'000, 0 } } };
        StepSpec filler = tasks(8, 2000);
        filler.bestEffort = true;
        filler.checkpoints = true;
        filler.resources.memoryMib = 32'000;
        cluster.submit("filler", filler);
        cluster.run(Duration { 3000 });
        ASSERT_EQ(cluster.running("filler"), 8u);
        StepSpec watch = lastingTasks(1, 8000);
        watch.resources.memoryMib = 40'000;
        cluster.submit("watch", watch);
        cluster.run(maxWaitWithRoom);
        EXPECT_EQ(cluster.running("watch"), 1u);
        EXPECT_EQ(cluster.services().at("filler").stops, 2u);
    }

    /// Three hosts in data centres of their own, each full with one task of a job.
    class TasksInTurnTest : public testing::Test {
    protected:
        TasksInTurnTest()
        {
            m_cluster.submit("watch", lastingTasks(3, 16'000));
            m_cluster.run(Duration { 2000 });
        }

        /// Takes the run of task 1 by `loseFirst`, and that of task 0 by the loss of its data centre 10 s later.
        void loseTasks(void (ClusterSimulation::*loseFirst)(uint32_t))
        {
            (m_cluster.*loseFirst)(1);
            m_cluster.run(Duration { 10'000 });
            ASSERT_FALSE(m_cluster.isRunning("watch", 1));
            m_cluster.loseDataCentre(0);
            m_cluster.run(Duration { 10'000 });
            ASSERT_FALSE(m_cluster.isRunning("watch", 0));
            ASSERT_FALSE(m_cluster.isRunning("watch", 1));
        }

        void expectTaskOneStartsIn(uint32_t dataCentre)
        {
            m_cluster.restoreDataCentre(dataCentre);
            m_cluster.run(Duration { 1000 });
            EXPECT_TRUE(m_cluster.isRunning("watch", 1));
            EXPECT_FALSE(m_cluster.isRunning("watch", 0));
        }

        ClusterSimulation m_cluster { { .hosts = 3, .dataCentres = 3, .capacity = { 16'000, 64'000, 0 } } };
    };

    // Guards against a task that never gets a run (LOST, issue 53): tasks of a step were tried by index, so those
    // before it got all room that came free, also when they had just lost their runs.
    TEST_F(TasksInTurnTest, roomForOneTaskComesFree_twoOfAStepWait_startsTheOneThatHasWaitedLonger)
    {
        ASSERT_NO_FATAL_FAILURE(loseTasks(&ClusterSimulation::loseDataCentre));
        expectTaskOneStartsIn(0);
    }

    // Guards against a task that counts as having just lost its run because its host, which was cut off, reports the
    // end late (LOST, issue 53).
    TEST_F(TasksInTurnTest, hostIsBackAndReportsALapsedRun_twoOfAStepWait_startsTheOneThatHasWaitedLonger)
    {
        ASSERT_NO_FATAL_FAILURE(loseTasks(&ClusterSimulation::cutOffDataCentre));
        expectTaskOneStartsIn(1);
    }

} // namespace
} // namespace hemlocklead
