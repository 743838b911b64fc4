#include "support/JobWorld.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdio>

namespace hemlocklead {
namespace {

    // Guards against a job that is accepted and never placed, started or reported.
    TEST(ShardOwnerTest, job_withOneOwner_finishes)
    {
        JobWorld world(1, 1, 2);
        world.run(Duration { 2000 });
        ASSERT_TRUE(world.owner());
        world.submit("s0-a", 5);
        world.run(Duration { 15'000 });
        ASSERT_TRUE(world.accepted().contains("s0-a"));
        EXPECT_EQ(world.state().job("s0-a")->phase, JobPhase::Finished);
        EXPECT_TRUE(world.violations().empty());
    }

    // Guards against urgent work that waits behind can-wait work on full hosts.
    TEST(ShardOwnerTest, urgentJob_onFullHosts_startsWithin2400Ms)
    {
        JobWorld world(2, 1, 2);
        world.run(Duration { 2000 });
        world.submit("s0-batch", 60);
        world.run(Duration { 300 });
        world.submit("s0-urgent", 4, true);
        world.run(Duration { 2400 });
        const JobState* urgent = world.state().job("s0-urgent");
        for (const TaskState& task : urgent->tasks)
            EXPECT_GE(task.lastAttempt, 1);
        world.run(Duration { 60'000 });
        EXPECT_EQ(world.state().job("s0-batch")->phase, JobPhase::Finished);
        EXPECT_TRUE(world.violations().empty());
    }

    // Guards against work that stays in, or goes to, a data centre that was taken out.
    TEST(ShardOwnerTest, dataCentre_takenOut_isLeftAndWorkResumes)
    {
        JobWorld world(3, 1, 4);
        world.run(Duration { 2000 });
        world.submit("s0-a", 8);
        world.run(Duration { 300 });
        world.control().setOut("sohar", true);
        world.run(Duration { 1500 });
        for (const TaskState& task : world.state().job("s0-a")->tasks)
            EXPECT_FALSE(task.open && (task.open->host == "h1" || task.open->host == "h3"));
        world.run(Duration { 30'000 });
        EXPECT_EQ(world.state().job("s0-a")->phase, JobPhase::Finished);
        EXPECT_TRUE(world.violations().empty());
    }

    constexpr uint64_t groups = 8;
    constexpr uint64_t schedulesPerGroup = 400;
    constexpr size_t agentCount = 4;

    /// One random order of faults, submissions and cancellations, then a time without faults.
    class Schedule {
    public:
        explicit Schedule(uint64_t seed, EntrySettings owners = JobWorld::shortSettings())
            : m_world(seed, 2 + seed % 2, agentCount, std::move(owners))
            , m_entries(2 + seed % 2)
        {
        }

        JobWorld& world() { return m_world; }
        size_t jobs() const { return m_jobs; }

        void runFaults(Duration duration)
        {
            m_world.setFaulty(true);
            for (const Instant end = m_world.now() + duration; m_world.now() < end;) {
                m_world.runStep();
                if (pick(15) == 0)
                    disturb();
            }
        }

        /// Whether all accepted work ends once the faults are over.
        bool finish()
        {
            m_world.heal();
            m_world.control().setOut("sohar", false);
            for (const Instant end = m_world.now() + Duration { 90'000 }; m_world.now() < end;) {
                m_world.run(Duration { 200 });
                if (m_world.isAllDone())
                    return true;
            }
            return false;
        }

    private:
        uint64_t pick(uint64_t count) { return m_world.random()() % count; }
        std::string someJob() { return "s0-" + std::to_string(pick(m_jobs + 1)); }
        Duration someTime() { return Duration { pick(12) == 0 ? 6500 : pick(3000) }; }

        void disturb()
        {
            const size_t entry = pick(m_entries);
            const size_t agent = pick(agentCount);
            switch (pick(12)) {
            case 0:
            case 1:
                m_world.submit("s0-" + std::to_string(m_jobs++), 1 + static_cast<uint32_t>(pick(4)), pick(4) == 0);
                break;
            case 2:
                m_world.submit(someJob(), 2);
                break;
            case 3:
                m_world.cancel(someJob());
                break;
            case 4:
                m_world.pauseEntry(entry, someTime());
                break;
            case 5:
                m_world.pauseAgent(agent, someTime());
                break;
            case 6:
                m_world.cut(entry, agent);
                break;
            case 7:
                m_world.restartAgent(agent);
                break;
            case 8:
                m_world.killEntry(entry);
                break;
            case 9:
                m_world.control().setOut("sohar", pick(3) == 0);
                break;
            case 10:
                m_world.setLogDown(entry, pick(4) == 0);
                break;
            default:
                repair();
            }
        }

        void repair()
        {
            for (size_t entry = 0; entry < m_entries; ++entry) {
                m_world.startEntry(entry);
                for (size_t agent = 0; agent < agentCount; ++agent)
                    m_world.connect(entry, agent);
            }
        }

        JobWorld m_world;
        size_t m_entries;
        size_t m_jobs { 0 };
    };

    class ScheduleTest : public testing::TestWithParam<uint64_t> { };

    // Guards against a task that runs in two places, a start from an old checkpoint after an eviction, and accepted
    // jobs that get lost, whatever the order of pauses, cuts, deaths, losses, repetitions and cancellations.
    TEST_P(ScheduleTest, randomSchedules_faultsThenRepair_runEachTaskOnceAtATime)
    {
        size_t starts = 0;
        size_t gains = 0;
        size_t accepted = 0;
        for (uint64_t i = 0; i < schedulesPerGroup; ++i) {
            const uint64_t seed = GetParam() * schedulesPerGroup + i;
            SCOPED_TRACE("seed " + std::to_string(seed));
            Schedule schedule(seed);
            schedule.runFaults(Duration { 15'000 });
            EXPECT_TRUE(schedule.finish()) << "accepted work does not end";
            EXPECT_THAT(schedule.world().violations(), testing::IsEmpty());
            EXPECT_THAT(schedule.world().auditEnds(), testing::IsEmpty());
            starts += schedule.world().starts();
            gains += schedule.world().gains();
            accepted += schedule.world().accepted().size();
            if (HasFailure())
                return;
        }
        std::printf(
            "schedules=%lu starts=%zu takeovers=%zu accepted=%zu\n", schedulesPerGroup, starts, gains, accepted);
    }

    // Guards against a model world that cannot show the fault: owners that declare an attempt lost as soon as they have
    // granted a lease, or have taken over, must be caught.
    TEST(NaiveOwnerTest, randomSchedules_lostWithoutWaiting_runTwice)
    {
        EntrySettings naive = JobWorld::shortSettings();
        naive.driftMargin = -naive.attemptLease - naive.shardAuthority;
        size_t caught = 0;
        for (uint64_t seed = 0; seed < 20; ++seed) {
            Schedule schedule(seed, naive);
            schedule.runFaults(Duration { 15'000 });
            caught += schedule.world().violations().empty() ? 0 : 1;
        }
        EXPECT_GE(caught, 10);
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, ScheduleTest, testing::Range<uint64_t>(0, groups));

} // namespace
} // namespace hemlocklead
