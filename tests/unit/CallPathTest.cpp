#include "agent/CallService.h"
#include "entry/RequestService.h"
#include "transport/FrameListener.h"
#include "transport/HttpClient.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>

namespace hemlocklead {
namespace {

    class FixedControl final : public ControlView {
    public:
        FixedControl()
        {
            CatalogueEntry entry;
            entry.owner = "operations";
            entry.team = "lookups";
            entry.workClass = WorkClass::AnswerNow;
            m_state.fold(0, catalogueSetRecord("lookup", 0, entry));
            entry.workClass = WorkClass::CanWait;
            m_state.fold(1, catalogueSetRecord("compile", 0, entry));
        }

        const ControlState& state() const override { return m_state; }
        Duration age() const override { return Duration { 0 }; }
        bool isServing() const override { return true; }

    private:
        ControlState m_state;
    };

    /// Caller, entry, agent and target over loopback in one event loop.
    class CallPathTest : public testing::Test {
    protected:
        void SetUp() override
        {
            m_hub.addHandler(m_requests);
            listen(m_caller);
            listen(m_target);
            listen(m_listener);
            m_agentSettings.host = "host-1";
            m_agentSettings.dataCentre = "dc";
            m_agentSettings.entries = { m_listener.address() };
            m_links = std::make_unique<EntryLinks>(m_loop, m_clock, m_agentSettings, m_counters);
            m_calls = std::make_unique<CallService>(
                m_loop, m_clock, m_agentSettings, m_agentControl, *m_links, m_counters, nullptr);
            m_links->addHandler(*m_calls);
            m_links->start();
            announce("PUT");
            runUntil([this] { return m_requests.status()["targets"].contains("lookup"); });
        }

        template <typename Listener> static void listen(Listener& listener)
        {
            const std::string problem = orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_CHECK(listener.listen({ "127.0.0.1", 0 }));
                    return std::string();
                },
                [](const Error& error) { return error.message; });
            ASSERT_EQ(problem, "");
        }

        /// Hands the connection to the hub when its Hello arrives.
        void accept(std::unique_ptr<FrameConnection> connection)
        {
            m_accepted = std::move(connection);
            m_accepted->setCallbacks({ [this](const Message& message) {
                                          if (const auto* hello = std::get_if<Hello>(&message))
                                              m_hub.adopt(*hello, std::move(m_accepted));
                                      },
                [] {} });
        }

        void announce(const std::string& method) const
        {
            const std::string body = R"({"address": ")" + m_target.address().text() + R"(", "slots": 8})";
            m_calls->handleAnnouncement({ method, "/targets/lookup/a", {}, body });
        }

        void runUntil(const std::function<bool()>& condition)
        {
            const auto end = std::chrono::steady_clock::now() + std::chrono::seconds { 5 };
            Timer timer(m_loop);
            timer.startRepeating(Duration { 2 }, [&] {
                if (condition() || std::chrono::steady_clock::now() > end)
                    m_loop.stop();
            });
            m_loop.run();
            EXPECT_TRUE(condition()) << "not reached within 5 s";
        }

        HttpResponse call(const std::string& method, const std::string& path, std::vector<HeaderField> headers = {})
        {
            std::optional<HttpExchange> result;
            HttpClient client(m_loop, m_caller.address(), 1);
            client.send({ method, path, std::move(headers), method == "POST" ? "body" : "" }, Duration { 4000 },
                [&](HttpExchange exchange) { result = std::move(exchange); });
            runUntil([&] { return result.has_value(); });
            return result ? result->response : HttpResponse {};
        }

