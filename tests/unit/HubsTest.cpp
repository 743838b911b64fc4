#include "entry/PeerListener.h"
#include "support/LoopFixture.h"

#include <optional>

namespace hemlocklead {
namespace {

    /// Records the calls that a hub makes to its handlers.
    class RecordingHandler final : public AgentHandler {
    public:
        void agentConnected(const std::string& host) override { events.push_back("connected " + host); }
        void agentGone(const std::string& host) override { events.push_back("gone " + host); }
        void agentMessage(const std::string& host, const Message&) override { events.push_back("message " + host); }

        std::vector<std::string> events;
    };

    /// The hubs of one entry with their listener.
    struct Entry {
        Entry(EventLoop& loop, const Clock& clock, Counters& counters, EntrySettings entrySettings)
            : settings(std::move(entrySettings))
            , agents(loop, clock, counters)
            , peers(loop, clock, settings, counters)
            , listener(loop, clock, agents, peers, counters)
        {
            EXPECT_TRUE(listener.listen(settings.peerAddress));
        }

        EntrySettings settings;
        AgentHub agents;
        PeerHub peers;
        PeerListener listener;
    };

    class HubsTest : public LoopFixture {
    protected:
        HubsTest()
            : m_first(m_loop, m_clock, m_counters, makeSettings("e1", m_firstAddress, m_secondAddress))
            , m_second(m_loop, m_clock, m_counters, makeSettings("e2", m_secondAddress, m_firstAddress))
        {
            m_first.agents.addHandler(m_handler);
        }

        static EntrySettings makeSettings(const std::string& name, const Address& own, const Address& peer)
        {
            EntrySettings settings;
            settings.name = name;
            settings.peerAddress = own;
            settings.peers = { peer };
            return settings;
        }

        /// Handlers of an entry that owns shard 3 and answers forwarded requests with `status`, or never if that is 0.
        static PeerHub::Handlers makeHandlers(uint64_t epoch, int status, bool serving)
        {
            return {
                [epoch] {
                    PeerPing ping;
                    ping.owned = { { 3, epoch } };
                    return ping;
                },
                [serving] {
                    return StateReply { 0, serving, 17, "{}" };
                },
                [status](const Forward& request, const std::function<void(ForwardReply)>& reply) {
                    if (status > 0)
                        reply({ request.id, status, request.body, "done" });
                },
            };
        }

        void startBoth(int secondStatus)
        {
            m_first.peers.start(makeHandlers(1, 200, false));
            m_second.peers.start(makeHandlers(2, secondStatus, true));
            ASSERT_TRUE(runUntil([&] { return !m_first.peers.livePeers(Duration { 3000 }).empty(); }));
        }

        std::optional<ForwardReply> forward(Duration timeout)
        {
            std::optional<ForwardReply> reply;
            Forward request;
            request.id = 5;
            request.body = "body";
            m_first.peers.forward("e2", request, timeout, [&](ForwardReply answer) { reply = std::move(answer); });
            EXPECT_FALSE(reply) << "the callback was called within forward()";
            runUntil([&] { return reply.has_value(); });
            return reply;
        }

        std::unique_ptr<FrameConnection> connectAgent(uint64_t incarnation)
        {
            auto connection = std::make_unique<FrameConnection>(m_loop, m_firstAddress);
            connection->send(Hello { "h1", "muscat", "r1", incarnation, 1 });
            return connection;
        }

        RecordingHandler m_handler;
        const Address m_firstAddress { freeAddress() };
        const Address m_secondAddress { freeAddress() };
        Entry m_first;
        Entry m_second;
    };

    // Guards against an agent's connection that the listener passes to no hub, and against messages lost when it does.
    TEST_F(HubsTest, agent_helloAndKeepalive_reachHandlers)
    {
        const auto agent = connectAgent(1);
        Keepalive keepalive;
        keepalive.stamp = { 1, 50 };
        agent->send(keepalive);
        ASSERT_TRUE(runUntil([&] { return m_handler.events.size() == 2; }));
        EXPECT_EQ(m_handler.events, (std::vector<std::string> { "connected h1", "message h1" }));
        EXPECT_EQ(m_first.agents.find("h1")->stamp, (Stamp { 1, 50 }));
    }

    // Guards against granting a lease from the stamp of an older message or of another incarnation of the agent.
    TEST_F(HubsTest, stamp_olderOrOfOtherIncarnation_ignored)
    {
        const auto agent = connectAgent(1);
        for (const Stamp& stamp : { Stamp { 1, 50 }, Stamp { 1, 40 }, Stamp { 2, 90 } }) {
            Keepalive keepalive;
            keepalive.stamp = stamp;
            agent->send(keepalive);
        }
        ASSERT_TRUE(runUntil([&] { return m_handler.events.size() == 4; }));
        EXPECT_EQ(m_first.agents.find("h1")->stamp, (Stamp { 1, 50 }));
    }

