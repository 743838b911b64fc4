#include "transport/WorkerHttpClient.h"
#include "RawSockets.h"
#include "transport/HttpServer.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class WorkerHttpClientTest : public testing::Test {
    protected:
        EventLoop m_loop;
        const Address m_address { unusedAddress() };
        HttpResponse m_response;
        HttpRequest m_request;
        HttpServer m_server { m_loop, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& out) {
                                 m_request = request;
                                 out->reply(m_response);
                             } };
        WorkerHttpClient m_client { m_loop, m_address };

        void SetUp() override { ASSERT_TRUE(m_server.listen(m_address)); }

        WorkerCallResult stopResult(int status)
        {
            m_response = jsonResponse(status, "{}");
            WorkerCallResult result {};
            m_client.stop("job.0.1", [&](WorkerCallResult call) {
                result = call;
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }

        std::optional<std::vector<WorkerTask>> list(const std::string& body)
        {
            m_response = jsonResponse(200, body);
            std::optional<std::vector<WorkerTask>> result;
            m_client.list([&](auto tasks) {
                result = std::move(tasks);
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }
    };

    // Guards against a start that the worker cannot parse: the JSON keys are defined by the platform.
    TEST_F(WorkerHttpClientTest, start_spec_usesThePlatformsKeys)
    {
        m_client.start({ "job/x.0.1", "compile", "{}", { 500, 64, 1 }, Duration { 6000 }, "token", { { "shard", 3 } } },
            [&](WorkerCallResult) { m_loop.stop(); });
        m_loop.run();
        EXPECT_EQ(m_request.method + m_request.path, "POST/tasks");
        EXPECT_EQ(Json::parse(m_request.body), Json::parse(R"({"id": "job/x.0.1", "name": "compile", "payload": "{}",
            "resources": {"cpu_milli": 500, "memory_mib": 64, "accelerators": 1}, "lease_ms": 6000,
            "checkpoint": "token", "labels": {"shard": 3}})"));
        m_client.renew("job/x.0.1", Duration { 4000 }, [&](WorkerCallResult) { m_loop.stop(); });
        m_loop.run();
        EXPECT_EQ(m_request.path, "/tasks/job%2Fx.0.1/lease");
        EXPECT_EQ(m_request.body, R"({"lease_ms":4000})");
    }

    // Guards against taking a worker failure as proof that the operation was not performed.
    TEST_F(WorkerHttpClientTest, call_byStatus_isClassified)
    {
        EXPECT_EQ(stopResult(200), WorkerCallResult::Done);
        EXPECT_EQ(stopResult(404), WorkerCallResult::Done);
        EXPECT_EQ(stopResult(409), WorkerCallResult::Rejected);
        EXPECT_EQ(stopResult(500), WorkerCallResult::Unknown);
    }

    // Guards against taking a malformed list as proof that no task is running.
    TEST_F(WorkerHttpClientTest, list_malformed_isRejected)
    {
        EXPECT_FALSE(list("{}"));
        EXPECT_FALSE(list("{\"tasks\": [{\"id\": \"a.0.1\"}]}"));
        EXPECT_FALSE(list("{\"tasks\": [{\"id\": \"a.0.1\", \"state\": \"dreaming\"}]}"));
        EXPECT_FALSE(list("{\"tasks\": [{\"id\": \"a.0.1\", \"state\": \"running\", \"progress\": \"x\"}]}"));
        const auto tasks = list(R"({"tasks": [{"id": "a.0.1", "state": "expired", "progress": 5,
            "checkpoint_progress": 4, "checkpoint": "t", "usage": {"cpu_milli": 7}, "labels": {"shard": 1}}]})");
        ASSERT_TRUE(tasks);
        EXPECT_EQ(tasks->at(0).state, WorkerTaskState::Expired);
        EXPECT_EQ(tasks->at(0).checkpointProgress, 4);
        EXPECT_EQ(tasks->at(0).usage.cpuMilli, 7);
    }

} // namespace
} // namespace hemlocklead
