#include "support/JobSimulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdio>

namespace hemlocklead {
namespace {

    // Guards against an accepted job that is never placed, started or reported.
    TEST(ShardOwnerTest, job_withOneOwner_finishes)
    {
        JobSimulation simulation(1, 1, 2);
        simulation.run(Duration { 2000 });
        ASSERT_TRUE(simulation.owner());
        simulation.submit("s0-a", 5);
        simulation.run(Duration { 15'000 });
        ASSERT_TRUE(simulation.accepted().contains("s0-a"));
        EXPECT_EQ(simulation.state().job("s0-a")->phase, JobPhase::Finished);
        EXPECT_TRUE(simulation.violations().empty());
    }

    // Guards against urgent tasks that wait behind can-wait tasks on full hosts.
    TEST(ShardOwnerTest, urgentJob_onFullHosts_startsWithin2400Ms)
    {
        JobSimulation simulation(2, 1, 2);
        simulation.run(Duration { 2000 });
        simulation.submit("s0-batch", 60);
        simulation.run(Duration { 300 });
        simulation.submit("s0-urgent", 4, true);
        simulation.run(Duration { 2400 });
        const JobState* urgent = simulation.state().job("s0-urgent");
        for (const TaskState& task : urgent->tasks)
            EXPECT_GE(task.lastAttempt, 1);
        simulation.run(Duration { 60'000 });
        EXPECT_EQ(simulation.state().job("s0-batch")->phase, JobPhase::Finished);
        EXPECT_TRUE(simulation.violations().empty());
    }

    // Guards against tasks that keep running or are started in a data centre that was taken out.
    TEST(ShardOwnerTest, dataCentre_takenOut_isLeftAndWorkResumes)
    {
        JobSimulation simulation(3, 1, 4);
        simulation.run(Duration { 2000 });
        simulation.submit("s0-a", 8);
        simulation.run(Duration { 300 });
        simulation.control().setOut("sohar", true);
        simulation.run(Duration { 1500 });
        for (const TaskState& task : simulation.state().job("s0-a")->tasks)
            EXPECT_FALSE(task.open && (task.open->host == "h1" || task.open->host == "h3"));
        simulation.run(Duration { 30'000 });
        EXPECT_EQ(simulation.state().job("s0-a")->phase, JobPhase::Finished);
        EXPECT_TRUE(simulation.violations().empty());
    }

    constexpr uint64_t groups = 8;
    constexpr uint64_t schedulesPerGroup = 400;
    constexpr size_t agentCount = 4;

    /// A random sequence of faults, submissions and cancellations, followed by a period without faults.
    class EventSchedule {
    public:
        explicit EventSchedule(uint64_t seed, EntrySettings owners = JobSimulation::shortSettings())
            : m_simulation(seed, 2 + seed % 2, agentCount, std::move(owners))
            , m_entries(2 + seed % 2)
        {
        }

        JobSimulation& simulation() { return m_simulation; }
        size_t jobs() const { return m_jobs; }

        void runWithFaults(Duration duration)
        {
            m_simulation.setFaulty(true);
            for (const Instant end = m_simulation.now() + duration; m_simulation.now() < end;) {
                m_simulation.runStep();
                if (randomBelow(15) == 0)
                    applyRandomEvent();
            }
        }

        /// Ends all faults. Returns whether all jobs end within 90 s of simulated time.
        bool runToCompletion()
        {
            m_simulation.endFaults();
            m_simulation.control().setOut("sohar", false);
            for (const Instant end = m_simulation.now() + Duration { 90'000 }; m_simulation.now() < end;) {
                m_simulation.run(Duration { 200 });
                if (m_simulation.isAllDone())
                    return true;
            }
            return false;
        }

    private:
        uint64_t randomBelow(uint64_t count) { return m_simulation.random()() % count; }
        std::string randomJob() { return "s0-" + std::to_string(randomBelow(m_jobs + 1)); }
        Duration randomPause() { return Duration { randomBelow(12) == 0 ? 6500 : randomBelow(3000) }; }

        void applyRandomEvent()
        {
            const size_t entry = randomBelow(m_entries);
            const size_t agent = randomBelow(agentCount);
            switch (randomBelow(12)) {
            case 0:
            case 1:
                m_simulation.submit(
                    "s0-" + std::to_string(m_jobs++), 1 + static_cast<uint32_t>(randomBelow(4)), randomBelow(4) == 0);
                break;
            case 2:
                m_simulation.submit(randomJob(), 2);
                break;
            case 3:
                m_simulation.cancel(randomJob());
                break;
            case 4:
                m_simulation.pauseEntry(entry, randomPause());
                break;
            case 5:
                m_simulation.pauseAgent(agent, randomPause());
                break;
            case 6:
                m_simulation.disconnect(entry, agent);
                break;
            case 7:
                m_simulation.restartAgent(agent);
                break;
            case 8:
                m_simulation.killEntry(entry);
                break;
            case 9:
                m_simulation.control().setOut("sohar", randomBelow(3) == 0);
                break;
            case 10:
                m_simulation.setLogDown(entry, randomBelow(4) == 0);
                break;
            default:
                restoreEntriesAndConnections();
            }
        }

        void restoreEntriesAndConnections()
        {
            for (size_t entry = 0; entry < m_entries; ++entry) {
                m_simulation.startEntry(entry);
                for (size_t agent = 0; agent < agentCount; ++agent)
                    m_simulation.connect(entry, agent);
            }
        }

        JobSimulation m_simulation;
        size_t m_entries;
        size_t m_jobs { 0 };
    };

    class ScheduleTest : public testing::TestWithParam<uint64_t> { };

    // Guards against two concurrent attempts of a task, a start from an old checkpoint after an eviction, and the loss
    // of accepted jobs, for any order of pauses, disconnects, crashes, lost or repeated messages and cancellations.
    TEST_P(ScheduleTest, randomSchedules_faultsThenRepair_runEachTaskOnceAtATime)
    {
        size_t starts = 0;
        size_t ownershipGains = 0;
        size_t accepted = 0;
        for (uint64_t i = 0; i < schedulesPerGroup; ++i) {
            const uint64_t seed = GetParam() * schedulesPerGroup + i;
            SCOPED_TRACE("seed " + std::to_string(seed));
            EventSchedule schedule(seed);
            schedule.runWithFaults(Duration { 15'000 });
            EXPECT_TRUE(schedule.runToCompletion()) << "accepted work does not end";
            EXPECT_THAT(schedule.simulation().violations(), testing::IsEmpty());
            EXPECT_THAT(schedule.simulation().auditOutcomes(), testing::IsEmpty());
            starts += schedule.simulation().starts();
            ownershipGains += schedule.simulation().ownershipGains();
            accepted += schedule.simulation().accepted().size();
            if (HasFailure())
                return;
        }
        std::printf("schedules=%lu starts=%zu takeovers=%zu accepted=%zu\n", schedulesPerGroup, starts, ownershipGains,
            accepted);
    }

    // Guards against a simulation that cannot reveal the fault: it must detect owners that declare an attempt lost as
    // soon as they have granted a lease or taken over.
    TEST(NaiveOwnerTest, randomSchedules_lostWithoutWaiting_runTwice)
    {
        EntrySettings naive = JobSimulation::shortSettings();
        naive.driftMargin = -naive.attemptLease - naive.shardAuthority;
        size_t caught = 0;
        for (uint64_t seed = 0; seed < 20; ++seed) {
            EventSchedule schedule(seed, naive);
            schedule.runWithFaults(Duration { 15'000 });
            caught += schedule.simulation().violations().empty() ? 0 : 1;
        }
        EXPECT_GE(caught, 10);
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, ScheduleTest, testing::Range<uint64_t>(0, groups));

} // namespace
} // namespace hemlocklead
