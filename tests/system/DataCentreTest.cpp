// No task starts in a data centre more than 4 s after it was taken out (design section 7), also during failures.
#include "support/RunJournal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace hemlocklead {
namespace {

    constexpr Duration outBound { 4000 };
    constexpr Duration pauseTime {
        3000
    }; ///< Longer than the start freshness (F), so that a process resumes with a stale view.
    constexpr Duration startLimit { 15'000 };
    constexpr size_t hostInDc1 = 1;

    class DataCentreTest : public testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_TRUE(m_site.start()) << m_site.runner().logs();
            // `maxRunning` is small, so that tasks keep starting during the whole test.
            const Json entry { { "owner", "product" }, { "team", "registers" }, { "workClass", "can-wait" },
                { "limits", { { "maxRunning", 12 } } } };
            ASSERT_EQ(m_site.setCatalogue("compile", 0, entry), 200);
            m_job = m_site.submit(0, "compile", 2000, R"({"runMs": 300})");
            ASSERT_TRUE(waitUntil([&] { return countStartsAfter(0) > 0; }, startLimit))
                << "no task starts in the data centre";
        }

        void TearDown() override
        {
            if (HasFailure())
                std::cerr << jsonText(m_site.get(0, "/jobs/" + m_job)) << jsonText(m_site.get(0, "/status")["jobs"])
                          << jsonText(m_site.get(1, "/status")["jobs"]) << '\n'
                          << metrics(m_site.entries()[0].http) << metrics(m_site.entries()[1].http)
                          << metrics(m_site.hosts()[0].agent) << describe(taskRuns(m_site)) << m_site.runner().logs();
        }

        static std::string metrics(const Address& address)
        {
            const auto response = sendHttp(address, { "GET", "/metrics", {}, {} });
            return response ? response->body : "no metrics\n";
        }

        /// Number of tasks started in the data centre after `time`, in CLOCK_MONOTONIC milliseconds.
        int64_t countStartsAfter(int64_t time) const
        {
            return std::ranges::count_if(
                taskRuns(m_site), [&](const TaskRun& run) { return run.host == hostInDc1 && run.startedAt > time; });
        }

        /// Sets the state and returns the time at which the edit was accepted.
        int64_t setState(const std::string& state) const
        {
            const auto response = m_site.send(0, "PUT", "/datacentres/dc1", { { "state", state }, { "by", "test" } });
            EXPECT_TRUE(response && response->status == 200) << state;
            return journalNow();
        }

        void expectStartsAfterReopening() const
        {
            const int64_t in = setState("in");
            EXPECT_TRUE(waitUntil([&] { return countStartsAfter(in) > 0; }, startLimit))
                << "no task starts in the data centre after it was brought back in";
            EXPECT_EQ(describeOverlaps(taskRuns(m_site)), "");
        }

        TestSite m_site { 2, 3, SiteOptions::shortLeases() };
        std::string m_job;
    };

    // Guards against placing all first tasks of a job on one host, since the loss of its data centre would end them
    // all.
    TEST_F(DataCentreTest, job_firstWave_spreadsOverDataCentres)
    {
        constexpr size_t wave = 12;
        ASSERT_TRUE(waitUntil([&] { return taskRuns(m_site).size() >= wave; }, startLimit));
        std::vector<TaskRun> runs = taskRuns(m_site);
        std::ranges::sort(runs, {}, &TaskRun::startedAt);
        runs.resize(wave);
        for (size_t host = 0; host < m_site.hosts().size(); ++host)
            EXPECT_EQ(std::ranges::count(runs, host, &TaskRun::host), 4) << describe(runs);
    }

    // Guards against starts based on a stale view while the log cannot be read.
    TEST_F(DataCentreTest, logDownRightAfterOut_nothingStartsThere)
    {
        const int64_t out = setState("out");
        ASSERT_TRUE(m_site.setLogFault("down"));
        std::this_thread::sleep_for(outBound);
        ASSERT_TRUE(m_site.setLogFault("none"));
        std::this_thread::sleep_for(outBound);
        EXPECT_EQ(countStartsAfter(out + outBound.count()), 0);
        expectStartsAfterReopening();
    }

    // Guards against starts by an entry or agent that resumes from a pause with a stale view.
    TEST_F(DataCentreTest, entryAndAgentPausedInTurnAfterOut_nothingStartsThere)
    {
        const int64_t out = setState("out");
        for (const pid_t pid :
            { m_site.entries()[0].pid, m_site.hosts()[hostInDc1].agentPid, m_site.entries()[1].pid }) {
            m_site.pause(pid);
            std::this_thread::sleep_for(pauseTime);
            m_site.resume(pid);
        }
        std::this_thread::sleep_for(outBound);
        EXPECT_EQ(countStartsAfter(out + outBound.count()), 0);
        expectStartsAfterReopening();
    }

    // Guards against starts by an agent that was paused before the data centre was taken out.
    TEST_F(DataCentreTest, agentPausedAcrossOut_nothingStartsThere)
    {
        m_site.pause(m_site.hosts()[hostInDc1].agentPid);
        const int64_t out = setState("out");
        std::this_thread::sleep_for(outBound);
        m_site.resume(m_site.hosts()[hostInDc1].agentPid);
        std::this_thread::sleep_for(outBound);
        EXPECT_EQ(countStartsAfter(out + outBound.count()), 0);
        expectStartsAfterReopening();
    }

} // namespace
} // namespace hemlocklead
