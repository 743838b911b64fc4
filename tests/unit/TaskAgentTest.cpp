#include "TaskSimulation.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class TaskAgentTest : public testing::Test {
    protected:
        static constexpr Duration attemptLease { 20'000 };

        Schedule m_schedule;
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
            run(Duration { 100 });
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

    // Guards against a task that is not run to its end, and an end that is reported once or forever.
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

} // namespace
} // namespace hemlocklead
