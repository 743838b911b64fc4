#include "entry/JobHttp.h"
#include "support/JobSimulation.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class JobHttpTest : public testing::Test {
    protected:
        JobHttpTest() { m_simulation.run(Duration { 2000 }); }

        JobHttp::Routing routing()
        {
            return { [this](uint32_t) { return m_isOwner ? m_simulation.ownerAt(0) : nullptr; },
                [this](uint32_t) { return m_remote; },
                [this](const std::string&, const Forward& request, const std::function<void(ForwardReply)>& done) {
                    m_forwarded.push_back(request);
                    done({ request.id, 202, "{}", "done" });
                },
                [this](Duration, std::function<void()> callback) { m_later = std::move(callback); } };
        }

        /// Sends the request and runs the simulation. Without a response, then runs the pending timeout, if any. Status
        /// 0 means no response.
        HttpResponse send(const std::string& method, const std::string& path, const std::string& body = {})
        {
            HttpResponse response { 0, {}, {} };
            HttpRequest request;
            request.method = method;
            request.path = path;
            request.body = body;
            m_http.handle(request, [&](HttpResponse reply) { response = std::move(reply); });
            m_simulation.run(Duration { 300 });
            if (response.status == 0 && m_later)
                std::exchange(m_later, nullptr)();
            m_later = nullptr;
            return response;
        }

        static Json json(const HttpResponse& response) { return Json::parse(response.body, nullptr, false); }

        JobSimulation m_simulation { 1, 1, 2 };
        bool m_isOwner { true };
        std::optional<std::string> m_remote;
        std::vector<Forward> m_forwarded;
        std::function<void()> m_later;
        JobHttp m_http { m_simulation.environment(0), routing() };
    };

    // Guards against running the work again when a submission is repeated.
    TEST_F(JobHttpTest, submit_sameKeyTwice_findsTheSameJob)
    {
        const std::string body = R"({"name":"compile","tasks":2,"payload":"x","idempotency_key":"k"})";
        const HttpResponse first = send("POST", "/jobs", body);
        const HttpResponse second = send("POST", "/jobs", body);
        EXPECT_EQ(first.status, 202);
        EXPECT_EQ(first.body, second.body);
        EXPECT_EQ(json(send("GET", "/jobs?team=registers"))["jobs"].size(), 1);
    }

    // Guards against responses that do not name the invalid field, and against invalid values in the log.
    TEST_F(JobHttpTest, submit_badField_isNamed)
    {
        const std::pair<std::string, std::string> cases[] {
            { R"({"name":"compile","tasks":0})", "tasks" },
            { R"({"name":"compile","tasks":-1})", "tasks" },
            { R"({"name":"compile","tasks":10001})", "tasks" },
            { R"({"name":"compile","tasks":18446744073709551615})", "tasks" },
            { R"({"name":"compile","tasks":1.5})", "tasks" },
            { R"({"name":"compile","resources":{"cpuMilli":-5}})", "resources.cpuMilli" },
            { R"({"name":"compile","payload":7})", "payload" },
            { R"({"name":"compile","payload":")" + std::string(65'537, 'x') + "\"}", "payload" },
            { R"({"name":"compile","team":"other"})", "team" },
            { R"({"name":"compile","colour":1})", "colour" },
            { R"({"tasks":1})", "name" },
            { "[1]", "body" },
        };
        for (const auto& [body, field] : cases) {
            const HttpResponse response = send("POST", "/jobs", body);
            EXPECT_EQ(response.status, 400) << body.substr(0, 80);
            EXPECT_EQ(json(response).value("message", "").rfind(field + ":", 0), 0) << response.body;
        }
        EXPECT_EQ(send("POST", "/jobs", R"({"name":"nothing"})").status, 404);
        EXPECT_EQ(send("POST", "/jobs", "{").status, 400);
    }

    // Guards against a wrong phase, result or cancellation response of a job that has ended.
    TEST_F(JobHttpTest, job_untilItsEnd_showsPhaseAndResults)
    {
        const std::string id = json(send("POST", "/jobs", R"({"name":"compile"})"))["job"];
        EXPECT_EQ(json(send("GET", "/jobs/" + id))["phase"], "active");
        m_simulation.run(Duration { 20'000 });
        const Json result = json(send("GET", "/jobs/" + id + "/result"));
        EXPECT_EQ(result["phase"], "finished");
        EXPECT_EQ(result["results"][0]["result"].get<std::string>().rfind(id, 0), 0);
        EXPECT_EQ(json(send("DELETE", "/jobs/" + id))["phase"], "finished");
        EXPECT_EQ(send("GET", "/jobs/s0-" + std::string(32, '0')).status, 404);
        EXPECT_EQ(send("GET", "/jobs/x").status, 404);
    }

    // Guards against tasks that keep running after their job was cancelled.
    TEST_F(JobHttpTest, cancel_activeJob_stopsItsTasks)
    {
        const std::string id = json(send("POST", "/jobs", R"({"name":"compile","tasks":50})"))["job"];
        m_simulation.run(Duration { 500 });
        EXPECT_EQ(json(send("DELETE", "/jobs/" + id))["phase"], "cancelled");
        m_simulation.run(Duration { 3000 });
        EXPECT_TRUE(m_simulation.isAllDone());
    }

    // Guards against the outcome "not-run" for a job that may be recorded.
    TEST_F(JobHttpTest, submit_withoutLog_tellsWhatIsProved)
    {
        m_simulation.setLogDown(0, true);
        const HttpResponse notStored = send("POST", "/jobs", R"({"name":"compile"})");
        EXPECT_EQ(json(notStored)["error"], "log-unavailable");
        EXPECT_EQ(notStored.header("Hemlocklead-Outcome"), "not-run");
        m_simulation.setLogDown(0, false);
        m_simulation.setLogSilent(0, true);
        const HttpResponse unknown = send("POST", "/jobs", R"({"name":"compile"})");
        EXPECT_EQ(unknown.status, 504);
        EXPECT_EQ(unknown.header("Hemlocklead-Outcome"), "unknown");
        EXPECT_EQ(json(unknown)["job"].get<std::string>().rfind("s0-", 0), 0);
        m_simulation.run(Duration { 3000 });
        const HttpResponse refused = send("POST", "/jobs", R"({"name":"compile"})");
        EXPECT_EQ(json(refused)["error"], "log-unavailable");
        EXPECT_EQ(refused.header("Hemlocklead-Outcome"), "not-run");
    }

    // Guards against forwarding loops, and against losing the id of a forwarded job.
    TEST_F(JobHttpTest, request_ofAnotherOwner_isForwardedOnce)
    {
        m_isOwner = false;
        EXPECT_EQ(json(send("POST", "/jobs", R"({"name":"compile"})"))["error"], "not-owner");
        m_remote = "e1";
        EXPECT_EQ(send("POST", "/jobs", R"({"name":"compile"})").status, 202);
        ASSERT_EQ(m_forwarded.size(), 1);
        EXPECT_EQ(m_forwarded[0].path.rfind("/jobs?id=s0-", 0), 0);
        ForwardReply reply;
        m_http.handleForwarded(m_forwarded[0], [&](ForwardReply forwarded) { reply = std::move(forwarded); });
        EXPECT_EQ(reply.status, 503);
        EXPECT_EQ(reply.outcome, "not-run");
        EXPECT_EQ(m_forwarded.size(), 1);
    }

} // namespace
} // namespace hemlocklead
