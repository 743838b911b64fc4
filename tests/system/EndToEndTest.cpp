#include "support/TestSite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <thread>

namespace hemlocklead {
namespace {

    constexpr Duration configurationBound { 4000 };
    constexpr Duration jobLimit { 30'000 };

    class EndToEndTest : public testing::Test {
    protected:
        void SetUp() override { ASSERT_TRUE(m_site.start()) << m_site.runner().logs(); }

        void TearDown() override
        {
            if (HasFailure())
                std::cerr << m_site.runner().logs();
        }

        void publish(const std::string& name, const std::string& workClass, const Json& limits = Json::object())
        {
            const Json entry { { "owner", "product" }, { "team", "registers" }, { "service", "samples" },
                { "workClass", workClass }, { "limits", limits } };
            ASSERT_EQ(m_site.setCatalogue(name, 0, entry), 200);
        }

        std::string submit(const std::string& name, int tasks, const std::string& payload)
        {
            std::optional<HttpResponse> response;
            const auto accepted = [&] {
                response = m_site.send(1, "POST", "/jobs",
                    { { "name", name }, { "tasks", tasks }, { "payload", payload }, { "idempotency_key", name } });
                return response && response->status == 202;
            };
            EXPECT_TRUE(waitUntil(accepted, jobLimit)) << (response ? response->body : "no response");
            return Json::parse(response ? response->body : "{}").value("job", "");
        }

        Json workerTasks(size_t host)
        {
            const auto response = sendHttp(m_site.hosts()[host].worker, { "GET", "/tasks", {}, {} });
            return response ? Json::parse(response->body)["tasks"] : Json::array();
        }

        /// Ids of the running tasks of a job on a host.
        std::vector<std::string> running(size_t host, const std::string& job)
        {
            std::vector<std::string> ids;
            for (const Json& task : workerTasks(host)) {
                const auto id = task["id"].get<std::string>();
                if (task["state"] == "running" && id.starts_with(job + "."))
                    ids.push_back(id);
            }
            return ids;
        }

        size_t runningOnAllHosts(const std::string& job)
        {
            size_t count = 0;
            for (size_t host = 0; host < m_site.hosts().size(); ++host)
                count += running(host, job).size();
            return count;
        }

        TestSite m_site { 2, 3 };
    };

    // Guards against a failure between caller and target, and against receiving the response to another request.
    TEST_F(EndToEndTest, lookup_throughBothEntries_completeResponses)
    {
        publish("lookup", "answer-now");
        for (size_t i = 0; i < 20; ++i) {
            const std::string id = "test-" + std::to_string(i);
            std::optional<HttpResponse> response;
            const auto answered = [&] {
                response = m_site.send(i % 2, "GET", "/call/lookup/sample/" + id, nullptr, { { "X-Test-Id", id } });
                return response && response->status == 200;
            };
            ASSERT_TRUE(waitUntil(answered, configurationBound)) << (response ? response->body : "no response");
            const Json body = Json::parse(response->body, nullptr, false);
            ASSERT_FALSE(body.is_discarded()) << response->body;
            EXPECT_EQ(body["test_id"], id);
            EXPECT_EQ(response->header("Hemlocklead-Outcome"), "done");
        }
    }

    // Guards against an accepted job that does not finish or loses results.
    TEST_F(EndToEndTest, job_accepted_finishesWithAllResults)
    {
        publish("compile", "can-wait");
        const std::string job = submit("compile", 6, R"({"runMs": 200, "result": "compiled"})");
        ASSERT_TRUE(waitUntil([&] { return m_site.get(0, "/jobs/" + job).value("phase", "") == "finished"; }, jobLimit))
            << jsonText(m_site.get(0, "/jobs/" + job));
        const Json results = m_site.get(0, "/jobs/" + job + "/result")["results"];
        ASSERT_EQ(results.size(), 6U);
        for (const Json& result : results)
            EXPECT_EQ(result["result"], "compiled");
    }

    // Guards against a watch that is lost, moved without a reason or run twice.
    TEST_F(EndToEndTest, watch_submitted_runsOnceAndStays)
    {
        publish("watch", "standing watch");
        const std::string job = submit("watch", 1, "{}");
        ASSERT_TRUE(waitUntil([&] { return runningOnAllHosts(job) == 1; }, jobLimit));
        // Longer than a worker lease, so that the watch runs only if its lease is renewed.
        const auto end = std::chrono::steady_clock::now() + Duration { 8000 };
        while (std::chrono::steady_clock::now() < end) {
            ASSERT_EQ(runningOnAllHosts(job), 1U);
            std::this_thread::sleep_for(Duration { 200 });
        }
        EXPECT_EQ(m_site.get(0, "/jobs/" + job)["attempts"], 1);
    }

    // Guards against an accepted edit that takes longer than 4 s to be in force at an agent.
    TEST_F(EndToEndTest, catalogueEdit_accepted_inForceEverywhereInTime)
    {
        const auto start = std::chrono::steady_clock::now();
        publish("lookup", "answer-now");
        const uint64_t offset = m_site.get(0, "/status")["control"]["offset"].get<uint64_t>();
        // Each agent reports to its home entry first, so the newest report of either entry counts.
        const auto everywhere = [&] {
            std::map<std::string, uint64_t> reported;
            for (size_t entry = 0; entry < 2; ++entry) {
                const Json status = m_site.get(entry, "/status");
                for (const Json& agent : status["agents"]) {
                    uint64_t& newest = reported[agent["host"].get<std::string>()];
                    newest = std::max(newest, agent["control_offset"].get<uint64_t>());
                }
            }
            return reported.size() == m_site.hosts().size()
                && std::ranges::all_of(reported, [&](const auto& each) { return each.second >= offset; });
        };
        ASSERT_TRUE(waitUntil(everywhere, configurationBound))
            << jsonText(m_site.get(0, "/status")["agents"]) << jsonText(m_site.get(1, "/status")["agents"]);
        EXPECT_LT(std::chrono::steady_clock::now() - start, configurationBound);
    }

    // Guards against tasks that start, or keep running, in a data centre that was taken out.
    TEST_F(EndToEndTest, dataCentreOut_tasksMoveAndNoneStartsThere)
    {
        publish("watch", "standing watch");
        const std::string watch = submit("watch", 6, "{}");
        ASSERT_TRUE(waitUntil([&] { return runningOnAllHosts(watch) == 6; }, jobLimit));
        const auto response = m_site.send(0, "PUT", "/datacentres/dc1", { { "state", "out" }, { "by", "test" } });
        ASSERT_TRUE(response);
        ASSERT_EQ(response->status, 200);
        std::this_thread::sleep_for(configurationBound);
        const std::string batch = [&] {
            publish("compile", "can-wait");
            return submit("compile", 12, R"({"runMs": 300})");
        }();
        const auto finished = [&] {
            EXPECT_TRUE(running(1, batch).empty()) << "a task started in dc1";
            return m_site.get(0, "/jobs/" + batch).value("phase", "") == "finished";
        };
        ASSERT_TRUE(waitUntil(finished, jobLimit)) << jsonText(m_site.get(0, "/jobs/" + batch));
        const auto moved = [&] { return running(1, watch).empty() && runningOnAllHosts(watch) == 6; };
        EXPECT_TRUE(waitUntil(moved, jobLimit)) << jsonText(m_site.get(0, "/jobs/" + watch));
    }

    // Guards against a shutdown that aborts requests or hangs.
    TEST_F(EndToEndTest, entryStop_requestsDuringDrain_answered)
    {
        publish("lookup", "answer-now");
        const auto answered = [&] {
            const auto response = m_site.send(1, "GET", "/call/lookup/x");
            return response && response->status == 200;
        };
        ASSERT_TRUE(waitUntil(answered, configurationBound));
        m_site.runner().signal(m_site.entries()[1].pid, SIGTERM);
        const auto end = std::chrono::steady_clock::now() + Duration { 1500 };
        while (std::chrono::steady_clock::now() < end)
            EXPECT_TRUE(answered());
        const auto health = m_site.send(1, "GET", "/health");
        EXPECT_TRUE(health && health->status == 503);
        EXPECT_EQ(m_site.runner().waitExit(m_site.entries()[1].pid, Duration { 10'000 }), 0);
    }

} // namespace
} // namespace hemlocklead
