#include "entry/ControlHttp.h"
#include "entry/PeerListener.h"
#include "support/LoopFixture.h"
#include "support/MemoryLog.h"

#include <optional>

namespace hemlocklead {
namespace {

    /// Configuration service of one entry, with a log in memory.
    struct Entry {
        Entry(EventLoop& loop, const Clock& clock, Counters& counters, EntrySettings entrySettings, LogStore& store)
            : settings(std::move(entrySettings))
            , log(store)
            , agents(loop, clock, counters)
            , peers(loop, clock, settings, counters)
            , control(loop, clock, settings, agents, peers, log, counters)
            , http(control, agents, settings)
            , listener(loop, clock, agents, peers, counters)
            , logTimer(loop)
        {
            EXPECT_TRUE(listener.listen(settings.peerAddress));
            agents.addHandler(control);
        }

        void start()
        {
            logTimer.startRepeating(Duration { 5 }, [this] { log.run(fault); });
            control.start([] { return true; });
            peers.start({ [] { return PeerPing {}; }, [this] { return control.stateReply(); }, {} });
        }

        EntrySettings settings;
        MemoryLog log;
        MemoryLog::Fault fault { MemoryLog::Fault::None };
        AgentHub agents;
        PeerHub peers;
        ControlService control;
        ControlHttp http;
        PeerListener listener;
        Timer logTimer;
    };

    class ControlServiceTest : public LoopFixture {
    protected:
        ControlServiceTest()
            : m_entry(m_loop, m_clock, m_counters, makeSettings("e1", m_address, m_peerAddress), m_store)
            , m_peer(m_loop, m_clock, m_counters, makeSettings("e2", m_peerAddress, m_address), m_store)
        {
        }

        static EntrySettings makeSettings(const std::string& name, const Address& own, const Address& peer)
        {
            EntrySettings settings;
            settings.name = name;
            settings.dataCentre = "muscat";
            settings.peerAddress = own;
            settings.peers = { peer };
            settings.controlPoll = Duration { 20 };
            settings.snapshotInterval = Duration { 100 };
            return settings;
        }

        void startServing(Entry& entry)
        {
            entry.start();
            ASSERT_TRUE(runUntil([&] { return entry.control.isServing(); }));
        }

        HttpResponse send(Entry& entry, const std::string& method, const std::string& path, const Json& body = nullptr)
        {
            std::optional<HttpResponse> response;
            const std::string text = body.is_null() ? std::string() : jsonText(body);
            entry.http.handle({ method, path, {}, text }, [&](HttpResponse reply) { response = std::move(reply); });
            EXPECT_TRUE(runUntil([&] { return response.has_value(); }, Duration { 8000 }));
            return response.value_or(HttpResponse {});
        }

        HttpResponse setLookup(Entry& entry, const std::string& owner, int64_t baseVersion, int64_t timeoutMs)
        {
            return send(entry, "PUT", "/catalogue/lookup",
                { { "base_version", baseVersion },
                    { "entry",
                        { { "owner", owner }, { "team", "registers" }, { "workClass", "answer-now" },
                            { "limits", { { "timeoutMs", timeoutMs } } } } } });
        }

        HttpResponse setDataCentre(Entry& entry, const std::string& state)
        {
            return send(entry, "PUT", "/datacentres/sohar", { { "state", state }, { "by", "operations" } });
        }

        static Json bodyOf(const HttpResponse& response) { return Json::parse(response.body, nullptr, false); }

        const Address m_address { freeAddress() };
        const Address m_peerAddress { freeAddress() };
        LogStore m_store;
        Entry m_entry;
        Entry m_peer;
    };

    // Guards against a reply to an edit before it is in this entry's own state.
    TEST_F(ControlServiceTest, edit_applied_foldedBeforeAnswer)
    {
        startServing(m_entry);
        const HttpResponse response = setLookup(m_entry, "product", 0, 800);
        EXPECT_EQ(response.status, 200);
        ASSERT_NE(m_entry.control.state().item("lookup"), nullptr);
        EXPECT_EQ(bodyOf(response)["version"], 1);
        EXPECT_EQ(bodyOf(send(m_entry, "GET", "/catalogue/lookup"))["in_force"]["limits"]["timeoutMs"], 800);
    }

