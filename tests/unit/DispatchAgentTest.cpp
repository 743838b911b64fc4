#include "node/DispatchAgent.h"
#include "RawSockets.h"
#include "support/LoopFixture.h"
#include "support/MemoryJournal.h"

#include <memory>
#include <vector>

namespace hemlocklead {
namespace {

    /// Worker that accepts all starts and answers polls after their wait.
    class AcceptingWorker final : public dispatch::WorkerPort {
    public:
        explicit AcceptingWorker(EventLoop& loop)
            : m_timers(loop)
        {
        }

        void start(const dispatch::WorkerIncarnation&, const RunOrder& order, int64_t,
            std::function<void(dispatch::WorkerAnswer)> done) override
        {
            started.push_back(order.task);
            done({ dispatch::WorkerAnswer::Status::Done, {} });
        }

        void stop(const dispatch::WorkerIncarnation&, const RunStop&,
            std::function<void(dispatch::WorkerAnswer)> done) override
        {
            done({ dispatch::WorkerAnswer::Status::Done, {} });
        }

        void setSpeed(const dispatch::WorkerIncarnation&, const RunStop&, int64_t,
            std::function<void(dispatch::WorkerAnswer)> done) override
        {
            done({ dispatch::WorkerAnswer::Status::Done, {} });
        }

        void poll(const dispatch::WorkerIncarnation&, const dispatch::WorkerPoll& poll,
            std::function<void(dispatch::WorkerState)> done) override
        {
            m_timers.after(poll.wait, [this, done = std::move(done)] {
                done({ dispatch::WorkerState::Status::Ok, life, m_clock.now().time_since_epoch().count(), {}, {} });
            });
        }

        static constexpr int64_t life = 1'000'000;
        std::vector<std::string> started;

    private:
        BootClock m_clock;
        LoopTimers m_timers;
    };

    /// A connection of the owner to the agent.
    class OwnerConnection {
    public:
        OwnerConnection(EventLoop& loop, const Address& address, uint64_t number)
            : m_connection(loop, address)
            , m_number(number)
        {
            m_connection.setCallbacks({ [this](const Message& message) {
                                           if (const auto* report = std::get_if<HostReport>(&message))
                                               lastReport = *report;
                                       },
                [this] { isClosed = true; } });
        }

        void send(std::vector<RunOrder> starts)
        {
            HostOrders orders;
            orders.epoch = 7;
            orders.connection = m_number;
            orders.life = lastReport.life;
            orders.echoMs = lastReport.clockMs;
            orders.starts = std::move(starts);
            m_connection.send(orders);
        }

        HostReport lastReport;
        bool isClosed { false };

    private:
        FrameConnection m_connection;
        uint64_t m_number;
    };

    class DispatchAgentTest : public LoopFixture {
    protected:
        static RunOrder order(const std::string& task)
        {
            RunOrder order;
            order.sequence = 1;
            order.task = task;
            order.attempt = 1;
            return order;
        }

        Address m_address { unusedAddress() };
        AcceptingWorker m_worker { m_loop };
        MemoryJournal m_journal;
        DispatchAgent m_agent { m_loop, m_worker, m_journal,
            { .host = "host-1", .listenAddress = m_address, .advertisedAddress = m_address, .agent = {} } };
    };

    // Guards against a second run of a task: the owner has replaced a connection and placed its runs elsewhere, and the
    // agent then reads their orders, which the former connection has delivered late (review, case 2).
    TEST_F(DispatchAgentTest, orders_arriveOnReplacedConnection_nothingStartsAndItIsClosed)
    {
        ASSERT_TRUE(m_agent.start());
        m_agent.agent().handleAnnouncement(
            { AcceptingWorker::life, 1, "service", "a", "r1", {}, { 8000, 8000, 0 }, false, 0 });
        OwnerConnection former(m_loop, m_address, 1);
        former.send({});
        ASSERT_TRUE(runUntil([&] { return former.lastReport.full; }));
        OwnerConnection current(m_loop, m_address, 2);
        current.send({});
        ASSERT_TRUE(runUntil([&] { return current.lastReport.full; }));

        former.send({ order("job.0.0.0") });
        EXPECT_TRUE(runUntil([&] { return former.isClosed; }));
        EXPECT_TRUE(m_worker.started.empty());

        current.send({ order("job.0.0.1") });
        EXPECT_TRUE(runUntil([&] { return !m_worker.started.empty(); }));
        EXPECT_EQ(m_worker.started, std::vector<std::string> { "job.0.0.1" });
        EXPECT_FALSE(current.isClosed);
    }

} // namespace
} // namespace hemlocklead
