#include "coordination/AttemptTable.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class AttemptTableTest : public testing::Test {
    protected:
        static constexpr Duration attemptLease { 20'000 };
        using Action = StartDecision::Action;

        ManualClock m_clock;
        AttemptTable m_table { { 7, Duration { 2000 }, Duration { 6000 }, Duration { 1000 } } };
        const AttemptKey m_key { "job", 0, 1 };

        Stamp stamp() const { return { 7, m_clock.now().time_since_epoch().count() }; }

        Start start() const
        {
            Start message;
            message.key = m_key;
            message.echo = stamp();
            message.lease = attemptLease;
            return message;
        }

        StartContext context() const { return { m_clock.now(), false, true, false }; }

        void expectRefused(const Start& message, const StartContext& at, ErrorKind kind)
        {
            const StartDecision decision = m_table.decideStart(message, at);
            EXPECT_EQ(decision.action, Action::Refuse);
            EXPECT_EQ(decision.refusal, kind);
        }

        HeldAttempt& running()
        {
            HeldAttempt& attempt = m_table.begin(start());
            attempt.stage = AttemptStage::Running;
            return attempt;
        }
    };

    // Guards against a start whose stamp was made by a previous agent process.
    TEST_F(AttemptTableTest, start_otherIncarnation_isRefused)
    {
        Start message = start();
        message.echo.incarnation = 6;
        expectRefused(message, context(), ErrorKind::StaleView);
    }

    // Guards against a start that is based on a configuration too old to show a data centre that is out.
    TEST_F(AttemptTableTest, start_viewOlderThanF_isRefused)
    {
        Start message = start();
        message.viewAge = Duration { 1500 };
        m_clock.advance(Duration { 500 });
        EXPECT_EQ(m_table.decideStart(message, context()).action, Action::Begin);
        m_clock.advance(Duration { 1 });
        expectRefused(message, context(), ErrorKind::StaleView);
    }

    // Guards against a view that appears newer than it is, through a negative age or a stamp in the future.
    TEST_F(AttemptTableTest, start_viewOfTheFuture_isRefused)
    {
        Start message = start();
        message.viewAge = Duration { -1000 };
        expectRefused(message, context(), ErrorKind::StaleView);
        message.viewAge = Duration { 0 };
        message.echo.timeMs += 1;
        expectRefused(message, context(), ErrorKind::StaleView);
    }

    // Guards against a start whose attempt lease leaves no time for a worker lease.
    TEST_F(AttemptTableTest, start_leaseOver_isRefused)
    {
        Start message = start();
        message.lease = Duration { 1000 };
        expectRefused(message, context(), ErrorKind::StaleView);
    }

    // Guards against a start in a data centre that is out, without a reservation, or while the host is leaving.
    TEST_F(AttemptTableTest, start_notAllowedHere_isRefused)
    {
        StartContext at = context();
        at.reserved = false;
        expectRefused(start(), at, ErrorKind::NoCapacity);
        at.dataCentreOut = true;
        expectRefused(start(), at, ErrorKind::DataCentreOut);
        at.leaving = true;
        expectRefused(start(), at, ErrorKind::Leaving);
    }

    // Guards against a second run of an attempt whose Start arrives twice, and against different answers to the copies.
    TEST_F(AttemptTableTest, start_repeated_answersTheSame)
    {
        HeldAttempt& attempt = m_table.begin(start());
        EXPECT_EQ(m_table.decideStart(start(), context()).action, Action::Wait);
        attempt.stage = AttemptStage::Running;
        EXPECT_EQ(m_table.decideStart(start(), context()).action, Action::Started);
        m_table.end(attempt, EndReason::Finished, "r", m_clock.now());
        EXPECT_EQ(m_table.decideStart(start(), context()).action, Action::Started);
    }

    // Guards against the start of an attempt that was already reported as not started.
    TEST_F(AttemptTableTest, start_afterFinalRefusal_staysRefused)
    {
        m_table.refuse(start(), ErrorKind::NoCapacity, m_clock.now());
        expectRefused(start(), context(), ErrorKind::NoCapacity);
    }

    // Guards against a delayed copy of a Start that runs an ended attempt again.
    TEST_F(AttemptTableTest, ended_acknowledged_isKeptForFAndMargin)
    {
        m_table.end(running(), EndReason::Finished, "r", m_clock.now());
        EXPECT_TRUE(m_table.acknowledge(m_key));
        m_clock.advance(Duration { 2999 });
        m_table.purgeEnded(m_clock.now());
        EXPECT_TRUE(m_table.find(m_key));
        m_clock.advance(Duration { 1 });
        m_table.purgeEnded(m_clock.now());
        EXPECT_FALSE(m_table.find(m_key));
    }

    // Guards against an ended attempt that is removed before the owner has acknowledged its end.
    TEST_F(AttemptTableTest, ended_notAcknowledged_isKept)
    {
        m_table.end(running(), EndReason::Finished, "r", m_clock.now());
        m_clock.advance(Duration { 600'000 });
        m_table.purgeEnded(m_clock.now());
        EXPECT_TRUE(m_table.find(m_key));
    }

    // Guards against a delayed or repeated Renew that extends a lease beyond the end that its sender assumes.
    TEST_F(AttemptTableTest, renew_delayed_countsFromStamp)
    {
        HeldAttempt& attempt = running();
        const Instant stamped = m_clock.now();
        const Stamp echo = stamp();
        m_clock.advance(Duration { 10'000 });
        EXPECT_TRUE(m_table.renew(m_key, echo, attemptLease, m_clock.now()));
        EXPECT_EQ(attempt.leaseEnd, stamped + attemptLease);
        EXPECT_TRUE(m_table.renew(m_key, stamp(), attemptLease, m_clock.now()));
        EXPECT_TRUE(m_table.renew(m_key, echo, attemptLease, m_clock.now()));
        EXPECT_EQ(attempt.leaseEnd, m_clock.now() + attemptLease);
    }

    // Guards against a Renew that extends the lease of a lapsed or stopping attempt.
    TEST_F(AttemptTableTest, renew_lapsedOrStopping_isRefused)
    {
        HeldAttempt& attempt = running();
        attempt.stage = AttemptStage::Stopping;
        EXPECT_FALSE(m_table.renew(m_key, stamp(), attemptLease, m_clock.now()));
        attempt.stage = AttemptStage::Running;
        m_clock.advance(attemptLease - Duration { 1000 });
        EXPECT_TRUE(m_table.isLapsed(attempt, m_clock.now()));
        EXPECT_FALSE(m_table.renew(m_key, stamp(), attemptLease, m_clock.now()));
        EXPECT_EQ(m_table.workerLease(attempt, m_clock.now()), Duration { 0 });
    }

    // Guards against a worker lease that ends after the attempt lease, or that is given without an attempt lease.
    TEST_F(AttemptTableTest, workerLease_always_endsBeforeAttemptLease)
    {
        HeldAttempt& attempt = running();
        EXPECT_EQ(m_table.workerLease(attempt, m_clock.now()), Duration { 6000 });
        m_clock.advance(Duration { 15'000 });
        EXPECT_EQ(m_table.workerLease(attempt, m_clock.now()), Duration { 4000 });
        EXPECT_TRUE(AttemptTable::isLeaseLow(attempt, m_clock.now()));
        EXPECT_EQ(m_table.workerLease(m_table.adopt({ "other", 0, 1 }), m_clock.now()), Duration { 0 });
    }

} // namespace
} // namespace hemlocklead