        EventLoop m_loop;
        SystemClock m_clock;
        Counters m_counters;
        FixedControl m_control;
        EntrySettings m_entrySettings;
        AgentSettings m_agentSettings;
        AgentControl m_agentControl;
        AgentHub m_hub { m_loop, m_clock, m_counters };
        RequestService m_requests { m_loop, m_clock, m_entrySettings, m_control, m_hub, m_counters };
        std::unique_ptr<FrameConnection> m_accepted;
        FrameListener m_listener { m_loop,
            [this](std::unique_ptr<FrameConnection> connection) { accept(std::move(connection)); } };
        std::unique_ptr<EntryLinks> m_links;
        std::unique_ptr<CallService> m_calls;
        std::vector<HttpRequest> m_receivedRequests; ///< Requests that reached the target.
        bool m_truncateResponses { false };
        HttpServer m_target { m_loop,
            [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                m_receivedRequests.push_back(request);
                HttpResponse response { 201, { { "X-Own", "1" }, { "Keep-Alive", "5" } }, "seen " + request.path };
                if (m_truncateResponses)
                    response.headers.insert(
                        response.headers.end(), { { "Content-Length", "500" }, { "Connection", "close" } });
                responder->reply(response);
            } };
        HttpServer m_caller { m_loop, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                                 m_requests.handle(std::move(request), std::move(responder));
                             } };
    };

    // Guards against parts of a request or response lost between caller and target, and against forwarded hop-by-hop
    // headers.
    TEST_F(CallPathTest, call_throughEntryAndAgent_returnsTargetResponse)
    {
        const std::string trace(32, 'a');
        const HttpResponse response = call("POST", "/call/lookup/a%20b?x=1",
            { { "X-Request-Id", "mine" }, { "traceparent", "00-" + trace + "-" + std::string(16, 'b') + "-01" },
                { "Connection", "X-Hop" }, { "X-Hop", "1" }, { "X-Kept", "2" } });
        EXPECT_EQ(response.status, 201);
        EXPECT_EQ(response.body, "seen /a%20b?x=1");
        EXPECT_EQ(response.header("Hemlocklead-Outcome"), "done");
        EXPECT_EQ(response.header("X-Request-Id"), "mine");
        EXPECT_EQ(response.header("X-Own"), "1");
        EXPECT_EQ(response.header("Keep-Alive"), "");
        EXPECT_EQ(response.header("traceparent").substr(3, 32), trace);
        ASSERT_EQ(m_receivedRequests.size(), 1);
        EXPECT_EQ(m_receivedRequests[0].body, "body");
        EXPECT_EQ(m_receivedRequests[0].header("X-Hop"), "");
        EXPECT_EQ(m_receivedRequests[0].header("X-Kept"), "2");
        EXPECT_EQ(m_receivedRequests[0].header("traceparent").substr(3, 32), trace);
    }

    // Guards against accepting requests for names without an answer-now catalogue entry, and malformed requests.
    TEST_F(CallPathTest, call_invalid_isRefusedAsNotRun)
    {
        EXPECT_EQ(call("GET", "/call/nothing/x").status, 404);
        EXPECT_EQ(call("GET", "/call/compile/x").status, 404);
        EXPECT_EQ(call("GET", "/call/lookup", { { "Hemlocklead-Timeout-Ms", "-1" } }).status, 400);
        const HttpResponse response = call("GET", "/call/lookup", { { "Hemlocklead-Idempotent", "maybe" } });
        EXPECT_EQ(response.status, 400);
        EXPECT_EQ(response.header("Hemlocklead-Outcome"), "not-run");
        EXPECT_TRUE(m_receivedRequests.empty());
    }

    // Guards against a truncated response forwarded as complete, and against a POST that runs twice.
    TEST_F(CallPathTest, call_truncatedResponse_isUnknownAndRunOnce)
    {
        m_truncateResponses = true;
        const HttpResponse response = call("POST", "/call/lookup/x");
        EXPECT_EQ(response.status, 504);
        EXPECT_EQ(response.header("Hemlocklead-Outcome"), "unknown");
        EXPECT_EQ(m_receivedRequests.size(), 1);
    }

    // Guards against requests sent to a target after its withdrawal.
    TEST_F(CallPathTest, call_targetWithdrawn_isNotRun)
    {
        announce("DELETE");
        const HttpResponse response = call("POST", "/call/lookup/x");
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(response.header("Hemlocklead-Outcome"), "not-run");
        EXPECT_TRUE(m_receivedRequests.empty());
    }

    // Guards against an agent that accepts new calls while it drains, and against a drain that never ends.
    TEST_F(CallPathTest, call_agentDrains_isRefused)
    {
        bool drained = false;
        m_calls->drain(Duration { 1000 }, [&] { drained = true; });
        EXPECT_EQ(call("POST", "/call/lookup/x").header("Hemlocklead-Outcome"), "not-run");
        runUntil([&] { return drained; });
        EXPECT_TRUE(m_receivedRequests.empty());
    }

} // namespace
} // namespace hemlocklead
