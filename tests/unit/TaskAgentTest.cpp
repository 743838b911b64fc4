#include "support/TaskSimulation.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class TaskAgentTest : public testing::Test {
    protected:
        static constexpr Duration attemptLease { 20'000 };

        EventSchedule m_schedule;
        std::minstd_rand m_random { 1 };
        SimulatedWorker m_worker { m_schedule, m_random, { 4000, 1024, 0 } };
        ControlState m_control;
        Counters m_counters;
        std::unique_ptr<TaskAgent> m_agent;
        uint64_t m_incarnation { 0 };
        std::vector<Message> m_sent;
        const AttemptKey m_key { "job", 0, 1 };

        void SetUp() override
        {
            restartAgent();
            run(Duration { 7000 });
        }

        void restartAgent()
        {
            ++m_incarnation;
            TaskAgent::Settings settings;
            settings.dataCentre = "muscat";
            settings.limits.incarnation = m_incarnation;
            m_agent = std::make_unique<TaskAgent>(m_schedule.clock(), settings, m_control, m_worker, m_counters,
                [this](std::optional<size_t>, const Message& message) { m_sent.push_back(message); });
        }

        void run(Duration duration)
        {
            for (Duration ran { 0 }; ran < duration; ran += TaskAgent::tickInterval) {
                m_agent->tick();
                m_schedule.run(TaskAgent::tickInterval);
            }
        }

        template <typename Type> std::vector<Type> sent() const
        {
            std::vector<Type> found;
            for (const Message& message : m_sent) {
                if (const auto* known = std::get_if<Type>(&message))
                    found.push_back(*known);
            }
            return found;
        }

        Stamp stamp() const { return { m_incarnation, m_schedule.now().time_since_epoch().count() }; }

        void reserve(const AttemptKey& key) { m_agent->entryMessage(0, Reserve { 0, key, { 3000, 512, 0 } }); }

        void start(const AttemptKey& key)
        {
            Start message;
            message.epoch = 1;
            message.key = key;
            message.spec.name = "compile";
            message.spec.resources = { 3000, 512, 0 };
            message.echo = stamp();
            message.lease = attemptLease;
            m_agent->entryMessage(0, message);
        }

        void startRunning()
        {
            reserve(m_key);
            start(m_key);
            run(Duration { 200 });
            ASSERT_EQ(m_worker.running().size(), 1U);
        }

        void renew() { m_agent->entryMessage(0, Renew { 0, 1, { m_key }, stamp(), attemptLease }); }

        Keepalive keepalive()
        {
            Keepalive message;
            message.full = true;
            m_agent->fillKeepalive(0, message);
            return message;
        }

        void expectEnd(EndReason reason)
        {
            ASSERT_FALSE(sent<AttemptEnded>().empty());
            EXPECT_EQ(sent<AttemptEnded>().back().reason, reason);
            EXPECT_TRUE(m_worker.running().empty());
        }
    };

    // Guards against a task that does not run to its end, and an end that is reported only once or still after its
    // acknowledgement.
    TEST_F(TaskAgentTest, task_reservedAndStarted_endsAndIsReportedUntilAcknowledged)
    {
        startRunning();
        EXPECT_TRUE(sent<ReserveReply>().back().granted);
        EXPECT_TRUE(sent<StartReply>().back().started);
        EXPECT_EQ(keepalive().attempts.size(), 1U);
        EXPECT_EQ(keepalive().free, (Resources { 1000, 512, 0 }));
        run(Duration { 12'000 });
        expectEnd(EndReason::Finished);
        EXPECT_EQ(sent<AttemptEnded>().back().result, "result");
        EXPECT_EQ(keepalive().free, keepalive().capacity);
        m_sent.clear();
        run(Duration { 3000 });
        EXPECT_FALSE(sent<AttemptEnded>().empty());
        m_agent->entryMessage(0, AttemptEndedAck { m_key });
        m_sent.clear();
        run(Duration { 20'000 });
        EXPECT_TRUE(sent<AttemptEnded>().empty());
        EXPECT_TRUE(keepalive().attempts.empty());
    }

    // Guards against treating an unanswered start call as a failure while the task runs.
    TEST_F(TaskAgentTest, start_answerLost_isDecidedByList)
    {
        m_worker.faults.lostAnswers = 100;
        reserve(m_key);
        start(m_key);
        run(Duration { 1200 });
        EXPECT_EQ(keepalive().free, (Resources { 1000, 512, 0 }));
        EXPECT_TRUE(sent<StartReply>().empty());
        m_worker.faults.lostAnswers = 0;
        run(Duration { 1500 });
        ASSERT_EQ(sent<StartReply>().size(), 1U);
        EXPECT_TRUE(sent<StartReply>().back().started);
    }

    // Guards against reporting an attempt as not started while its start call may still take effect.
    TEST_F(TaskAgentTest, start_requestLost_isRefusedOnlyAfterWorkerLease)
    {
        m_worker.faults.lostRequests = 100;
        reserve(m_key);
        start(m_key);
        run(Duration { 1000 });
        m_worker.faults.lostRequests = 0;
        run(Duration { 5900 });
        EXPECT_TRUE(sent<StartReply>().empty());
        EXPECT_EQ(keepalive().free, (Resources { 1000, 512, 0 }));
        run(Duration { 1000 });
        ASSERT_EQ(sent<StartReply>().size(), 1U);
        EXPECT_FALSE(sent<StartReply>().back().started);
        EXPECT_EQ(keepalive().free, keepalive().capacity);
    }

    // Guards against a start rejected by the worker that keeps its resources reserved or is not reported.
    TEST_F(TaskAgentTest, start_workerRejects_isRefusedAndFreed)
    {
        m_worker.rejectsStarts = true;
        reserve(m_key);
        start(m_key);
        run(Duration { 300 });
        EXPECT_FALSE(sent<StartReply>().back().started);
        expectEnd(EndReason::Refused);
        EXPECT_EQ(keepalive().free, keepalive().capacity);
        EXPECT_TRUE(keepalive().attempts.empty());
    }

    // Guards against an eviction that loses the progress since the last periodic checkpoint.
    TEST_F(TaskAgentTest, stop_withCheckpoint_reportsItsToken)
    {
        startRunning();
        run(Duration { 3000 });
        m_agent->entryMessage(0, Stop { 0, 1, m_key, EndReason::Evicted, true });
        run(Duration { 1000 });
        expectEnd(EndReason::Evicted);
        EXPECT_GT(std::stoll(sent<AttemptEnded>().back().token), 3000);
        EXPECT_EQ(sent<Checkpointed>().back().token, sent<AttemptEnded>().back().token);
    }

    // Guards against a Start that runs its attempt after the end of the attempt was confirmed.
    TEST_F(TaskAgentTest, stop_beforeStart_isConfirmedAndFinal)
    {
        reserve(m_key);
        m_agent->entryMessage(0, Stop { 0, 1, m_key, EndReason::Cancelled, false });
        run(Duration { 200 });
        expectEnd(EndReason::Cancelled);
        start(m_key);
        run(Duration { 1000 });
        EXPECT_EQ(m_worker.starts, 0);
    }

    // Guards against an owner that keeps renewing an attempt which its agent no longer holds.
    TEST_F(TaskAgentTest, renew_unknownAttempt_isReportedLost)
    {
        renew();
        run(Duration { 200 });
        expectEnd(EndReason::Lost);
        start(m_key);
        run(Duration { 1000 });
        EXPECT_EQ(m_worker.starts, 0);
    }

    // Guards against a task that keeps running, or loses its progress, when its owner stops renewing the lease.
    TEST_F(TaskAgentTest, lease_notRenewed_checkpointsAndStopsBeforeItsEnd)
    {
        m_worker.runTime = Duration { 100'000 };
        startRunning();
        run(attemptLease - Duration { 500 });
        expectEnd(EndReason::Lost);
        EXPECT_GT(std::stoll(sent<AttemptEnded>().back().token), 17'000);
        EXPECT_EQ(m_counters.value("attempts_lapsed"), 1);
    }

    // Guards against a task that is stopped although its owner renews the lease, and against more than 30 s between
    // checkpoints.
    TEST_F(TaskAgentTest, lease_renewed_runsOnWithCheckpoints)
    {
        m_worker.runTime = Duration { 100'000 };
        startRunning();
        for (int i = 0; i < 14; ++i) {
            run(Duration { 5000 });
            renew();
        }
        EXPECT_EQ(m_worker.running().size(), 1U);
        EXPECT_EQ(sent<Checkpointed>().size(), 2U);
    }

    // Guards against committing resources twice after a restart, and against keeping a task running that no owner
    // renews.
    TEST_F(TaskAgentTest, restart_withRunningTask_holdsItUntilItExpires)
    {
        m_worker.runTime = Duration { 100'000 };
        startRunning();
        restartAgent();
        reserve({ "other", 0, 1 });
        EXPECT_EQ(sent<ReserveReply>().back().refusal, "not-ready");
        run(Duration { 500 });
        reserve({ "other", 0, 1 });
        EXPECT_EQ(sent<ReserveReply>().back().refusal, "not-ready");
        EXPECT_EQ(keepalive().attempts.size(), 1U);
        EXPECT_EQ(keepalive().free, (Resources { 1000, 512, 0 }));
        EXPECT_FALSE(keepalive().settled);
        run(Duration { 7000 });
        expectEnd(EndReason::Lost);
        EXPECT_TRUE(keepalive().settled);
        EXPECT_EQ(keepalive().free, keepalive().capacity);
    }

    // Guards against losing a running task at a restart although its owner renews it.
    TEST_F(TaskAgentTest, restart_thenRenew_keepsTaskRunning)
    {
        m_worker.runTime = Duration { 100'000 };
        startRunning();
        restartAgent();
        run(Duration { 1000 });
        renew();
        run(Duration { 15'000 });
        EXPECT_EQ(m_worker.running().size(), 1U);
        reserve({ "other", 0, 1 });
        EXPECT_EQ(sent<ReserveReply>().back().refusal, "no-capacity");
        EXPECT_EQ(keepalive().attempts.front().spec.name, "compile");
    }

    // Guards against the answer "not started" from a process that cannot know what its predecessor started.
    TEST_F(TaskAgentTest, start_unknownBeforeSettled_isNotAnswered)
    {
        restartAgent();
        run(Duration { 500 });
        start(m_key);
        run(Duration { 500 });
        EXPECT_TRUE(sent<StartReply>().empty());
        run(Duration { 7000 });
        start(m_key);
        EXPECT_EQ(sent<StartReply>().back().refusal, "no-capacity");
    }

    // Guards against messages from an entry that has lost the shard.
    TEST_F(TaskAgentTest, stop_ofStaleEpoch_isIgnored)
    {
        startRunning();
        m_agent->entryMessage(0, Renew { 0, 2, { m_key }, stamp(), attemptLease });
        m_agent->entryMessage(1, Stop { 0, 1, m_key, EndReason::Evicted, true });
        run(Duration { 1000 });
        EXPECT_EQ(m_worker.running().size(), 1U);
    }

    // Guards against a drain that loses progress or completes before its ends are acknowledged.
    TEST_F(TaskAgentTest, drain_runningTask_isCheckpointedAndReported)
    {
        startRunning();
        m_agent->drain();
        reserve({ "other", 0, 1 });
        EXPECT_EQ(sent<ReserveReply>().back().refusal, "leaving");
        run(Duration { 1000 });
        expectEnd(EndReason::Evicted);
        EXPECT_FALSE(m_agent->isDrained());
        m_agent->entryMessage(0, AttemptEndedAck { m_key });
        EXPECT_TRUE(m_agent->isDrained());
    }

} // namespace
} // namespace hemlocklead
