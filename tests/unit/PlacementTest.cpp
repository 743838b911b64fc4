#include "coordination/Placement.h"
#include "coordination/JobQueue.h"
#include "coordination/LeaseTracker.h"
#include "coordination/ShardAuthority.h"
#include "coordination/StartEjector.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    constexpr Instant start { Duration { 100'000 } };

    Instant after(int64_t ms) { return start + Duration { ms }; }

    class ShardAuthorityTest : public testing::Test {
    protected:
        static ShardAuthority authority(const std::string& self) { return ShardAuthority({ self, 3 }, start); }
        static std::string ranked(bool first)
        {
            return (rendezvousRank("a", 3) > rendezvousRank("b", 3)) == first ? "a" : "b";
        }
    };

    // Guards against competing claims by several entries for an unowned shard.
    TEST_F(ShardAuthorityTest, claim_unowned_isMadeByHighestRank)
    {
        const std::vector<LiveEntry> seesFirst { { ranked(true), after(0) } };
        const std::vector<LiveEntry> seesSecond { { ranked(false), after(0) } };
        EXPECT_TRUE(authority(ranked(true)).shouldClaim({}, seesSecond, after(10)));
        EXPECT_FALSE(authority(ranked(false)).shouldClaim({}, seesFirst, after(10)));
    }

    // Guards against a takeover from an owner that is slow but reachable, and against a shard that stays with a dead
    // owner.
    TEST_F(ShardAuthorityTest, claim_ownedByAnother_waitsForTheOwnerTimeout)
    {
        ShardAuthority self = authority("x");
        const ShardClaim claim { 4, "owner", "" };
        EXPECT_FALSE(self.shouldClaim(claim, { { "owner", after(0) } }, after(2999)));
        EXPECT_TRUE(self.shouldClaim(claim, { { "owner", after(0) } }, after(3001)));
    }

    // Guards against leases granted on the basis of a confirming read that is older than the authority time.
    TEST_F(ShardAuthorityTest, authority_oldConfirmation_ends)
    {
        const ShardAuthority self = authority("a");
        const ShardClaim claim { 4, "a", "" };
        EXPECT_TRUE(self.holds(claim, 4, after(0), after(4999)));
        EXPECT_FALSE(self.holds(claim, 4, after(0), after(5000)));
        EXPECT_FALSE(self.holds({ 5, "b", "" }, 4, after(0), after(1)));
        EXPECT_FALSE(self.holds(claim, 3, after(0), after(1)));
    }

    class LeaseTrackerTest : public testing::Test {
    protected:
        LeaseTracker m_tracker { LeaseTracker::Settings {} };
        const AttemptKey m_key { "s0-a", 0, 1 };
    };

    // Guards against reassignment while the last lease may still be valid on the agent.
    TEST_F(LeaseTrackerTest, lost_afterLease_waitsForMargin)
    {
        m_tracker.add(m_key);
        m_tracker.noteSent(m_key, after(0), Stamp { 1, 50 });
        EXPECT_FALSE(m_tracker.hasProvablyEnded(m_key, after(21'000)));
        EXPECT_TRUE(m_tracker.hasProvablyEnded(m_key, after(21'001)));
    }

    // Guards against a new owner that ignores leases granted by the previous owner.
    TEST_F(LeaseTrackerTest, lost_afterTakeover_waitsForAuthorityAndLease)
    {
        m_tracker.adopt(m_key, after(0));
        EXPECT_FALSE(m_tracker.hasProvablyEnded(m_key, after(26'000)));
        EXPECT_TRUE(m_tracker.hasProvablyEnded(m_key, after(26'001)));
    }

    // Guards against an absence report that a start still in flight would invalidate.
    TEST_F(LeaseTrackerTest, absence_beforeStartIsTooOld_provesNothing)
    {
        m_tracker.add(m_key);
        m_tracker.noteSent(m_key, after(0), Stamp { 1, 50 });
        m_tracker.noteAbsent(m_key, Stamp { 1, 2050 }, after(100));
        EXPECT_FALSE(m_tracker.hasProvablyEnded(m_key, after(5000)));
        m_tracker.noteAbsent(m_key, Stamp { 1, 2051 }, after(5000));
        EXPECT_FALSE(m_tracker.hasProvablyEnded(m_key, after(6499)));
        EXPECT_TRUE(m_tracker.hasProvablyEnded(m_key, after(6500)));
    }

    // Guards against an absence report that a start of the previous owner would invalidate: the delay of that
    // start is unbounded, because the agent has never listed the attempt.
    TEST_F(LeaseTrackerTest, absence_ofAdoptedAttemptNeverListed_provesNothing)
    {
        m_tracker.adopt(m_key, after(0));
        m_tracker.noteAbsent(m_key, Stamp { 1, 90'000 }, after(1));
        EXPECT_FALSE(m_tracker.hasProvablyEnded(m_key, after(20'000)));
    }

    class JobQueueTest : public testing::Test {
    protected:
        void add(const std::string& id, const std::string& team, int64_t age, bool urgent = false)
        {
            m_queue.addJob({ id, team + "-work", team, { 1000, 100, 0 }, urgent, false, age });
            m_queue.push({ id, 0 }, start);
            m_queue.push({ id, 1 }, start);
        }
        std::string next()
        {
            const auto task = m_queue.next(start);
            if (!task)
                return "none";
            m_queue.noteRunning(*m_queue.job(task->job));
            return task->job;
        }

        Limits m_limits;
        JobQueue m_queue { [this](std::string_view) { return &m_limits; } };
    };

    // Guards against one team that starves another, and against urgent tasks queued behind normal ones.
    TEST_F(JobQueueTest, next_severalTeams_urgentThenLowestShareThenAge)
    {
        m_queue.setCapacity({ 10'000, 10'000, 0 });
        add("old", "one", 1);
        add("newer", "one", 2);
        add("other", "two", 3);
        add("urgent", "three", 4, true);
        std::vector<std::string> order;
        order.reserve(8);
        for (int i = 0; i < 8; ++i)
            order.push_back(next());
        const std::vector<std::string> expected { "urgent", "urgent", "old", "other", "old", "other", "newer",
            "newer" };
        EXPECT_EQ(order, expected);
        EXPECT_EQ(next(), "none");
    }

    // Guards against a team that exceeds its quota, and a catalogue entry that exceeds `maxRunning`.
    TEST_F(JobQueueTest, next_atLimit_returnsNothing)
    {
        m_limits.teamQuota = { 1500, 0, 0 };
        add("a", "one", 1);
        EXPECT_EQ(next(), "a");
        EXPECT_EQ(next(), "none");
        m_limits = Limits {};
        m_limits.maxRunning = 1;
        EXPECT_EQ(next(), "none");
        m_limits.maxRunning = 2;
        EXPECT_EQ(next(), "a");
    }

    // Guards against a job that no host can run and that blocks all others.
    TEST_F(JobQueueTest, next_unplaceableOrDeferredJob_isSkipped)
    {
        add("big", "one", 1);
        add("held", "one", 2);
        add("small", "one", 3);
        m_queue.setUnplaceable("big", "too large");
        m_queue.defer("held", after(1));
        EXPECT_EQ(next(), "small");
        EXPECT_EQ(m_queue.unplaceable().size(), 1);
        m_queue.setUnplaceable("big", "");
        EXPECT_EQ(next(), "big");
    }

    // Guards against a failing task that is retried without a delay.
    TEST_F(JobQueueTest, next_taskBackingOff_waits)
    {
        m_queue.addJob({ "a", "w", "t", { 1, 1, 0 }, false, false, 1 });
        m_queue.push({ "a", 0 }, after(1000));
        EXPECT_FALSE(m_queue.next(after(999)));
        EXPECT_TRUE(m_queue.next(after(1000)));
    }

    class PlacementTest : public testing::Test {
    protected:
        static PlacementHost host(const std::string& name, const std::string& dataCentre, int64_t free)
        {
            return { name, dataCentre, dataCentre + "/r", { 8000, 8000, 0 }, { free, 8000, 0 }, true, { "lookup" } };
        }
        std::string choose() const
        {
            const auto chosen = Placement::chooseHost(m_request, m_hosts);
            return chosen ? m_hosts[*chosen].name : "none";
        }

        std::vector<PlacementHost> m_hosts { host("a", "muscat", 8000), host("b", "muscat", 2000),
            host("c", "sohar", 8000) };
        PlacementRequest m_request { { 1000, 100, 0 }, {}, {}, {}, {} };
    };

    // Guards against fragmentation, and against a job whose tasks are all lost with one data centre.
    TEST_F(PlacementTest, host_choice_spreadsThenFitsBest)
    {
        EXPECT_EQ(choose(), "b");
        m_request.tasksInDataCentre["muscat"] = 1;
        EXPECT_EQ(choose(), "c");
    }

    // Guards against placement on hosts that are out, ejected, full, or where the task has just failed.
    TEST_F(PlacementTest, host_unusableOrAvoided_isNotChosen)
    {
        m_hosts[1].usable = false;
        m_request.avoidedHost = "a";
        EXPECT_EQ(choose(), "c");
        m_request.resources.cpuMilli = 8001;
        EXPECT_EQ(choose(), "none");
        EXPECT_FALSE(Placement::fitsAnyHost(m_request.resources, m_hosts));
    }

    // Guards against placement of a task on a host with a service that it slows down.
    TEST_F(PlacementTest, host_withInterference_isLastChoice)
    {
        m_hosts[1].services = { "photo" };
        m_request.interference["photo"] = 0.4;
        EXPECT_EQ(choose(), "a");
    }

    // Guards against evictions that lose more progress than needed, or that do not free enough resources.
    TEST_F(PlacementTest, evictions_forUrgentWork_loseLeastProgress)
    {
        m_request.resources.cpuMilli = 8000;
        m_hosts = { host("a", "muscat", 6000), host("c", "sohar", 6000) };
        const std::vector<EvictionCandidate> candidates { { { "s0-x", 0, 1 }, "a", { 1000, 0, 0 }, 50 },
            { { "s0-x", 1, 1 }, "a", { 1000, 0, 0 }, 50 }, { { "s0-y", 0, 1 }, "c", { 2000, 0, 0 }, 20 },
            { { "s0-y", 1, 1 }, "c", { 2000, 0, 0 }, 10 } };
        const auto one = Placement::chooseEvictions(m_request, m_hosts, candidates, 1);
        ASSERT_EQ(one.size(), 1);
        EXPECT_EQ(one[0].key, (AttemptKey { "s0-y", 1, 1 }));
        EXPECT_EQ(Placement::chooseEvictions(m_request, m_hosts, candidates, 5).size(), 3);
    }

    class StartEjectorTest : public testing::Test {
    protected:
        void fail(const std::string& host, int count, const std::string& job, int64_t ms)
        {
            for (int i = 0; i < count; ++i)
                m_ejector.noteFailure(host, job, hosts, after(ms));
        }

        static constexpr size_t hosts = 10;
        StartEjector m_ejector { StartEjector::Settings {} };
    };

    // Guards against a faulty host that takes and fails all tasks, and against a faulty job that ejects healthy hosts.
    TEST_F(StartEjectorTest, host_failingEverything_isEjected)
    {
        fail("h", 9, "bad-job", 0);
        EXPECT_FALSE(m_ejector.isEjected("h", after(0)));
        fail("h", 1, "second-job", 0);
        EXPECT_TRUE(m_ejector.isEjected("h", after(29'999)));
        EXPECT_FALSE(m_ejector.isEjected("h", after(30'000)));
    }

    // Guards against many tasks placed on a host that is still faulty when its ejection ends.
    TEST_F(StartEjectorTest, host_afterEjection_getsOneProbe)
    {
        fail("h", 4, "a", 0);
        fail("h", 1, "b", 0);
        m_ejector.notePlaced("h", after(30'000));
        EXPECT_TRUE(m_ejector.isEjected("h", after(30'001)));
        m_ejector.noteSuccess("h");
        EXPECT_FALSE(m_ejector.isEjected("h", after(30'002)));
    }

    // Guards against a probation without end on a host whose runs do not end, and against one that is ended by a run
    // from before the host became faulty.
    TEST_F(StartEjectorTest, host_runAtWork_isReadmittedOnlyIfItStartedAfterTheLastFailure)
    {
        fail("h", 4, "a", 0);
        fail("h", 1, "b", 1000);
        m_ejector.noteAtWork("h", after(500));
        m_ejector.noteAtWork("h", after(1000));
        EXPECT_TRUE(m_ejector.isEjected("h", after(2000)));
        m_ejector.notePlaced("h", after(31'000));
        EXPECT_TRUE(m_ejector.isEjected("h", after(32'000)));
        m_ejector.noteAtWork("h", after(31'200));
        EXPECT_FALSE(m_ejector.isEjected("h", after(32'300)));
    }

    // Guards against failures that are counted for ever on a host whose long-running tasks work.
    TEST_F(StartEjectorTest, host_runAtWorkBetweenFailures_countsFailuresAnew)
    {
        fail("h", 4, "a", 0);
        m_ejector.noteAtWork("h", after(1000));
        fail("h", 4, "b", 5000);
        EXPECT_FALSE(m_ejector.isEjected("h", after(5000)));
        fail("h", 1, "a", 5000);
        EXPECT_TRUE(m_ejector.isEjected("h", after(5000)));
    }

    // Guards against a new owner that readmits a host for a run that its predecessor started there.
    TEST_F(StartEjectorTest, adoptedEjection_runAtWorkFromBefore_staysEjected)
    {
        m_ejector.adopt("h", Duration { 4000 }, hosts, after(1000));
        m_ejector.noteAtWork("h", after(1000));
        EXPECT_TRUE(m_ejector.isEjected("h", after(2500)));
        m_ejector.noteAtWork("h", after(1600));
        EXPECT_FALSE(m_ejector.isEjected("h", after(2700)));
    }

    // Guards against a fault of the tasks themselves that ejects all hosts.
    TEST_F(StartEjectorTest, ejections_atMost30Percent)
    {
        for (const char* name : { "h1", "h2", "h3", "h4", "h5" }) {
            fail(name, 4, "a", 0);
            fail(name, 1, "b", 0);
        }
        EXPECT_EQ(m_ejector.ejected(after(1)).size(), 3);
    }

} // namespace
} // namespace hemlocklead
