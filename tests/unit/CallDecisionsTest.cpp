#include "coordination/AdmissionQueue.h"
#include "coordination/LatencyQuantile.h"
#include "coordination/RetryBudget.h"
#include "coordination/SlotGate.h"
#include "coordination/TargetChooser.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    using std::chrono::microseconds;

    class TargetChooserTest : public testing::Test {
    protected:
        void add(const std::string& host, const std::string& dataCentre = "own", int64_t busy = 0)
        {
            m_chooser.update(host, { dataCentre, 8, busy, microseconds { 1000 } }, m_clock.now());
        }

        std::string choose(const TargetChooser::Requirements& requirements = { true, {} })
        {
            const auto isOut = [this](std::string_view dataCentre) { return dataCentre == m_out; };
            return m_chooser.choose(requirements, isOut, m_clock.now()).value_or("none");
        }

        void fail(const std::string& host, int times)
        {
            for (int i = 0; i < times; ++i)
                m_chooser.ejector().record(host, false, m_clock.now());
        }

        ManualClock m_clock;
        std::string m_out;
        TargetChooser m_chooser { "own", 1 };
    };

    // Guards against requests sent to another data centre while the own one has free slots, and against requests that
    // stay in a full data centre.
    TEST_F(TargetChooserTest, chooser_ownDataCentre_isPreferredUntilFull)
    {
        add("near");
        add("far", "other");
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(choose(), "near");
        add("near", "own", 8);
        int far = 0;
        for (int i = 0; i < 20; ++i)
            far += choose() == "far";
        EXPECT_GT(far, 0);
    }

    // Guards against requests to hosts that are leaving, in a data centre that is out, or removed.
    TEST_F(TargetChooserTest, chooser_leavingOutAndRemovedHosts_areNotChosen)
    {
        add("leaving");
        m_chooser.setLeaving("leaving");
        add("out", "out-centre");
        m_out = "out-centre";
        add("removed");
        m_chooser.remove("removed");
        EXPECT_EQ(choose(), "none");
        add("good", "other");
        EXPECT_EQ(choose(), "good");
    }

    // Guards against a retry on the host that failed the first try.
    TEST_F(TargetChooserTest, chooser_triedHosts_areAvoidedWhileThereAreOthers)
    {
        add("a");
        add("b");
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(choose({ true, { "a" } }), "b");
        EXPECT_NE(choose({ true, { "a", "b" } }), "none");
    }

    // Guards against a slow host that receives as many requests as the others.
    TEST_F(TargetChooserTest, chooser_slowHost_isAvoided)
    {
        add("slow");
        add("fast");
        m_chooser.ended("slow", microseconds { 50'000 });
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(choose(), "fast");
    }

    // Guards against a host that fails every request quickly and so appears idle and fast.
    TEST_F(TargetChooserTest, chooser_fastFailures_repelLoadThenEject)
    {
        add("good");
        add("bad");
        fail("bad", 1);
        m_chooser.ended("bad", std::nullopt);
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(choose(), "good");
        fail("bad", 4);
        EXPECT_TRUE(m_chooser.ejector().isEjected("bad"));
    }

    // Guards against ejecting so many hosts that the remaining ones are overloaded.
    TEST_F(TargetChooserTest, ejector_everyHostFails_ejectsAtMostHalf)
    {
        for (const char* host : { "a", "b", "c", "d", "e" }) {
            add(host);
            fail(host, 10);
        }
        EXPECT_EQ(m_chooser.ejector().ejectedCount(), 2);
        EXPECT_NE(choose(), "none");
    }

    // Guards against a recovered host that stays ejected, and a failing host that is re-admitted after one success.
    TEST_F(TargetChooserTest, ejector_probes_readmitAfterSuccessesInARow)
    {
        add("good");
        add("bad");
        fail("bad", 5);
        EXPECT_EQ(choose(), "good");
        m_clock.advance(Duration { 5000 });
        EXPECT_EQ(choose({ false, {} }), "good") << "a request that is not idempotent must not be a probe yet";
        EXPECT_EQ(choose(), "bad");
        EXPECT_EQ(choose(), "good") << "one probe at a time";
        m_chooser.ejector().record("bad", false, m_clock.now());
        m_clock.advance(Duration { 600 });
        EXPECT_EQ(choose(), "good") << "a failed probe restarts the ejection time";
        m_clock.advance(Duration { 5000 });
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(choose(), "bad");
            m_chooser.ejector().record("bad", true, m_clock.now());
            m_clock.advance(Duration { 500 });
        }
        EXPECT_FALSE(m_chooser.ejector().isEjected("bad"));
    }

    // Guards against an ejection caused by failures older than the window.
    TEST_F(TargetChooserTest, ejector_oldFailures_leaveTheWindow)
    {
        add("a");
        add("b");
        fail("a", 4);
        m_clock.advance(Duration { 11'000 });
        fail("a", 4);
        EXPECT_FALSE(m_chooser.ejector().isEjected("a"));
        fail("a", 1);
        EXPECT_TRUE(m_chooser.ejector().isEjected("a"));
    }

    // Guards against more retries than the configured share of the requests.
    TEST(RetryBudgetTest, budget_spent_refillsWithRequests)
    {
        RetryBudget budget(10, 2);
        EXPECT_TRUE(budget.take() && budget.take());
        EXPECT_FALSE(budget.take());
        for (int i = 0; i < 9; ++i)
            budget.noteRequest();
        EXPECT_FALSE(budget.take());
        budget.noteRequest();
        EXPECT_TRUE(budget.take());
        EXPECT_FALSE(RetryBudget(0).take());
    }

    // Guards against a hedge delay from too few samples, and against a p95 that follows the mean.
    TEST(LatencyQuantileTest, quantile_tailOfSamples_setsHedgeDelay)
    {
        LatencyQuantile latency;
        for (int i = 0; i < 19; ++i)
            latency.record(microseconds { 1000 });
        EXPECT_FALSE(latency.hedgeDelay());
        for (int i = 0; i < 93; ++i)
            latency.record(microseconds { i % 10 == 0 ? 80'000 : 1000 });
        EXPECT_EQ(latency.hedgeDelay(), Duration { 80 });
        EXPECT_EQ(latency.median(), microseconds { 1000 });
    }

    using Decision = AdmissionQueue::Decision;

    class AdmissionQueueTest : public testing::Test {
    protected:
        Decision offer(uint64_t id, int64_t deadlineMs, int64_t expectedMs = 0)
        {
            return m_queue.offer(
                id, m_clock.now() + Duration { deadlineMs }, m_clock.now(), Duration { expectedMs }, m_limits);
        }

        ManualClock m_clock;
        AdmissionQueue m_queue;
        AdmissionQueue::Limits m_limits { 1, 2 };
    };

    // Guards against exceeding the limits, and against admitting in order of arrival instead of deadline.
    TEST_F(AdmissionQueueTest, queue_beyondInFlight_isInOrderOfDeadlinesAndLimited)
    {
        EXPECT_EQ(offer(1, 100), Decision::Admitted);
        EXPECT_EQ(offer(2, 90), Decision::Queued);
        EXPECT_EQ(offer(3, 50), Decision::Queued);
        EXPECT_EQ(offer(4, 100), Decision::QueueFull);
        EXPECT_FALSE(m_queue.admitNext(m_limits));
        m_queue.release();
        EXPECT_EQ(m_queue.admitNext(m_limits), 3U);
    }

    // Guards against work on requests that cannot be answered before their deadline.
    TEST_F(AdmissionQueueTest, queue_deadlineCannotBeMet_isShed)
    {
        EXPECT_EQ(offer(1, 0), Decision::TooLate);
        EXPECT_EQ(offer(1, 100, 10), Decision::Admitted);
        EXPECT_EQ(offer(2, 15, 10), Decision::TooLate);
        EXPECT_EQ(offer(3, 100, 10), Decision::Queued);
        m_clock.advance(Duration { 89 });
        EXPECT_TRUE(m_queue.shed(m_clock.now(), Duration { 10 }).empty());
        m_clock.advance(Duration { 1 });
        EXPECT_EQ(m_queue.shed(m_clock.now(), Duration { 10 }), std::vector<uint64_t> { 3 });
    }

    class SlotGateTest : public testing::Test {
    protected:
        bool announce(const std::string& address = "127.0.0.1:1", int64_t slots = 1)
        {
            return m_gate.announce({ "service", "instance", address, slots, 64 }, m_clock.now());
        }

        /// The outcome as a string: the target's id, `queued` or the reason of the refusal.
        std::string offer(uint64_t call, int64_t deadlineMs = 1000)
        {
            const auto deadline = m_clock.now() + Duration { deadlineMs };
            const SlotGate::Offer offer = m_gate.offer(call, "service", deadline, m_clock.now());
            if (offer.refusal)
                return std::string(errorName(offer.refusal->reason));
            return offer.grant ? std::to_string(offer.grant->target) : "queued";
        }

        ManualClock m_clock;
        SlotGate m_gate { { 2, Duration { 3000 } } };
    };

    // Guards against more calls on a target than it has slots, and an unbounded queue.
    TEST_F(SlotGateTest, gate_slotsTaken_queuesThenRefuses)
    {
        EXPECT_EQ(offer(0), "no-target");
        EXPECT_TRUE(announce());
        EXPECT_EQ(offer(1), "1");
        EXPECT_EQ(offer(2, 900), "queued");
        EXPECT_EQ(offer(3, 500), "queued");
        EXPECT_EQ(offer(4), "overloaded");
        EXPECT_TRUE(m_gate.grantNext(m_clock.now()).empty());
        m_gate.release(1);
        ASSERT_EQ(m_gate.grantNext(m_clock.now()).size(), 1);
        m_clock.advance(Duration { 900 });
        ASSERT_EQ(m_gate.expireCalls(m_clock.now()).size(), 1);
    }

    // Guards against calls to a target that stopped without withdrawing its announcement.
    TEST_F(SlotGateTest, gate_announcementExpired_getsNothingNew)
    {
        announce();
        EXPECT_FALSE(announce()) << "a repeated announcement is not a change";
        m_clock.advance(Duration { 3001 });
        EXPECT_EQ(offer(1), "no-target");
        EXPECT_TRUE(m_gate.expireTargets(m_clock.now()));
        EXPECT_TRUE(m_gate.announced().empty());
    }

    // Guards against counting the calls of an instance's previous process for its new one, or the reverse.
    TEST_F(SlotGateTest, gate_instanceAtNewAddress_hasItsOwnSlots)
    {
        announce();
        EXPECT_EQ(offer(1), "1");
        EXPECT_TRUE(announce("127.0.0.1:2"));
        EXPECT_EQ(offer(2), "2");
        EXPECT_EQ(offer(3), "queued");
        m_gate.release(1);
        EXPECT_TRUE(m_gate.grantNext(m_clock.now()).empty());
        EXPECT_FALSE(m_gate.knows(1));
    }

    // Guards against new or queued calls that run on a host that is leaving.
    TEST_F(SlotGateTest, gate_leaving_refusesNewAndQueuedCalls)
    {
        announce();
        offer(1);
        offer(2);
        EXPECT_EQ(m_gate.leave().size(), 1);
        EXPECT_EQ(offer(3), "leaving");
        m_gate.release(1);
    }

    // Guards against queued calls that wait for a target that was withdrawn.
    TEST_F(SlotGateTest, gate_withdrawnWithQueue_refusesTheQueue)
    {
        announce();
        offer(1);
        offer(2);
        EXPECT_TRUE(m_gate.withdraw("service", "instance"));
        ASSERT_EQ(m_gate.expireCalls(m_clock.now()).size(), 1);
        EXPECT_TRUE(m_gate.knows(1)) << "the call in progress ends first";
    }

} // namespace
} // namespace hemlocklead
