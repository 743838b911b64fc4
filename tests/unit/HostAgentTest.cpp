#include "dispatch/HostAgent.h"
#include "support/ManualDelays.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hemlocklead::dispatch {
namespace {

    /// Worker whose calls wait until the test answers them.
    class HeldWorker final : public WorkerPort {
    public:
        struct Start {
            RunOrder order;
            int64_t leaseUntilMs;
            uint64_t fence;
            std::function<void(WorkerAnswer)> done;
        };

        struct Stop {
            RunStop stop;
            std::function<void(WorkerAnswer)> done;
        };

        struct Look {
            WorkerLook look;
            uint64_t fence;
            std::function<void(WorkerState)> done;
        };

        void start(const RunOrder& order, int64_t leaseUntilMs, uint64_t fence,
            std::function<void(WorkerAnswer)> done) override
        {
            starts.push_back({ order, leaseUntilMs, fence, std::move(done) });
        }

        void stop(const RunStop& stop, uint64_t, std::function<void(WorkerAnswer)> done) override
        {
            stops.push_back({ stop, std::move(done) });
        }

        void pace(const RunStop& run, int64_t percent, uint64_t, std::function<void(WorkerAnswer)> done) override
        {
            paces.emplace_back(run.task, percent);
            done({ WorkerAnswer::Status::Done, {} });
        }

        void look(const WorkerLook& look, uint64_t fence, std::function<void(WorkerState)> done) override
        {
            looks.push_back({ look, fence, std::move(done) });
        }

        std::vector<Start> starts;
        std::vector<Stop> stops;
        std::vector<std::pair<std::string, int64_t>> paces;
        std::vector<Look> looks;
    };

    class KeptReports final : public ReportSender {
    public:
        void send(const HostReport& report) override { reports.push_back(report); }

        std::vector<HostReport> reports;
    };

    class HostAgentTest : public testing::Test {
    protected:
        HostAgentTest()
        {
            m_agent.start();
            answerLook({});
            m_delays.run(Duration { 1 });
            answerLook({});
            m_agent.announced({ life, 1, "service", "a", "r1", { "kind", "r1" }, { 8000, 8000, 0 }, false, 0 });
            connect(7);
        }

        static constexpr int64_t life = 1'000'000;

        void connect(uint64_t epoch)
        {
            m_agent.ownerConnected();
            HostOrders orders;
            orders.epoch = epoch;
            orders.life = life;
            orders.echoMs = workerClock();
            m_agent.ordered(orders);
        }

        int64_t workerClock() const { return m_clock.now().time_since_epoch().count(); }

        /// Answers the newest look.
        void answerLook(std::vector<WorkerRun> running, std::vector<RunEnd> ends = {})
        {
            ASSERT_FALSE(m_worker.looks.empty());
            const auto look = m_worker.looks.back();
            m_worker.looks.clear();
            look.done({ WorkerState::Status::Ok, life, workerClock(), std::move(running), std::move(ends) });
        }

        void order(uint64_t epoch, uint64_t sequence, const std::string& task, uint32_t attempt)
        {
            HostOrders orders;
            orders.epoch = epoch;
            orders.life = life;
            orders.echoMs = workerClock();
            RunOrder start;
            start.sequence = sequence;
            start.task = task;
            start.attempt = attempt;
            orders.starts.push_back(start);
            m_agent.ordered(orders);
        }

        static bool lists(const std::vector<RunReport>& rows, const std::string& task)
        {
            return std::ranges::any_of(rows, [&](const RunReport& row) { return row.task == task; });
        }

        const HostReport& lastReport() const { return m_sender.reports.back(); }

        ManualClock m_clock;
        ManualDelays m_delays { m_clock };
        HeldWorker m_worker;
        KeptReports m_sender;
        Counters m_counters;
        HostAgent m_agent { m_worker, m_sender, m_delays, m_clock, m_counters, { .host = "host-1" } };
    };

    // Guards against a restarted agent that reports an empty host: it knows the worker's life from its first look, and
    // has not read yet what runs there under its own fence (soak seed 103, two runs of three tasks).
    TEST_F(HostAgentTest, ownerConnected_runsNotReadYet_reportIsNotFull)
    {
        HeldWorker worker;
        KeptReports sender;
        HostAgent agent(worker, sender, m_delays, m_clock, m_counters, { .host = "host-1" });
        agent.start();
        worker.looks.back().done({ WorkerState::Status::Ok, life, workerClock(), {}, {} });
        agent.ownerConnected();
        ASSERT_FALSE(sender.reports.empty());
        EXPECT_FALSE(sender.reports.back().full);
        m_delays.run(Duration { 1 });
        worker.looks.back().done(
            { WorkerState::Status::Ok, life, workerClock(), { { { "job.0.0.0", 1, "", 50 }, 0 } }, {} });
        EXPECT_TRUE(sender.reports.back().full);
        EXPECT_TRUE(lists(sender.reports.back().running, "job.0.0.0"));
    }

