#include "support/TaskSimulation.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    constexpr Duration attemptLease { 20'000 };
    constexpr Duration freshness { 2000 };
    constexpr Duration margin { 1000 };
    constexpr Duration scheduleLength { 60'000 };
    constexpr Duration keepaliveInterval { 2000 };
    constexpr Resources capacity { 4000, 1024, 0 };
    constexpr Resources taskSize { 1500, 256, 0 };
    constexpr uint32_t taskCount = 6;

    /// One agent, its worker and a shard owner, connected by a link that loses, delays, repeats and reorders messages.
    /// The agent is paused and restarted at random. Stops at the first violated invariant.
    class RandomSchedule {
    public:
        explicit RandomSchedule(uint32_t seed)
            : m_random(seed)
            , m_worker(m_schedule, m_random, capacity)
        {
            m_worker.faults = { 5, 8, Duration { 200 }, Duration { 2500 } };
            m_worker.runTime = Duration { 4000 + m_random() % 20'000 };
            m_worker.onStartCall = [this](const WorkerTaskSpec& spec) { checkStart(spec.id); };
            m_worker.onLease = [this](const std::string& id, Duration lease) { checkLease(id, lease); };
            if (m_random() % 3 == 0)
                m_outAt = m_schedule.now() + upTo(scheduleLength);
        }

        /// Returns the first violated invariant, or an empty string.
        std::string run()
        {
            restart();
            tickAgent();
            ownerTick();
            while (m_violation.empty() && m_schedule.now() < m_end) {
                m_schedule.run(Duration { 50 });
                checkWorker();
            }
            return m_violation;
        }

        int starts() const { return m_worker.starts; }

    private:
        enum class Phase : uint8_t { Waiting, Reserving, Open };

        struct OwnerTask {
            AttemptKey key;
            Phase phase { Phase::Waiting };
            bool confirmed { false };
            Instant leaseSent;
        };

        struct SentStart {
            Stamp echo;
            Instant viewAt;
        };

        Duration upTo(Duration max)
        {
            return Duration { static_cast<int64_t>(m_random() % static_cast<uint64_t>(max.count() + 1)) };
        }

        bool oneIn(uint32_t n) { return m_random() % n == 0; }

        void restart()
        {
            ++m_incarnation;
            TaskAgent::Settings settings;
            settings.dataCentre = "muscat";
            settings.limits.incarnation = m_incarnation;
            m_agent = std::make_unique<TaskAgent>(m_schedule.clock(), settings, m_control, m_worker, m_counters,
                [this](std::optional<size_t>, const Message& message) { toOwner(message); });
        }

        void tickAgent()
        {
            if (m_agent)
                m_agent->tick();
            if (oneIn(250))
                m_schedule.pauseAgent(upTo(Duration { oneIn(2) ? 3000 : 30'000 }));
            if (m_agent && oneIn(200)) {
                m_agent.reset();
                m_schedule.after(upTo(Duration { 3000 }), [this] { restart(); });
            }
            if (m_agent && m_schedule.now() - m_keepaliveAt >= keepaliveInterval) {
                m_keepaliveAt = m_schedule.now();
                ReserveReply stampOnly;
                stampOnly.stamp = { m_incarnation, m_schedule.now().time_since_epoch().count() };
                toOwner(stampOnly);
            }
            m_schedule.onAgent(TaskAgent::tickInterval, [this] { tickAgent(); });
        }

        void toAgent(const Message& message)
        {
            for (int copies = oneIn(8) ? 2 : 1; copies > 0; --copies) {
                if (oneIn(10))
                    continue;
                m_schedule.onAgent(upTo(Duration { oneIn(4) ? 6000 : 300 }), [this, message] {
                    if (m_agent)
                        m_agent->entryMessage(0, message);
                });
            }
        }

        void toOwner(const Message& message)
        {
            if (!oneIn(10))
                m_schedule.after(upTo(Duration { 300 }), [this, message] { ownerReceives(message); });
        }

        void ownerReceives(const Message& message)
        {
            if (const auto* reply = std::get_if<ReserveReply>(&message)) {
                m_stamp = reply->stamp;
                OwnerTask* task = find(reply->key);
                if (task && task->phase == Phase::Reserving && reply->granted)
                    task->phase = Phase::Open;
            } else if (const auto* started = std::get_if<StartReply>(&message)) {
                m_stamp = started->stamp;
                OwnerTask* task = find(started->key);
                if (task && started->started)
                    task->confirmed = true;
                else if (task && started->refusal != errorName(ErrorKind::StaleView))
                    conclude(*task);
            } else if (const auto* ended = std::get_if<AttemptEnded>(&message)) {
                if (OwnerTask* task = find(ended->key))
                    conclude(*task);
                toAgent(AttemptEndedAck { ended->key });
            }
        }

        OwnerTask* find(const AttemptKey& key)
        {
            for (OwnerTask& task : m_tasks) {
                if (task.key == key)
                    return &task;
            }
            return nullptr;
        }

        /// Records that the owner considers the attempt ended, so that it must not run any more, and assigns the next
        /// one.
        void conclude(OwnerTask& task)
        {
            m_concluded.insert(task.key.taskId());
            ++task.key.attempt;
            task.phase = Phase::Waiting;
            task.confirmed = false;
        }

        void ownerTick()
        {
            for (uint32_t index = static_cast<uint32_t>(m_tasks.size()); index < taskCount; ++index)
                m_tasks.push_back({ { "job", index, 1 }, Phase::Waiting, false, m_schedule.now() });
            for (OwnerTask& task : m_tasks)
                advanceTask(task);
            if (m_outAt && m_schedule.now() >= *m_outAt + m_deltaDelay)
                m_control.apply({ 1, {}, { DataCentre { "muscat", 1, true } } });
            m_schedule.after(Duration { 400 }, [this] { ownerTick(); });
        }

        void advanceTask(OwnerTask& task)
        {
            if (task.phase != Phase::Open) {
                task.phase = Phase::Reserving;
                task.leaseSent = m_schedule.now();
                toAgent(Reserve { 0, task.key, taskSize });
            } else if (m_schedule.now() >= task.leaseSent + attemptLease + margin)
                conclude(task);
            else if (oneIn(60))
                toAgent(Stop { 0, 1, task.key, EndReason::Evicted, oneIn(2) });
            else if (!task.confirmed)
                sendStart(task);
            else if (oneIn(10))
                sendRenew(task);
        }

        void sendStart(OwnerTask& task)
        {
            const Duration viewAge = upTo(Duration { 1500 });
            const Instant viewAt = m_schedule.now() - viewAge;
            if (m_outAt && viewAt >= *m_outAt)
                return;
            Start start;
            start.epoch = 1;
            start.key = task.key;
            start.spec.resources = taskSize;
            start.echo = m_stamp;
            start.viewAge = viewAge;
            start.lease = attemptLease;
            m_starts[task.key.taskId()].push_back({ m_stamp, Instant { Duration { m_stamp.timeMs } } - viewAge });
            noteLease(task);
            toAgent(start);
        }

        void sendRenew(OwnerTask& task)
        {
            noteLease(task);
            toAgent(Renew { 0, 1, { task.key }, m_stamp, attemptLease });
        }

        void noteLease(OwnerTask& task)
        {
            task.leaseSent = m_schedule.now();
            if (m_stamp.incarnation == m_incarnation) {
                Instant& end = m_leaseEnds[task.key.taskId()];
                end = std::max(end, Instant { Duration { m_stamp.timeMs } } + attemptLease);
            }
        }

        void checkStart(const std::string& id)
        {
            const Instant now = m_schedule.now();
            const std::vector<SentStart>& starts = m_starts[id];
            const bool fresh = std::ranges::any_of(starts, [&](const SentStart& start) {
                return start.echo.incarnation == m_incarnation && now - start.viewAt <= freshness;
            });
            if (!fresh)
                recordViolation(id + " started with a stale view or a stamp of another incarnation");
            if (m_control.isOut("muscat") || (m_outAt && now > *m_outAt + freshness))
                recordViolation(id + " started in a data centre that is out");
            if (m_concluded.contains(id))
                recordViolation(id + " started after its end");
        }

        void checkLease(const std::string& id, Duration lease)
        {
            if (m_schedule.now() + lease > m_leaseEnds[id] - margin)
                recordViolation(id + " has a worker lease past its attempt lease");
        }

        void checkWorker()
        {
            for (const std::string& id : m_worker.running()) {
                if (m_concluded.contains(id))
                    recordViolation(id + " runs after its end");
            }
            if (m_worker.overcommits > 0)
                recordViolation("the worker is over its capacity");
        }

        void recordViolation(const std::string& invariant)
        {
            if (m_violation.empty())
                m_violation = invariant;
        }

        EventSchedule m_schedule;
        std::minstd_rand m_random;
        SimulatedWorker m_worker;
        ControlState m_control;
        Counters m_counters;
        std::unique_ptr<TaskAgent> m_agent;
        uint64_t m_incarnation { 0 };
        const Instant m_end { m_schedule.now() + scheduleLength };
        Instant m_keepaliveAt;
        std::optional<Instant> m_outAt; ///< The data centre is out from this time on.
        Duration m_deltaDelay { 2500 }; ///< Time until the agent's own view shows this.
        Stamp m_stamp; ///< The agent's last stamp that the owner received.
        std::vector<OwnerTask> m_tasks;
        std::set<std::string> m_concluded; ///< Attempts that the owner considers ended, by task id.
        std::map<std::string, std::vector<SentStart>> m_starts;
        std::map<std::string, Instant> m_leaseEnds;
        std::string m_violation;
    };

    class TaskScheduleTest : public testing::TestWithParam<uint32_t> { };

    // Guards against violated invariants of the agent under any order of losses, delays, repetitions, pauses and
    // restarts: no overcommitment, starts only on fresh views, worker leases within attempt leases, and no attempt that
    // runs after the owner has concluded its end.
    TEST_P(TaskScheduleTest, randomSchedule_anySeed_keepsEveryRule)
    {
        constexpr uint32_t seedsPerTest = 500;
        int starts = 0;
        for (uint32_t seed = GetParam() * seedsPerTest + 1; seed <= (GetParam() + 1) * seedsPerTest; ++seed) {
            RandomSchedule schedule(seed);
            EXPECT_EQ(schedule.run(), "") << "seed " << seed;
            starts += schedule.starts();
        }
        // Makes sure that the simulation starts enough tasks for the checks to be meaningful.
        EXPECT_GT(starts, static_cast<int>(seedsPerTest) * 4);
        RecordProperty("starts", starts);
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, TaskScheduleTest, testing::Range(0U, 4U));

} // namespace
} // namespace hemlocklead
