#include "node/HostLinks.h"
#include "RawSockets.h"
#include "node/LoopTimers.h"
#include "protocol/Codec.h"
#include "support/FixedWallClock.h"
#include "support/LoopFixture.h"
#include "support/MemoryJournal.h"
#include "transport/FrameListener.h"

namespace hemlocklead {
namespace {

    /// Agent stand-in that answers the first orders of each connection with one message.
    class FakeAgent {
    public:
        FakeAgent(EventLoop& loop, const Address& address)
            : m_listener(loop, [this](std::unique_ptr<FrameConnection> accepted) {
                ++connections;
                m_connection = std::move(accepted);
                m_connection->setCallbacks({ [this](const Message& message) {
                                                if (const auto* orders = std::get_if<HostOrders>(&message))
                                                    numbers.push_back(orders->connection);
                                                m_connection->send(answer);
                                            },
                    {} });
            })
        {
            EXPECT_TRUE(m_listener.listen(address));
        }

        Message answer;
        int connections { 0 };
        std::vector<uint64_t> numbers; ///< Of the connections, by their first orders.

    private:
        FrameListener m_listener;
        std::unique_ptr<FrameConnection> m_connection;
    };

    class HostLinksTest : public LoopFixture {
    protected:
        HostLinksTest()
        {
            m_links.setDispatcher(m_dispatcher);
            m_jobs.apply({ dispatch::hostKey("side-muscat-a-with-a-long-name"),
                dispatch::hostValue({ m_address.text(), 1 }), 0 });
        }

        Address m_address { unusedAddress() };
        FakeAgent m_agent { m_loop, m_address };
        LoopTimers m_timers { m_loop };
        MemoryJournal m_journal;
        FixedWallClock m_wallClock;
        dispatch::JobRegistry m_jobs { m_clock, m_counters };
        dispatch::JournalFollower m_follower { m_journal, m_timers, m_clock, m_jobs, {} };
        dispatch::JournalWriter m_writer { m_journal, m_timers, m_clock, {} };
        HostLinks m_links { m_loop, m_clock, m_jobs, { .reconnectDelay = Duration { 20 } } };
        dispatch::Dispatcher m_dispatcher { m_jobs, m_follower, m_writer, m_links, m_clock, m_wallClock, m_counters,
            {} };
    };

    // Guards against a malformed report that ends the owner's process: the connection whose callback reads the report
    // is closed by it, and the callback owns the name of the host. The owner connects anew.
    TEST_F(HostLinksTest, report_malformed_connectionIsReplaced)
    {
        m_agent.answer = PackedHostReport { "not a packed report" };
        EXPECT_TRUE(runUntil([&] {
            m_links.maintain(1);
            return m_agent.connections >= 3;
        }));
    }

    // Guards against runs that are taken to be under way for as long as the connection lasts although their order could
    // not be sent (review, case 3).
    TEST_F(HostLinksTest, orders_tooLargeForAFrame_connectionIsReplaced)
    {
        m_agent.answer = HostReport {};
        EXPECT_TRUE(runUntil([&] {
            m_links.maintain(1);
            return m_agent.connections == 1;
        }));
        HostOrders orders;
        orders.starts.emplace_back().payload = std::string(maxFrameBytes, 'x');
        m_links.send("side-muscat-a-with-a-long-name", std::move(orders));
        EXPECT_TRUE(runUntil([&] {
            m_links.maintain(1);
            return m_agent.connections == 2;
        }));
    }

    // Guards against an agent that cannot tell the owner's current connection from one that the owner has replaced.
    TEST_F(HostLinksTest, connections_toOneHost_areNumberedFromOne)
    {
        m_agent.answer = PackedHostReport { "not a packed report" };
        EXPECT_TRUE(runUntil([&] {
            m_links.maintain(1);
            return m_agent.numbers.size() >= 3;
        }));
        m_agent.numbers.resize(3);
        EXPECT_EQ(m_agent.numbers, (std::vector<uint64_t> { 1, 2, 3 }));
    }

} // namespace
} // namespace hemlocklead