    // Guards against an edit that silently overwrites another operator's.
    TEST_F(ControlServiceTest, edit_olderVersion_conflictTellsWinner)
    {
        startServing(m_entry);
        startServing(m_peer);
        EXPECT_EQ(setLookup(m_entry, "product", 0, 800).status, 200);
        // The peer may not have polled the first edit yet; then the conflict is found when the record is folded.
        const HttpResponse conflict = setLookup(m_peer, "operations", 0, 500);
        EXPECT_EQ(conflict.status, 409);
        EXPECT_EQ(conflict.header("Hemlocklead-Outcome"), "not-run");
        EXPECT_EQ(bodyOf(conflict)["current"]["version"], 1);
        EXPECT_EQ(bodyOf(conflict)["won"]["by"], "product");
    }

    // Guards against accepting a base version that is newer than the current one.
    TEST_F(ControlServiceTest, edit_futureVersion_conflict)
    {
        startServing(m_entry);
        EXPECT_EQ(setLookup(m_entry, "product", 7, 800).status, 409);
        EXPECT_EQ(m_entry.control.state().item("lookup"), nullptr);
    }

    // Guards against an explanation that presents an accepted entry of a non-governing owner as the one in force.
    TEST_F(ControlServiceTest, explain_otherOwner_fieldsNotInForce)
    {
        startServing(m_entry);
        setLookup(m_entry, "product", 0, 800);
        setLookup(m_entry, "operations", 1, 500);
        const Json explained = bodyOf(send(m_entry, "GET", "/catalogue/lookup"));
        EXPECT_EQ(explained["governing_owner"], "product");
        EXPECT_EQ(explained["why"], "product was the first owner that published the name");
        ASSERT_EQ(explained["not_in_force"].size(), 1U);
        EXPECT_EQ(explained["not_in_force"][0]["owner"], "operations");
        const Json expected
            = Json::array({ { { "field", "limits.timeoutMs" }, { "in_force", 800 }, { "entry", 500 } } });
        EXPECT_EQ(explained["not_in_force"][0]["differs"], expected);
    }

    // Guards against an owner who moves the governing role without holding it.
    TEST_F(ControlServiceTest, govern_onlyByGoverningOwner)
    {
        startServing(m_entry);
        setLookup(m_entry, "product", 0, 800);
        setLookup(m_entry, "operations", 1, 500);
        const Json unauthorizedMove { { "base_version", 2 }, { "by", "operations" }, { "owner", "operations" } };
        EXPECT_EQ(send(m_entry, "POST", "/catalogue/lookup/govern", unauthorizedMove).status, 403);
        const Json authorizedMove { { "base_version", 2 }, { "by", "product" }, { "owner", "operations" } };
        const HttpResponse moved = send(m_entry, "POST", "/catalogue/lookup/govern", authorizedMove);
        EXPECT_EQ(moved.status, 200);
        EXPECT_EQ(bodyOf(moved)["in_force"]["limits"]["timeoutMs"], 500);
        EXPECT_EQ(bodyOf(moved)["why"], "product moved the governing role to operations in version 3");
        EXPECT_EQ(bodyOf(send(m_entry, "GET", "/catalogue/lookup/history"))["edits"].size(), 3U);
    }

    // Guards against malformed edits that reach the log, and error responses that do not name the field.
    TEST_F(ControlServiceTest, edit_malformed_refusedWithField)
    {
        startServing(m_entry);
        const Json noVersion { { "entry", { { "owner", "product" }, { "team", "registers" } } } };
        const HttpResponse refused = send(m_entry, "PUT", "/catalogue/lookup", noVersion);
        EXPECT_EQ(refused.status, 400);
        EXPECT_NE(refused.body.find("base_version"), std::string::npos);
        const Json badState { { "state", "off" }, { "by", "operations" } };
        EXPECT_EQ(send(m_entry, "PUT", "/datacentres/sohar", badState).status, 400);
        EXPECT_EQ(send(m_entry, "DELETE", "/catalogue/lookup").status, 404);
        EXPECT_TRUE(m_store.stats().empty());
    }

    // Guards against the outcome "unknown" for an edit that the log refused: an operator may repeat it at once.
    TEST_F(ControlServiceTest, edit_logRefuses_notRun)
    {
        startServing(m_entry);
        m_entry.fault = MemoryLog::Fault::Refused;
        const HttpResponse response = setLookup(m_entry, "product", 0, 800);
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(response.header("Hemlocklead-Outcome"), "not-run");
    }

    // Guards against the outcome "not-run" for an edit that the log may have stored.
    TEST_F(ControlServiceTest, edit_noAnswer_outcomeUnknown)
    {
        startServing(m_entry);
        m_entry.fault = MemoryLog::Fault::LoseAnswer;
        const HttpResponse response = setLookup(m_entry, "product", 0, 800);
        EXPECT_EQ(response.status, 504);
        EXPECT_EQ(response.header("Hemlocklead-Outcome"), "unknown");
    }

