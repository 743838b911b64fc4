#include "agent/EntryLinks.h"
#include "RawSockets.h"
#include "transport/FrameListener.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    /// Entry stand-in that replies to keepalives and records what it receives.
    struct FakeEntry {
        FakeEntry(EventLoop& loop, const Address& listenAddress)
            : address(listenAddress)
            , listener(loop, [this](std::unique_ptr<FrameConnection> accepted) {
                connection = std::move(accepted);
                connection->setCallbacks({ [this](const Message& message) { received(message); }, {} });
            })
        {
            EXPECT_TRUE(listener.listen(address));
        }

        void received(const Message& message)
        {
            if (std::holds_alternative<Hello>(message))
                ++hellos;
            const auto* keepalive = std::get_if<Keepalive>(&message);
            if (!keepalive)
                return;
            keepalives.push_back(*keepalive);
            if (sendsReplies)
                connection->send(KeepaliveReply { keepalive->stamp, viewAge, {} });
        }

        bool isHome() const { return !keepalives.empty() && keepalives.back().home; }

        Address address;
        FrameListener listener;
        std::unique_ptr<FrameConnection> connection;
        std::vector<Keepalive> keepalives;
        int hellos { 0 };
        bool sendsReplies { true };
        Duration viewAge { 0 };
    };

    struct CountingHandler final : EntryHandler {
        void fillKeepalive(size_t, Keepalive& keepalive) override { keepalive.controlOffset = 42; }
        void entryMessage(size_t, const Message&) override { ++messages; }
        void entryGone(size_t) override { ++gone; }

        int messages { 0 };
        int gone { 0 };
    };

    class EntryLinksTest : public testing::Test {
    protected:
        EventLoop m_loop;
        SystemClock m_clock;
        Counters m_counters;
        FakeEntry m_first { m_loop, unusedAddress() };
        FakeEntry m_second { m_loop, unusedAddress() };
        AgentSettings m_settings;
        CountingHandler m_handler;
        std::unique_ptr<EntryLinks> m_links;

        void SetUp() override
        {
            m_settings.host = "host-1";
            m_settings.entries = { m_first.address, m_second.address };
            m_settings.homeKeepalive = Duration { 100 };
            m_settings.keepalive = Duration { 1000 };
            m_links = std::make_unique<EntryLinks>(m_loop, m_clock, m_settings, m_counters);
            m_links->addHandler(m_handler);
            m_links->start();
        }

        /// Runs the loop until `condition` holds, for at most 5 s. Returns whether it holds.
        bool runUntil(const std::function<bool()>& condition)
        {
            Timer poll(m_loop);
            const Instant end = m_clock.now() + Duration { 5000 };
            poll.startRepeating(Duration { 10 }, [&] {
                if (condition() || m_clock.now() >= end)
                    m_loop.stop();
            });
            m_loop.run();
            return condition();
        }

        FakeEntry& home() { return m_first.isHome() ? m_first : m_second; }
        FakeEntry& other() { return m_first.isHome() ? m_second : m_first; }

        bool hasHome() const { return m_first.isHome() != m_second.isHome(); }
    };

    // Guards against an entry that receives no Hello or no full keepalive, and against full lists in every keepalive.
    TEST_F(EntryLinksTest, connect_bothEntries_getHelloAndOneFullKeepalive)
    {
        ASSERT_TRUE(runUntil([&] { return m_first.keepalives.size() >= 3 && m_second.keepalives.size() >= 3; }));
        for (const FakeEntry* entry : { &m_first, &m_second }) {
            EXPECT_EQ(entry->hellos, 1);
            EXPECT_TRUE(entry->keepalives[0].full);
            EXPECT_FALSE(entry->keepalives[1].full);
            EXPECT_EQ(entry->keepalives[0].controlOffset, 42U);
            EXPECT_EQ(entry->keepalives[0].stamp.incarnation, m_links->incarnation());
        }
        EXPECT_GT(home().keepalives.size(), other().keepalives.size());
        EXPECT_GT(m_handler.messages, 0);
    }

    // Guards against an outdated configuration when the home entry cannot read the log, and against a new home entry
    // that counts as unresponsive because its keepalives were sent at the longer interval before.
    TEST_F(EntryLinksTest, home_withOldView_isReplaced)
    {
        ASSERT_TRUE(runUntil([&] { return hasHome() && home().keepalives.size() >= 6; }));
        FakeEntry& stale = home();
        FakeEntry& fresh = other();
        stale.viewAge = Duration { 1600 };
        EXPECT_TRUE(runUntil([&] { return fresh.isHome() && !stale.isHome(); }));
        const size_t before = fresh.keepalives.size();
        EXPECT_TRUE(runUntil([&] { return fresh.keepalives.size() >= before + 5; }));
        EXPECT_EQ(fresh.hellos, 1);
        EXPECT_EQ(m_counters.value("entry_links_silent"), 0);
    }

    // Guards against an agent that keeps an unresponsive entry, such as a paused one, as its home entry.
    TEST_F(EntryLinksTest, home_withoutReply_isReplaced)
    {
        ASSERT_TRUE(runUntil([&] { return hasHome(); }));
        FakeEntry& unresponsive = home();
        FakeEntry& responsive = other();
        unresponsive.sendsReplies = false;
        EXPECT_TRUE(runUntil([&] { return responsive.isHome(); }));
    }

    // Guards against an agent that does not reconnect after a broken connection, or then sends only changes.
    TEST_F(EntryLinksTest, connection_broken_isMadeAgainWithFullKeepalive)
    {
        ASSERT_TRUE(runUntil([&] { return m_first.keepalives.size() >= 2 && m_links->isConnected(0); }));
        m_first.keepalives.clear();
        m_first.connection.reset();
        ASSERT_TRUE(runUntil([&] { return m_first.hellos == 2 && !m_first.keepalives.empty(); }));
        EXPECT_TRUE(m_first.keepalives[0].full);
        EXPECT_EQ(m_handler.gone, 1);
    }

} // namespace
} // namespace hemlocklead
