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

        std::string choose(const TargetChooser::Need& need = { true, {} })
        {
            const auto isOut = [this](std::string_view dataCentre) { return dataCentre == m_out; };
            return m_chooser.choose(need, isOut, m_clock.now()).value_or("none");
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

    // Guards against requests that leave the data centre without need, and against a full data centre that keeps them.
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

    // Guards against requests to hosts that must get none.
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

    // Guards against a retry on the host that has just failed.
    TEST_F(TargetChooserTest, chooser_triedHosts_areAvoidedWhileThereAreOthers)
    {
        add("a");
        add("b");
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(choose({ true, { "a" } }), "b");
        EXPECT_NE(choose({ true, { "a", "b" } }), "none");
    }

    // Guards against a slow host that gets as much as the others.
    TEST_F(TargetChooserTest, chooser_slowHost_isAvoided)
    {
        add("slow");
        add("fast");
        m_chooser.ended("slow", microseconds { 50'000 });
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(choose(), "fast");
    }

    // Guards against a host that fails everything fast and so looks idle and quick.
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

    // Guards against ejecting so many hosts that the rest is overloaded.
    TEST_F(TargetChooserTest, ejector_everyHostFails_ejectsAtMostHalf)
    {
        for (const char* host : { "a", "b", "c", "d", "e" }) {
            add(host);
            fail(host, 10);
        }
        EXPECT_EQ(m_chooser.ejector().ejectedCount(), 2);
        EXPECT_NE(choose(), "none");
    }

    // Guards against a recovered host that stays out, and a broken one that comes back after one lucky request.
    TEST_F(TargetChooserTest, ejector_probes_readmitAfterSuccessesInARow)
    {
        add("good");
        add("bad");
        fail("bad", 5);
        EXPECT_EQ(choose(), "good");
        m_clock.advance(Duration { 5000 });
        EXPECT_EQ(choose({ false, {} }), "good") << "a request that cannot be repeated must not probe yet";
        EXPECT_EQ(choose(), "bad");
        EXPECT_EQ(choose(), "good") << "one probe at a time";
        m_chooser.ejector().record("bad", false, m_clock.now());
        m_clock.advance(Duration { 600 });
        EXPECT_EQ(choose(), "good") << "a failed probe starts the ejection anew";
        m_clock.advance(Duration { 5000 });
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(choose(), "bad");
            m_chooser.ejector().record("bad", true, m_clock.now());
            m_clock.advance(Duration { 500 });
        }
        EXPECT_FALSE(m_chooser.ejector().isEjected("bad"));
    }

    // Guards against old failures that eject a host which has recovered.
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

    // Guards against retries beyond their share of the requests.
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

    // Guards against hedges on too little knowledge, and against a p95 that follows the mean.
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

    using Verdict = AdmissionQueue::Verdict;

    class AdmissionQueueTest : public testing::Test {
    protected:
        Verdict offer(uint64_t id, int64_t deadlineMs, int64_t expectedMs = 0)
        {
            return m_queue.offer(
                id, m_clock.now() + Duration { deadlineMs }, m_clock.now(), Duration { expectedMs }, m_limits);
        }

        ManualClock m_clock;
        AdmissionQueue m_queue;
        AdmissionQueue::Limits m_limits { 1, 2 };
    };

    // Guards against limits that are not kept, and against serving in order of arrival.
    TEST_F(AdmissionQueueTest, queue_beyondInFlight_isInOrderOfDeadlinesAndLimited)
    {
        EXPECT_EQ(offer(1, 100), Verdict::Admitted);
        EXPECT_EQ(offer(2, 90), Verdict::Queued);
        EXPECT_EQ(offer(3, 50), Verdict::Queued);
        EXPECT_EQ(offer(4, 100), Verdict::QueueFull);
        EXPECT_FALSE(m_queue.admitNext(m_limits));
        m_queue.release();
        EXPECT_EQ(m_queue.admitNext(m_limits), 3U);
    }

    // Guards against work spent on requests whose caller will have given up.
    TEST_F(AdmissionQueueTest, queue_deadlineCannotBeMet_isShed)
    {
        EXPECT_EQ(offer(1, 0), Verdict::TooLate);
        EXPECT_EQ(offer(1, 100, 10), Verdict::Admitted);
        EXPECT_EQ(offer(2, 15, 10), Verdict::TooLate);
        EXPECT_EQ(offer(3, 100, 10), Verdict::Queued);
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

        /// Outcome in words: the target's id, `queued` or the reason of the refusal.
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

    // Guards against more calls at a target than it has slots, and a queue without bound.
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

    // Guards against calls to a target that died without withdrawing.
    TEST_F(SlotGateTest, gate_announcementExpired_getsNothingNew)
    {
        announce();
        EXPECT_FALSE(announce()) << "a repeated announcement is no change";
        m_clock.advance(Duration { 3001 });
        EXPECT_EQ(offer(1), "no-target");
        EXPECT_TRUE(m_gate.expireTargets(m_clock.now()));
        EXPECT_TRUE(m_gate.announced().empty());
    }

    // Guards against slots of a former process counted for the new one, and the reverse.
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

    // Guards against new work on a host that is leaving.
    TEST_F(SlotGateTest, gate_leaving_refusesNewAndQueuedCalls)
    {
        announce();
        offer(1);
        offer(2);
        EXPECT_EQ(m_gate.leave().size(), 1);
        EXPECT_EQ(offer(3), "leaving");
        m_gate.release(1);
    }

    // Guards against calls that wait for a target which has withdrawn.
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