    // Guards against an entry that serves an empty configuration because the log is down.
    TEST_F(ControlServiceTest, start_logDownWithoutPeers_doesNotServe)
    {
        m_entry.fault = MemoryLog::Fault::Lost;
        m_entry.start();
        runFor(Duration { 1500 });
        EXPECT_FALSE(m_entry.control.isServing());
        EXPECT_EQ(send(m_entry, "GET", "/catalogue").status, 503);
    }

    // Guards against an entry that cannot start serving while the log is down, although a peer serves.
    TEST_F(ControlServiceTest, start_logDown_adoptsPeerState)
    {
        startServing(m_entry);
        setLookup(m_entry, "product", 0, 800);
        m_peer.fault = MemoryLog::Fault::Lost;
        startServing(m_peer);
        ASSERT_NE(m_peer.control.state().item("lookup"), nullptr);
        EXPECT_GT(m_peer.control.age(), std::chrono::hours { 24 });
        const uint64_t adopted = m_peer.control.state().nextOffset();
        // Once the log is available again, polling continues from the adopted offset.
        setLookup(m_entry, "product", 1, 700);
        m_peer.fault = MemoryLog::Fault::None;
        ASSERT_TRUE(runUntil([&] { return m_peer.control.state().nextOffset() > adopted; }));
        EXPECT_EQ(m_peer.control.state().item("lookup")->version, 2U);
        EXPECT_TRUE(runUntil([&] { return m_peer.control.age() < Duration { 1000 }; }));
    }

    // Guards against an urgent edit that is refused because another operator made an edit at the same time.
    TEST_F(ControlServiceTest, dataCentre_withoutBaseVersion_appliesToCurrent)
    {
        startServing(m_entry);
        startServing(m_peer);
        EXPECT_EQ(setDataCentre(m_entry, "out").status, 200);
        const HttpResponse second = setDataCentre(m_peer, "out");
        EXPECT_EQ(second.status, 200);
        EXPECT_EQ(bodyOf(second)["version"], 2);
        EXPECT_TRUE(m_peer.control.state().isOut("sohar"));
    }

    // Guards against reporting an edit as in force before the agent has reported it, and against a change that an
    // agent whose home entry this is receives only with the reply to its next keepalive.
    TEST_F(ControlServiceTest, rollout_agentReports_inForceEverywhere)
    {
        startServing(m_entry);
        FrameConnection agent(m_loop, m_address);
        std::optional<KeepaliveReply> last;
        agent.setCallbacks({ [&](const Message& message) {
                                if (const auto* reply = std::get_if<KeepaliveReply>(&message))
                                    last = *reply;
                            },
            {} });
        agent.send(Hello { "h1", "sohar", "r1", 1, 1 });
        Keepalive keepalive;
        keepalive.stamp = { 1, 10 };
        keepalive.home = true;
        agent.send(keepalive);
        ASSERT_TRUE(runUntil([&] { return last.has_value(); }));
        EXPECT_EQ(last->echo, keepalive.stamp);
        EXPECT_LT(last->viewAge, Duration { 1000 });
        setDataCentre(m_entry, "out");
        ASSERT_TRUE(runUntil([&] { return !last->delta.dataCentres.empty(); })) << "the delta was not pushed";
        Json shown = bodyOf(send(m_entry, "GET", "/datacentres/sohar"));
        EXPECT_EQ(shown["agents_here"], 1);
        EXPECT_EQ(shown["rollout"]["agents_in_force"], 0);
        EXPECT_FALSE(shown["rollout"]["everywhere"]);
        keepalive.controlOffset = last->delta.through;
        agent.send(keepalive);
        ASSERT_TRUE(runUntil([&] { return m_entry.agents.find("h1")->last.controlOffset > 0; }));
        shown = bodyOf(send(m_entry, "GET", "/datacentres/sohar"));
        EXPECT_TRUE(shown["rollout"]["everywhere"]);
        EXPECT_GE(shown["rollout"]["took_ms"], 0);
    }

    // Guards against a stream that is trimmed before a snapshot holds its records.
    TEST_F(ControlServiceTest, snapshot_afterChange_written)
    {
        startServing(m_entry);
        setLookup(m_entry, "product", 0, 800);
        ASSERT_TRUE(runUntil([&] { return m_counters.value("control_snapshots_written") > 0; }));
        m_store.trim("control", 1);
        startServing(m_peer);
        EXPECT_NE(m_peer.control.state().item("lookup"), nullptr);
    }

} // namespace
} // namespace hemlocklead