    // Guards against treating a reconnected agent as gone when its old connection closes.
    TEST_F(HubsTest, agent_secondConnection_replacesFirst)
    {
        auto old = connectAgent(1);
        ASSERT_TRUE(runUntil([&] { return m_handler.events.size() == 1; }));
        const auto current = connectAgent(2);
        ASSERT_TRUE(runUntil([&] { return m_handler.events.size() == 3; }));
        old.reset();
        runFor(Duration { 50 });
        EXPECT_EQ(m_handler.events, (std::vector<std::string> { "connected h1", "gone h1", "connected h1" }));
        EXPECT_EQ(m_first.agents.find("h1")->identity.incarnation, 2U);
        EXPECT_TRUE(m_first.agents.send("h1", Message { KeepaliveReply {} }));
    }

    // Guards against a host that stays usable after its connection was closed, here because nothing was received.
    TEST_F(HubsTest, agent_goneOrSilent_notFound)
    {
        auto agent = connectAgent(1);
        ASSERT_TRUE(runUntil([&] { return m_handler.events.size() == 1; }));
        runFor(Duration { 50 });
        m_first.agents.dropSilent(Duration { 20 });
        EXPECT_EQ(m_handler.events.back(), "gone h1");
        EXPECT_EQ(m_first.agents.find("h1"), nullptr);
        EXPECT_FALSE(m_first.agents.send("h1", Message { KeepaliveReply {} }));
    }

    // Guards against keeping a connection open whose first message is unexpected.
    TEST_F(HubsTest, listener_unexpectedFirstMessage_connectionClosed)
    {
        FrameConnection client(m_loop, m_firstAddress);
        bool closed = false;
        client.setCallbacks({ {}, [&] { closed = true; } });
        client.send(Leaving { "h1" });
        EXPECT_TRUE(runUntil([&] { return closed; }));
    }

    // Guards against a shard owner that its peers can't find.
    TEST_F(HubsTest, ping_ownedShards_knownToPeer)
    {
        startBoth(200);
        ASSERT_TRUE(runUntil([&] { return m_first.peers.ownerOf(3, Duration { 3000 }) != nullptr; }));
        EXPECT_EQ(m_first.peers.ownerOf(3, Duration { 3000 })->last.entry, "e2");
        EXPECT_EQ(m_first.peers.ownerOf(4, Duration { 3000 }), nullptr);
    }

    // Guards against a forwarded request whose reply is lost or has another id than the caller's request.
    TEST_F(HubsTest, forward_connectedPeer_answered)
    {
        startBoth(202);
        // The connection to the peer may be established later than the one that the peer opened.
        std::optional<ForwardReply> reply = forward(Duration { 1000 });
        for (int tries = 0; reply && reply->status == 503 && tries < 100; ++tries) {
            runFor(Duration { 10 });
            reply = forward(Duration { 1000 });
        }
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, 202);
        EXPECT_EQ(reply->id, 5U);
        EXPECT_EQ(reply->body, "body");
    }

    // Guards against outcome `unknown` for a request that was provably not sent, which the caller could safely repeat.
    TEST_F(HubsTest, forward_noConnection_notRun)
    {
        const auto reply = forward(Duration { 1000 });
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, 503);
        EXPECT_EQ(reply->outcome, "not-run");
    }

    // Guards against outcome `not-run` for a request that the peer may have run.
    TEST_F(HubsTest, forward_noAnswer_unknown)
    {
        startBoth(0);
        std::optional<ForwardReply> reply;
        ASSERT_TRUE(runUntil([&] {
            m_first.peers.forward("e2", {}, Duration { 100 }, [&](ForwardReply answer) { reply = std::move(answer); });
            return reply && reply->status == 504;
        }));
        EXPECT_EQ(reply->outcome, "unknown");
    }

    // Guards against adopting the control state of a peer that is not serving.
    TEST_F(HubsTest, stateRequest_peerServingOrNot_onlyServingStateReturned)
    {
        startBoth(200);
        std::optional<StateReply> stateOfSecond;
        bool secondRequestDone = false;
        m_first.peers.requestState(
            Duration { 2000 }, [&](const std::optional<StateReply>& reply) { stateOfSecond = reply; });
        m_second.peers.requestState(Duration { 500 }, [&](const std::optional<StateReply>& reply) {
            secondRequestDone = true;
            EXPECT_FALSE(reply);
        });
        ASSERT_TRUE(runUntil([&] { return stateOfSecond && secondRequestDone; }));
        EXPECT_EQ(stateOfSecond->offset, 17U);
    }

} // namespace
} // namespace hemlocklead