    // Guards against a start that was ordered for one life of the worker and is carried out by the next one, of which
    // the owner then thinks that it runs nothing (soak seed 29, second finding: two runs of three tasks).
    TEST_F(HostAgentTest, start_workerHasAnnouncedANewLife_isRefused)
    {
        m_agent.announced({ life + 1, 1, "service", "a", "r1", { "kind", "r1" }, { 8000, 8000, 0 }, false, 0 });
        order(7, 1, "job.0.0.0", 1);
        EXPECT_TRUE(m_worker.starts.empty());
        ASSERT_FALSE(lastReport().refusals.empty());
        EXPECT_EQ(lastReport().refusals[0].reason, "worker_restarted");
    }

    // Guards against a new owner that takes a run for lost which began after the agent's last look, and starts the task
    // a second time beside it.
    TEST_F(HostAgentTest, newOwner_runStartedSinceLastLook_isReportedAsPending)
    {
        m_delays.run(Duration { 100 });
        order(7, 1, "job.0.0.4", 1);
        ASSERT_EQ(m_worker.starts.size(), 1u);
        m_worker.starts[0].done({ WorkerAnswer::Status::Done, {} });

        connect(9);

        ASSERT_TRUE(lastReport().full);
        EXPECT_TRUE(lists(lastReport().pending, "job.0.0.4"));
    }

    // Guards against the same after a look that was sent before the start was answered: its list may be older.
    TEST_F(HostAgentTest, lookSentBeforeStart_answeredAfterIt_keepsRunPending)
    {
        m_delays.run(Duration { 100 });
        ASSERT_EQ(m_worker.looks.size(), 1u);
        order(7, 1, "job.0.0.4", 1);
        m_worker.starts[0].done({ WorkerAnswer::Status::Done, {} });
        answerLook({});
        EXPECT_EQ(lastReport().settledOrders, 0u);
        EXPECT_TRUE(lists(lastReport().pending, "job.0.0.4"));

        m_delays.run(Duration { 100 });
        answerLook({ { { "job.0.0.4", 1, "", 10 }, 0 } });

        EXPECT_EQ(lastReport().settledOrders, 1u);
        EXPECT_TRUE(lists(lastReport().running, "job.0.0.4"));
        EXPECT_FALSE(lists(lastReport().pending, "job.0.0.4"));
    }

    // Guards against a start without an answer that the worker carries out late, while the task runs elsewhere.
    TEST_F(HostAgentTest, start_unanswered_isStoppedAndStaysPendingUntilTheStopIsSeen)
    {
        m_delays.run(Duration { 100 });
        order(7, 1, "job.0.0.4", 1);
        m_worker.starts[0].done({ WorkerAnswer::Status::None, {} });
        ASSERT_EQ(m_worker.stops.size(), 1u);
        answerLook({});
        EXPECT_TRUE(lists(lastReport().pending, "job.0.0.4"));
        m_worker.stops[0].done({ WorkerAnswer::Status::None, {} });
        m_delays.run(Duration { 500 });
        ASSERT_EQ(m_worker.stops.size(), 2u);
        m_worker.stops[1].done({ WorkerAnswer::Status::Done, {} });
        answerLook({});
        EXPECT_TRUE(lists(lastReport().pending, "job.0.0.4"));

        m_delays.run(Duration { 100 });
        answerLook({});

        EXPECT_FALSE(lists(lastReport().pending, "job.0.0.4"));
        EXPECT_EQ(lastReport().settledOrders, 1u);
    }

    // Guards against HARM: a serving task that was restarted on its host lost its description when the end of its
    // former run was listed again, so nothing was held for it.
    TEST_F(HostAgentTest, servingTask_restartedOnSameHost_isStillProtected)
    {
        m_delays.run(Duration { 100 });
        HostOrders orders;
        orders.epoch = 7;
        orders.life = life;
        orders.echoMs = workerClock();
        RunOrder serving;
        serving.sequence = 1;
        serving.task = "watch.0.0.0";
        serving.attempt = 2;
        serving.image = "watch-image";
        serving.tailTargetMs = 100;
        RunOrder filling;
        filling.sequence = 2;
        filling.task = "batch.0.0.0";
        filling.attempt = 1;
        filling.image = "batch-image";
        filling.fills = true;
        filling.cpuMilli = 8000;
        orders.starts = { serving, filling };
        m_agent.ordered(orders);
        for (auto& start : m_worker.starts)
            start.done({ WorkerAnswer::Status::Done, {} });
        for (int i = 0; i < 30; ++i) {
            if (!m_worker.looks.empty()) {
                answerLook({ { { "watch.0.0.0", 2, "", 100 }, 300 }, { { "batch.0.0.0", 1, "", 20 }, 8000 } },
                    { { 1, "watch.0.0.0", 1, "failed", "" } });
            }
            m_delays.run(Duration { 200 });
        }
        ASSERT_FALSE(m_worker.paces.empty());
        EXPECT_EQ(m_worker.paces[0], std::pair(std::string("batch.0.0.0"), int64_t { 0 }));
    }

