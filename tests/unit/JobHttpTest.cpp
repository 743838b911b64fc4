#include "entry/JobHttp.h"
#include "support/JobWorld.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class JobHttpTest : public testing::Test {
    protected:
        JobHttpTest() { m_world.run(Duration { 2000 }); }

        JobHttp::Routing routing()
        {
            return { [this](uint32_t) { return m_isOwner ? m_world.ownerAt(0) : nullptr; },
                [this](uint32_t) { return m_remote; },
                [this](const std::string&, const Forward& request, const std::function<void(ForwardReply)>& done) {
                    m_forwarded.push_back(request);
                    done({ request.id, 202, "{}", "done" });
                },
                [this](Duration, std::function<void()> callback) { m_later = std::move(callback); } };
        }

        /// Sends the request and runs the world; status 0 without an answer.
        HttpResponse ask(const std::string& method, const std::string& path, const std::string& body = {})
        {
            HttpResponse response { 0, {}, {} };
            HttpRequest request;
            request.method = method;
            request.path = path;
            request.body = body;
            m_http.handle(request, [&](HttpResponse reply) { response = std::move(reply); });
            m_world.run(Duration { 300 });
            if (response.status == 0 && m_later)
                std::exchange(m_later, nullptr)();
            m_later = nullptr;
            return response;
        }

        static Json json(const HttpResponse& response) { return Json::parse(response.body, nullptr, false); }

        JobWorld m_world { 1, 1, 2 };
        bool m_isOwner { true };
        std::optional<std::string> m_remote;
        std::vector<Forward> m_forwarded;
        std::function<void()> m_later;
        JobHttp m_http { m_world.environment(0), routing() };
    };

    // Guards against a resubmission that runs the work a second time.
    TEST_F(JobHttpTest, submit_sameKeyTwice_findsTheSameJob)
    {
        const std::string body = R"({"name":"compile","tasks":2,"payload":"x","idempotency_key":"k"})";
        const HttpResponse first = ask("POST", "/jobs", body);
        const HttpResponse second = ask("POST", "/jobs", body);
        EXPECT_EQ(first.status, 202);
        EXPECT_EQ(first.body, second.body);
        EXPECT_EQ(json(ask("GET", "/jobs?team=registers"))["jobs"].size(), 1);
    }

    // Guards against answers that do not tell which field is wrong, and against bad values in the log.
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
            const HttpResponse response = ask("POST", "/jobs", body);
            EXPECT_EQ(response.status, 400) << body.substr(0, 80);
            EXPECT_EQ(json(response).value("message", "").rfind(field + ":", 0), 0) << response.body;
        }
        EXPECT_EQ(ask("POST", "/jobs", R"({"name":"nothing"})").status, 404);
        EXPECT_EQ(ask("POST", "/jobs", "{").status, 400);
    }

    // Guards against a job that is shown, cancelled or answered wrongly after its end.
    TEST_F(JobHttpTest, job_untilItsEnd_showsPhaseAndResults)
    {
        const std::string id = json(ask("POST", "/jobs", R"({"name":"compile"})"))["job"];
        EXPECT_EQ(json(ask("GET", "/jobs/" + id))["phase"], "active");
        m_world.run(Duration { 20'000 });
        const Json result = json(ask("GET", "/jobs/" + id + "/result"));
        EXPECT_EQ(result["phase"], "finished");
        EXPECT_EQ(result["results"][0]["result"].get<std::string>().rfind(id, 0), 0);
        EXPECT_EQ(json(ask("DELETE", "/jobs/" + id))["phase"], "finished");
        EXPECT_EQ(ask("GET", "/jobs/s0-" + std::string(32, '0')).status, 404);
        EXPECT_EQ(ask("GET", "/jobs/x").status, 404);
    }

    // Guards against a cancelled job whose tasks go on.
    TEST_F(JobHttpTest, cancel_activeJob_stopsItsTasks)
    {
        const std::string id = json(ask("POST", "/jobs", R"({"name":"compile","tasks":50})"))["job"];
        m_world.run(Duration { 500 });
        EXPECT_EQ(json(ask("DELETE", "/jobs/" + id))["phase"], "cancelled");
        m_world.run(Duration { 3000 });
        EXPECT_TRUE(m_world.isAllDone());
    }

    // Guards against a refusal that claims "not run" for a job that may be recorded.
    TEST_F(JobHttpTest, submit_withoutLog_tellsWhatIsProved)
    {
        m_world.setLogDown(0, true);
        const HttpResponse notStored = ask("POST", "/jobs", R"({"name":"compile"})");
        EXPECT_EQ(json(notStored)["error"], "log-unavailable");
        EXPECT_EQ(notStored.header("Hemlocklead-Outcome"), "not-run");
        m_world.setLogDown(0, false);
        m_world.setLogSilent(0, true);
        const HttpResponse unknown = ask("POST", "/jobs", R"({"name":"compile"})");
        EXPECT_EQ(unknown.status, 504);
        EXPECT_EQ(unknown.header("Hemlocklead-Outcome"), "unknown");
        EXPECT_EQ(json(unknown)["job"].get<std::string>().rfind("s0-", 0), 0);
        m_world.run(Duration { 3000 });
        const HttpResponse refused = ask("POST", "/jobs", R"({"name":"compile"})");
        EXPECT_EQ(json(refused)["error"], "log-unavailable");
        EXPECT_EQ(refused.header("Hemlocklead-Outcome"), "not-run");
    }

    // Guards against requests that are forwarded in a circle, and against a lost id of a forwarded job.
    TEST_F(JobHttpTest, request_ofAnotherOwner_isForwardedOnce)
    {
        m_isOwner = false;
        EXPECT_EQ(json(ask("POST", "/jobs", R"({"name":"compile"})"))["error"], "not-owner");
        m_remote = "e1";
        EXPECT_EQ(ask("POST", "/jobs", R"({"name":"compile"})").status, 202);
        ASSERT_EQ(m_forwarded.size(), 1);
        EXPECT_EQ(m_forwarded[0].path.rfind("/jobs?id=s0-", 0), 0);
        ForwardReply reply;
        m_http.handleForwarded(m_forwarded[0], [&](ForwardReply answer) { reply = std::move(answer); });
        EXPECT_EQ(reply.status, 503);
        EXPECT_EQ(reply.outcome, "not-run");
        EXPECT_EQ(m_forwarded.size(), 1);
    }

} // namespace
} // namespace hemlocklead
