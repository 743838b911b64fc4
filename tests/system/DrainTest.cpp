// Planned shutdowns under load (design section 9), and targets that disappear without withdrawing their announcement.
#include "support/CallLoad.h"
#include "support/LookupSiteTest.h"
#include "support/RunJournal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace hemlocklead {
namespace {

    constexpr Duration announcementTtl { 3000 };
    constexpr Duration announceInterval { 1000 }; ///< Interval of the stand-in target.
    constexpr Duration entryDrain { 2000 };
    constexpr Duration exitLimit { 12'000 };
    constexpr Duration loadTime { 1000 }; ///< Duration of the load before and after a shutdown.

    class DrainTest : public LookupSiteTest {
    protected:
        DrainTest()
            : LookupSiteTest(3)
        {
        }

        /// Descriptions of the requests that were sent after `time` and ran on host 1; empty if there are none.
        std::string lateRequestsOnHost1(const std::vector<CallRecord>& records, int64_t time)
        {
            std::string late;
            for (const TargetEvent& event : targetEvents(m_site, 1)) {
                for (const CallRecord& record : records) {
                    if (event.isStart && record.testId == event.testId && record.sentAt > time)
                        late += record.describe();
                }
            }
            return late;
        }

        bool hasRunOnHost1() { return !targetEvents(m_site, 1).empty(); }
    };

    std::vector<CallRecord> sentAfter(const std::vector<CallRecord>& records, int64_t time)
    {
        std::vector<CallRecord> later;
        std::ranges::copy_if(
            records, std::back_inserter(later), [&](const CallRecord& record) { return record.sentAt > time; });
        return later;
    }

    // Guards against an entry that aborts requests while it shuts down.
    TEST_F(DrainTest, entry_stoppedUnderLoad_noRequestFails)
    {
        CallLoad load(m_site, "lookup");
        std::this_thread::sleep_for(loadTime);
        m_site.runner().signal(m_site.entries()[1].pid, SIGTERM);
        // Acts as a load balancer that sees the 503 of /health and stops sending before the listener closes.
        std::this_thread::sleep_for(entryDrain - Duration { 700 });
        load.exclude(1);
        EXPECT_EQ(m_site.runner().waitExit(m_site.entries()[1].pid, exitLimit), 0);
        std::this_thread::sleep_for(loadTime);
        EXPECT_EQ(failedCalls(load.stop()), "");
    }

    // Guards against an agent that drops requests, or reports them as failed, while it shuts down.
    TEST_F(DrainTest, agent_stoppedUnderLoad_noRequestFails)
    {
        CallLoad load(m_site, "lookup");
        std::this_thread::sleep_for(loadTime);
        EXPECT_TRUE(hasRunOnHost1());
        m_site.runner().signal(m_site.hosts()[1].agentPid, SIGTERM);
        EXPECT_EQ(m_site.runner().waitExit(m_site.hosts()[1].agentPid, exitLimit), 0);
        std::this_thread::sleep_for(loadTime);
        EXPECT_EQ(failedCalls(load.stop()), "");
    }

    // Guards against aborting requests when their target shuts down, and against sending requests after its withdrawal.
    TEST_F(DrainTest, target_stoppedUnderLoad_noRequestFails)
    {
        CallLoad load(m_site, "lookup");
        std::this_thread::sleep_for(loadTime);
        EXPECT_TRUE(hasRunOnHost1());
        m_site.runner().signal(m_site.hosts()[1].targetPid, SIGTERM);
        EXPECT_EQ(m_site.runner().waitExit(m_site.hosts()[1].targetPid, exitLimit), 0);
        const int64_t ended = journalNow();
        std::this_thread::sleep_for(loadTime);
        const std::vector<CallRecord> records = load.stop();
        EXPECT_EQ(failedCalls(records), "");
        EXPECT_EQ(lateRequestsOnHost1(records, ended), "");
    }

    // Guards against sending requests to a target whose announcement has expired.
    TEST_F(DrainTest, target_pausedWithoutWithdrawal_getsNothingNewAfterExpiry)
    {
        CallLoad load(m_site, "lookup");
        std::this_thread::sleep_for(loadTime);
        EXPECT_TRUE(hasRunOnHost1());
        m_site.pause(m_site.hosts()[1].targetPid);
        const int64_t expired = journalNow() + (announcementTtl + announceInterval).count();
        std::this_thread::sleep_for(announcementTtl + announceInterval + loadTime);
        const std::vector<CallRecord> records = load.stop();
        // The resumed target now runs the requests that were sent to it during the pause.
        m_site.resume(m_site.hosts()[1].targetPid);
        std::this_thread::sleep_for(loadTime);
        EXPECT_EQ(lateRequestsOnHost1(records, expired), "");
        const std::vector<CallRecord> later = sentAfter(records, expired);
        EXPECT_FALSE(later.empty());
        EXPECT_EQ(failedCalls(later), "");
    }

    // Guards against requests that keep failing after a target died without a withdrawal.
    TEST_F(DrainTest, target_killedWithoutWithdrawal_noRequestFailsAfterExpiry)
    {
        CallLoad load(m_site, "lookup");
        std::this_thread::sleep_for(loadTime);
        EXPECT_TRUE(hasRunOnHost1());
        m_site.kill(m_site.hosts()[1].targetPid);
        const int64_t expired = journalNow() + (announcementTtl + announceInterval).count();
        std::this_thread::sleep_for(announcementTtl + announceInterval + loadTime);
        const std::vector<CallRecord> later = sentAfter(load.stop(), expired);
        EXPECT_FALSE(later.empty());
        EXPECT_EQ(failedCalls(later), "");
    }

} // namespace
} // namespace hemlocklead