    // Guards against a deposed owner that still reaches the agent.
    TEST_F(HostAgentTest, orders_ofLowerEpoch_areRefused)
    {
        connect(9);
        const size_t before = m_worker.starts.size();
        order(7, 1, "job.0.0.4", 1);
        EXPECT_EQ(m_worker.starts.size(), before);
        EXPECT_EQ(m_agent.epochSeen(), 9u);
    }

    // Guards against tasks that begin on a worker that is about to leave.
    TEST_F(HostAgentTest, start_onDrainingWorker_isRefused)
    {
        m_agent.announced({ life, 2, "service", "a", "r1", { "kind", "r1" }, { 8000, 8000, 0 }, true, 4000 });
        order(7, 1, "job.0.0.4", 1);
        EXPECT_TRUE(m_worker.starts.empty());
        ASSERT_EQ(lastReport().refusals.size(), 1u);
        EXPECT_EQ(lastReport().refusals[0].reason, "draining");
    }

    // Guards against a delayed announcement that takes a draining worker or its later life back.
    TEST_F(HostAgentTest, announcement_outOfOrder_isIgnored)
    {
        m_agent.announced({ life, 5, "service", "a", "r1", {}, { 8000, 8000, 0 }, true, 4000 });
        m_agent.announced({ life, 4, "service", "a", "r1", {}, { 8000, 8000, 0 }, false, 0 });
        m_agent.announced({ life - 1, 9, "service", "a", "r1", {}, { 8000, 8000, 0 }, false, 0 });
        EXPECT_TRUE(m_agent.isDraining());
    }

    // Guards against a lease that outlives the owner's knowledge of it: it counts from the echoed clock.
    TEST_F(HostAgentTest, lease_isRenewedFromTheEchoedClock)
    {
        const int64_t echoed = workerClock();
        HostOrders orders;
        orders.epoch = 7;
        orders.life = life;
        orders.echoMs = echoed;
        m_delays.run(Duration { 300 });
        m_agent.ordered(orders);
        answerLook({});
        m_delays.run(Duration { 60 });
        ASSERT_FALSE(m_worker.looks.empty());
        ASSERT_TRUE(m_worker.looks.back().look.leaseUntilMs.has_value());
        EXPECT_EQ(*m_worker.looks.back().look.leaseUntilMs, echoed + 5000);
    }

    // Guards against ends of a new life that are forgotten because the number of the former life's last end is sent.
    TEST_F(HostAgentTest, newLife_ofWorker_forgetsAcknowledgedEnds)
    {
        m_delays.run(Duration { 100 });
        answerLook({}, { { 5, "job.0.0.1", 1, "done", "" } });
        HostOrders orders;
        orders.epoch = 7;
        orders.life = life;
        orders.acknowledgedEnds = 5;
        m_agent.ordered(orders);
        m_delays.run(Duration { 10 });
        ASSERT_EQ(m_worker.looks.back().look.acknowledgedEnds, 5u);
        m_worker.looks.back().done({ WorkerState::Status::OtherLife, 0, 0, {}, {} });
        m_delays.run(Duration { 60 });
        EXPECT_EQ(m_worker.looks.back().look.acknowledgedEnds, 0u);
    }

    // Guards against runs of a worker that went silent being kept placed for ever: every lease on it has ended.
    TEST_F(HostAgentTest, worker_silentBeyondLease_isReportedLapsed)
    {
        m_delays.run(Duration { 100 });
        answerLook({ { { "job.0.0.1", 1, "", 10 }, 0 } });
        for (int i = 0; i < 40; ++i) {
            m_delays.run(Duration { 260 });
            if (!m_worker.looks.empty()) {
                const auto look = m_worker.looks.back();
                m_worker.looks.clear();
                look.done({});
            }
        }
        EXPECT_TRUE(lastReport().silent);
        EXPECT_TRUE(lastReport().lapsed);
    }

} // namespace
} // namespace hemlocklead::dispatch
