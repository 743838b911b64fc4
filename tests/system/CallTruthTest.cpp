// What callers are told about their requests, against the journals of the targets (design section 8).
#include "support/CallLoad.h"
#include "support/LookupSiteTest.h"
#include "support/RunJournal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <thread>

namespace hemlocklead {
namespace {

    constexpr Duration faultTime { 3000 };
    constexpr Duration settleTime { 1000 }; ///< For requests that reach a target after their response.

    class CallTruthTest : public LookupSiteTest {
    protected:
        CallTruthTest()
            : LookupSiteTest(2)
        {
        }

        /// Runs a load, calls `begin` in the middle of it and `end` after the fault time, and checks every response.
        void runWithFault(const std::function<void()>& begin, const std::function<void()>& end)
        {
            CallLoad load(m_site, "lookup");
            std::this_thread::sleep_for(settleTime);
            EXPECT_FALSE(targetEvents(m_site, 0).empty()) << "the fault would meet no request";
            begin();
            std::this_thread::sleep_for(faultTime);
            end();
            std::this_thread::sleep_for(settleTime);
            const std::vector<CallRecord> records = load.stop();
            std::this_thread::sleep_for(settleTime);
            const std::map<std::string, int> starts = startsByTestId(m_site);
            for (const CallRecord& record : records) {
                const auto found = starts.find(record.testId);
                checkRecord(record, found == starts.end() ? 0 : found->second);
            }
        }

        static void checkRecord(const CallRecord& record, int starts)
        {
            ASSERT_TRUE(record.response) << record.describe();
            const std::string_view outcome = record.response->header("Hemlocklead-Outcome");
            if (outcome == "not-run") {
                EXPECT_EQ(starts, 0) << record.describe();
            }
            if (!record.isIdempotent) {
                EXPECT_LE(starts, 1) << record.describe();
            }
            if (record.response->status == 200) {
                EXPECT_TRUE(isOwnWholeResponse(record)) << record.describe();
                EXPECT_GE(starts, 1) << record.describe();
            }
            const bool isKnown = outcome == "done" || outcome == "not-run" || outcome == "unknown";
            EXPECT_TRUE(isKnown) << record.describe();
        }

        void runWithTargetFault(const std::string& mode)
        {
            runWithFault([&] { EXPECT_TRUE(m_site.setTargetFault(0, mode)); },
                [&] { EXPECT_TRUE(m_site.setTargetFault(0, "none")); });
        }
    };

    // Guards against requests that run twice, or are called not run, when their target dies.
    TEST_F(CallTruthTest, target_killed_responsesAreTrue)
    {
        runWithFault([&] { m_site.kill(m_site.hosts()[0].targetPid); }, [&] { m_site.startTarget(0); });
    }

    // Guards against requests that run twice, or are called not run, when the agent in front of the target dies.
    TEST_F(CallTruthTest, agent_killed_responsesAreTrue)
    {
        runWithFault([&] { m_site.kill(m_site.hosts()[0].agentPid); }, [&] { m_site.startAgent(0); });
    }

    // Guards against a truncated response that is passed on as complete.
    TEST_F(CallTruthTest, target_truncates_responsesAreTrue) { runWithTargetFault("truncate"); }

    // Guards against a request that is called not run because its connection closed after it ran.
    TEST_F(CallTruthTest, target_closesAfterRun_responsesAreTrue) { runWithTargetFault("close-after-run"); }

    // Guards against a request that is called not run, or sent again, because it got no response in time.
    TEST_F(CallTruthTest, target_hangs_responsesAreTrue) { runWithTargetFault("hang"); }

    // Guards against a response to another request that is passed on.
    TEST_F(CallTruthTest, target_crossesResponses_responsesAreTrue) { runWithTargetFault("crossed-id"); }

} // namespace
} // namespace hemlocklead
