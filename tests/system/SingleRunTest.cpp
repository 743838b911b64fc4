// At most one running attempt per task (design section 5), with real processes that are paused or killed, or lose the
// log.
#include "support/RunJournal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace hemlocklead {
namespace {

    // As in SiteOptions::shortLeases(): shard authority (D), attempt lease (L) and drift margin.
    constexpr Duration authority { 2000 };
    constexpr Duration lease { 6000 };
    constexpr Duration margin { 500 };

    constexpr Duration startLimit { 15'000 };
    constexpr Duration endLimit { 30'000 };
    constexpr int watches = 6;
    constexpr int batchTasks = 9;

    /// Runs longer than a worker lease. Otherwise a worker whose agent is paused could finish a task without the agent
    /// reporting it, and such a task is run again by design.
    constexpr const char* batchPayload = R"({"runMs": 4000, "result": "done"})";

    SiteOptions oneShard()
    {
        SiteOptions options = SiteOptions::shortLeases();
        options.entrySettings += "shards = 1\n";
        return options;
    }

    class SingleRunTest : public testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_TRUE(m_site.start()) << m_site.runner().logs();
            ASSERT_EQ(m_site.publish("watch", "standing watch"), 200);
            ASSERT_EQ(m_site.publish("compile", "can-wait"), 200);
            m_watch = m_site.submit(0, "watch", watches, "{}");
            ASSERT_TRUE(waitUntil([&] { return running(m_watch) == watches; }, startLimit));
            m_batch = m_site.submit(0, "compile", batchTasks, batchPayload);
            ASSERT_TRUE(waitUntil([&] { return running(m_batch) == batchTasks; }, startLimit));
            // Otherwise a fault on host 1 would affect no task.
            for (const std::string& job : { m_watch, m_batch })
                ASSERT_TRUE(runsOnHost1(job)) << describe(taskRuns(m_site));
        }

        bool runsOnHost1(const std::string& job) const
        {
            return std::ranges::any_of(taskRuns(m_site),
                [&](const TaskRun& run) { return run.host == 1 && run.job == job && run.endedAt == stillRunning; });
        }

        void TearDown() override
        {
            if (HasFailure())
                std::cerr << describe(taskRuns(m_site)) << m_site.runner().logs();
        }

        int running(const std::string& job) const
        {
            return static_cast<int>(runningTasks(taskRuns(m_site), job).size());
        }

        /// Index of the entry that owns the only shard.
        size_t owner() const
        {
            for (size_t entry = 0; entry < 2; ++entry) {
                const Json status = m_site.get(entry, "/status");
                if (status.is_object() && status["jobs"]["shards"].size() == 1
                    && status["jobs"]["shards"][0].value("owned", false))
                    return entry;
            }
            ADD_FAILURE() << "no entry owns the shard";
            return 0;
        }

        /// Waits until the batch has finished and all watches run, then checks the journals of all workers.
        void checkRuns(size_t entry)
        {
            const auto isFinished = [&] {
                const Json job = m_site.get(entry, "/jobs/" + m_batch);
                return job.is_object() && job.value("phase", "") == "finished" && running(m_watch) == watches;
            };
            EXPECT_TRUE(waitUntil(isFinished, endLimit)) << jsonText(m_site.get(entry, "/status")["jobs"]);
            const std::vector<TaskRun> runs = taskRuns(m_site);
            EXPECT_EQ(describeOverlaps(runs), "");
            const std::map<std::string, int> counts = finishCounts(runs, m_batch);
            EXPECT_EQ(counts.size(), batchTasks);
            for (const auto& [task, count] : counts)
                EXPECT_EQ(count, 1) << task;
        }

        TestSite m_site { 2, 3, oneShard() };
        std::string m_watch;
        std::string m_batch;
    };

    // Guards against an owner that resumes from a pause and keeps using an authority that another entry has claimed.
    TEST_F(SingleRunTest, owner_pausedPastAuthority_noTaskRunsTwice)
    {
        const size_t paused = owner();
        m_site.pause(m_site.entries()[paused].pid);
        std::this_thread::sleep_for(2 * authority);
        m_site.resume(m_site.entries()[paused].pid);
        checkRuns(1 - paused);
    }

    // Guards against an agent that loses or starts again the tasks of its worker after a restart.
    TEST_F(SingleRunTest, agent_killedAndRestarted_noTaskRunsTwice)
    {
        m_site.kill(m_site.hosts()[1].agentPid);
        m_site.startAgent(1);
        checkRuns(0);
    }

    // Guards against an agent that resumes after its lease and continues tasks that were assigned to other hosts.
    TEST_F(SingleRunTest, agent_pausedPastLease_noTaskRunsTwice)
    {
        m_site.pause(m_site.hosts()[1].agentPid);
        // The agent resumes while the owner assigns its tasks to other hosts.
        std::this_thread::sleep_for(lease + 2 * margin);
        m_site.resume(m_site.hosts()[1].agentPid);
        checkRuns(0);
    }

    // Guards against tasks that run past their lease while the log is down, and against losing ended attempts
    // meanwhile.
    TEST_F(SingleRunTest, log_downPastLeases_noTaskRunsTwice)
    {
        ASSERT_TRUE(m_site.setLogFault("down"));
        const auto stopped = [&] { return running(m_watch) == 0; };
        EXPECT_TRUE(waitUntil(stopped, authority + lease + margin)) << "watches run past their lease";
        ASSERT_TRUE(m_site.setLogFault("none"));
        checkRuns(0);
    }

    // Guards against an eviction that is lost or repeated when the owner that started it dies.
    TEST_F(SingleRunTest, owner_killedAfterEvictionRequest_noTaskRunsTwice)
    {
        const size_t killed = owner();
        const auto response = m_site.send(killed, "PUT", "/datacentres/dc1", { { "state", "out" }, { "by", "test" } });
        ASSERT_TRUE(response && response->status == 200);
        m_site.kill(m_site.entries()[killed].pid);
        m_site.startEntry(killed);
        checkRuns(1 - killed);
        const std::vector<TaskRun> runs = taskRuns(m_site);
        EXPECT_TRUE(std::ranges::none_of(runs, [](const TaskRun& run) {
            return run.host == 1 && run.endedAt == stillRunning;
        })) << "a watch still runs in dc1";
    }

} // namespace
} // namespace hemlocklead
