#include "dispatch/ServiceLevelMonitor.h"
#include "support/ManualTimers.h"

#include <gtest/gtest.h>

namespace hemlocklead::dispatch {
namespace {

    /// A long-running job of two tasks and the host that they run on.
    class ServiceLevelMonitorTest : public testing::Test {
    protected:
        static JobSpec longRunningSpec()
        {
            StepSpec step;
            step.tasks = 2;
            step.resources = { 4000, 100, 0 };
            step.longRunning = true;
            step.image = "serve";
            step.tailTargetMs = 100;
            JobSpec spec;
            spec.steps = { step };
            return spec;
        }

        ServiceLevelMonitorTest() { m_job.occurrence(0); }

        /// Places a task on the host; it is reported as running with the given tail latency.
        void runTask(uint32_t index, int64_t tailPerMille)
        {
            const TaskId id { "job", 0, 0, index };
            m_job.find(id)->host = "host";
            m_job.setTaskPhase(id, TaskPhase::Placed);
            HostRun& run = m_hosts.add(m_hosts.host("host"), id, 1, m_job.spec().steps[0], HostRun::Stage::Ordered);
            run.seen = true;
            run.tailPerMille = tailPerMille;
        }

        void runBestEffortTask()
        {
            StepSpec step;
            step.resources = { 2000, 100, 0 };
            step.bestEffort = true;
            step.image = "fill";
            m_hosts.add(m_hosts.host("host"), { "batch", 0, 0, 0 }, 1, step, HostRun::Stage::Ordered);
        }

        void sampleFor(Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration { 500 }) {
                m_clock.advance(Duration { 500 });
                ASSERT_TRUE(m_monitor.isDue());
                m_monitor.sample({ &m_job }, m_hosts, m_model);
            }
        }

        int64_t taskMs(const std::string& state) const
        {
            return m_counters.value("long_running_task_ms{state=\"" + state + "\"}");
        }

        ManualClock m_clock;
        Counters m_counters;
        HostRegistry m_hosts;
        InterferenceModel m_model;
        Job m_job { "job", {}, longRunningSpec(), 1, Instant {} };
        ServiceLevelMonitor m_monitor { m_clock, m_counters, {} };
    };

    // Guards against records that cannot tell a task that waits for room from one that is slowed down.
    TEST_F(ServiceLevelMonitorTest, tasks_waitingAndInterfered_areCountedSeparately)
    {
        runTask(0, 1500);
        runBestEffortTask();
        m_monitor.sample({ &m_job }, m_hosts, m_model);
        sampleFor(Duration { 5000 });
        EXPECT_EQ(taskMs("waiting"), 5000);
        EXPECT_EQ(taskMs("interfered"), 5000);
        EXPECT_EQ(taskMs("over_target"), 0);
        EXPECT_EQ(taskMs("served"), 0);
    }

    // Guards against blaming best-effort tasks for a tail latency that the users' load causes.
    TEST_F(ServiceLevelMonitorTest, taskOverTarget_noBestEffortTaskOnItsHost_isNotInterfered)
    {
        runTask(0, 1500);
        runTask(1, 900);
        m_monitor.sample({ &m_job }, m_hosts, m_model);
        sampleFor(Duration { 5000 });
        EXPECT_EQ(taskMs("over_target"), 5000);
        EXPECT_EQ(taskMs("interfered"), 0);
        EXPECT_EQ(taskMs("served"), 5000);
    }

    // Guards against counting the time before an entry became the owner.
    TEST_F(ServiceLevelMonitorTest, reset_ownershipChanged_countsFromTheNextSample)
    {
        runTask(0, 1500);
        m_monitor.sample({ &m_job }, m_hosts, m_model);
        m_clock.advance(Duration { 60'000 });
        m_monitor.reset();
        m_monitor.sample({ &m_job }, m_hosts, m_model);
        sampleFor(Duration { 5000 });
        EXPECT_EQ(taskMs("waiting"), 5000);
        EXPECT_EQ(taskMs("over_target"), 5000);
    }

    // Guards against totals that miss the last period of a job.
    TEST_F(ServiceLevelMonitorTest, jobEnds_withinAPeriod_isCountedToItsLastSample)
    {
        runTask(0, 900);
        m_monitor.sample({ &m_job }, m_hosts, m_model);
        sampleFor(Duration { 2000 });
        EXPECT_EQ(taskMs("served"), 0);
        m_clock.advance(Duration { 500 });
        m_monitor.sample({}, m_hosts, m_model);
        EXPECT_EQ(taskMs("served"), 2000);
        EXPECT_EQ(taskMs("waiting"), 2000);
    }

    // Guards against an account that follows the last seconds only, or that never forgets.
    TEST(ServiceAccountTest, share_changes_isAveragedOverTheWindow)
    {
        ServiceAccount account;
        EXPECT_EQ(account.attainedShare(), 1);
        for (int i = 0; i < 20; ++i)
            account.add(i % 2, Duration { 500 });
        EXPECT_NEAR(account.attainedShare(), 0.5, 1e-9);
        EXPECT_EQ(account.age(), Duration { 10'000 });
        for (int i = 0; i < 600; ++i)
            account.add(1, Duration { 500 });
        EXPECT_GT(account.attainedShare(), 0.95);
        EXPECT_EQ(account.age(), ServiceAccount::window);
    }

    // Guards against weights without a bound, and against a weight while nothing is known.
    TEST(ServiceAccountTest, interferenceWeight_growsAsAJobFallsBehind)
    {
        EXPECT_EQ(interferenceWeight(0.5, 0.5), 1);
        EXPECT_EQ(interferenceWeight(0.25, 0.5), 2);
        EXPECT_EQ(interferenceWeight(0, 0.5), 3);
        EXPECT_EQ(interferenceWeight(1, 0.1), 0.6);
        EXPECT_EQ(interferenceWeight(0, 0), 1);
    }

} // namespace
} // namespace hemlocklead::dispatch
