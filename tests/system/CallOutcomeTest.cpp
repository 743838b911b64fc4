// Compares the outcomes that callers receive with the journals of the targets (design section 8).
#include "support/CallLoad.h"
#include "support/LookupSiteTest.h"
#include "support/RunJournal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <thread>

namespace hemlocklead {
namespace {

    constexpr Duration faultDuration { 3000 };
    constexpr Duration settleTime { 1000 }; ///< For requests that reach a target after the caller got a response.

    class CallOutcomeTest : public LookupSiteTest {
    protected:
        CallOutcomeTest()
            : LookupSiteTest(2)
        {
        }

        /// Runs a load, injects the fault in the middle of it, clears it after `faultDuration`, and checks every
        /// response.
        void runWithFault(const std::function<void()>& injectFault, const std::function<void()>& clearFault)
        {
            CallLoad load(m_site, "lookup");
            std::this_thread::sleep_for(settleTime);
            EXPECT_FALSE(targetEvents(m_site, 0).empty()) << "no request reached the target before the fault";
            injectFault();
            std::this_thread::sleep_for(faultDuration);
            clearFault();
            std::this_thread::sleep_for(settleTime);
            const std::vector<CallRecord> records = load.stop();
            std::this_thread::sleep_for(settleTime);
            const std::map<std::string, int> starts = startCountsByTestId(m_site);
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
                EXPECT_TRUE(isCompleteOwnResponse(record)) << record.describe();
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

    // Guards against requests that run twice, or are reported as not run although they ran, when their target dies.
    TEST_F(CallOutcomeTest, target_killed_outcomesMatchExecution)
    {
        runWithFault([&] { m_site.kill(m_site.hosts()[0].targetPid); }, [&] { m_site.startTarget(0); });
    }

    // Guards against requests that run twice, or are reported as not run although they ran, when the target's agent
    // dies.
    TEST_F(CallOutcomeTest, agent_killed_outcomesMatchExecution)
    {
        runWithFault([&] { m_site.kill(m_site.hosts()[0].agentPid); }, [&] { m_site.startAgent(0); });
    }

    // Guards against forwarding a truncated response as complete.
    TEST_F(CallOutcomeTest, target_truncates_outcomesMatchExecution) { runWithTargetFault("truncate"); }

    // Guards against reporting a request as not run because its connection was closed after it ran.
    TEST_F(CallOutcomeTest, target_closesAfterRun_outcomesMatchExecution) { runWithTargetFault("close-after-run"); }

    // Guards against reporting a request as not run, or sending it again, because its response timed out.
    TEST_F(CallOutcomeTest, target_hangs_outcomesMatchExecution) { runWithTargetFault("hang"); }

    // Guards against forwarding the response to another request.
    TEST_F(CallOutcomeTest, target_crossesResponses_outcomesMatchExecution) { runWithTargetFault("crossed-id"); }

} // namespace
} // namespace hemlocklead
