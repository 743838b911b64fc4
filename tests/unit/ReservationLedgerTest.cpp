#include "coordination/ReservationLedger.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class ReservationLedgerTest : public testing::Test {
    protected:
        ManualClock m_clock;
        ReservationLedger m_ledger { Duration { 5000 } };
        const Resources m_half { 2000, 512, 0 };
        const Resources m_rest { 2000, 512, 1 }; ///< Capacity minus `m_half`.

        std::optional<ErrorKind> reserve(const std::string& id, const Resources& amount)
        {
            return m_ledger.reserve(id, amount, m_clock.now());
        }

        void makeReady()
        {
            m_ledger.setCapacity({ 4000, 1024, 1 });
            m_ledger.setReady();
        }
    };

    // Guards against reservations granted before a restarted agent has counted the tasks that still run.
    TEST_F(ReservationLedgerTest, reserve_beforeRebuild_isNotReady)
    {
        EXPECT_EQ(reserve("a", m_half), ErrorKind::NotReady);
        m_ledger.hold("running", m_half);
        makeReady();
        EXPECT_EQ(reserve("a", m_half), std::nullopt);
        EXPECT_EQ(reserve("b", m_half), ErrorKind::NoCapacity);
    }

    // Guards against overcommitment of any single resource.
    TEST_F(ReservationLedgerTest, reserve_oneResourceFull_isRefused)
    {
        makeReady();
        EXPECT_EQ(reserve("cpu", { 4001, 0, 0 }), ErrorKind::NoCapacity);
        EXPECT_EQ(reserve("memory", { 0, 1025, 0 }), ErrorKind::NoCapacity);
        EXPECT_EQ(reserve("accelerator", { 0, 0, 2 }), ErrorKind::NoCapacity);
        EXPECT_EQ(reserve("negative", { -1, 0, 0 }), ErrorKind::InvalidRequest);
        EXPECT_EQ(m_ledger.free(), (Resources { 4000, 1024, 1 }));
    }

    // Guards against a repeated Reserve that is counted twice or that extends the reservation.
    TEST_F(ReservationLedgerTest, reserve_repeated_changesNothing)
    {
        makeReady();
        reserve("a", m_half);
        m_clock.advance(Duration { 3000 });
        EXPECT_EQ(reserve("a", m_half), std::nullopt);
        EXPECT_EQ(m_ledger.free(), m_rest);
        m_clock.advance(Duration { 2000 });
        EXPECT_FALSE(m_ledger.holds("a", m_clock.now()));
        EXPECT_FALSE(m_ledger.commit("a", m_clock.now()));
    }

    // Guards against resources of a running task that are granted again when its reservation would have expired.
    TEST_F(ReservationLedgerTest, commit_inTime_holdsUntilRelease)
    {
        makeReady();
        reserve("a", m_half);
        EXPECT_TRUE(m_ledger.commit("a", m_clock.now()));
        m_clock.advance(Duration { 60'000 });
        m_ledger.expire(m_clock.now());
        EXPECT_EQ(m_ledger.free(), m_rest);
        m_ledger.release("a");
        EXPECT_EQ(m_ledger.free(), m_ledger.capacity());
    }

} // namespace
} // namespace hemlocklead
