#include "platform/WorkerClient.h"
#include "RawSockets.h"
#include "platform/JsonFields.h"
#include "transport/HttpServer.h"

#include <gtest/gtest.h>

namespace hemlocklead::platform {
namespace {

    using dispatch::WorkerAnswer;
    using dispatch::WorkerIncarnation;
    using dispatch::WorkerPoll;
    using dispatch::WorkerState;

    /// A minion that restarts under the same id and address. Each incarnation is born 1000 ms after the one before.
    class WorkerClientTest : public testing::Test {
    protected:
        WorkerClientTest()
        {
            m_client.setInstance("i-1");
            restart();
        }

        void restart()
        {
            m_requests.clear();
            m_born += 1000;
            m_server.reset();
            m_server = std::make_unique<HttpServer>(
                m_loop, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& out) {
                    EXPECT_EQ(request.header("Hemlocklead-Expected-Instance"), m_expectedInstance);
                    m_requests.push_back(request);
                    Json body = { { "clockMs", 5 }, { "born", m_born }, { "running", Json::array() },
                        { "endedRuns", Json::array() } };
                    out->reply(jsonResponse(200, jsonText(body)));
                });
            ASSERT_TRUE(m_server->listen(m_address));
        }

        WorkerState poll(int64_t life, const WorkerPoll& poll)
        {
            WorkerState result;
            m_client.poll(WorkerIncarnation { life, 7 }, poll, [&](WorkerState state) {
                result = std::move(state);
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }

        WorkerAnswer start(int64_t life)
        {
            WorkerAnswer result;
            RunOrder order;
            order.task = "job.0.0.0";
            order.attempt = 1;
            m_client.start(WorkerIncarnation { life, 7 }, order, 90'000, [&](const WorkerAnswer& answer) {
                result = answer;
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }

        /// Whether a call with values of another incarnation has reached the current one.
        bool hasReceivedForeignValues() const
        {
            return std::ranges::any_of(m_requests, [](const HttpRequest& request) {
                const Json body = Json::parse(request.body, nullptr, false);
                return request.path != "/v1/hold" || body.contains("untilMs") || body.value("lastSeen", 0) != 0;
            });
        }

        EventLoop m_loop;
        const Address m_address { unusedAddress() };
        int64_t m_born { 0 };
        std::string m_expectedInstance { "i-1" };
        std::vector<HttpRequest> m_requests; ///< Of the current incarnation.
        std::unique_ptr<HttpServer> m_server;
        WorkerClient m_client { m_loop, m_address };
    };

    // Guards against finished tasks that run again: a minion that was back under its id got the former incarnation's
    // `lastSeen` and discarded its own ends before it had listed them (review, case 6: 16 to 30 tasks ran twice).
    TEST_F(WorkerClientTest, poll_minionRestartedUnderItsId_acknowledgesNothingThere)
    {
        EXPECT_EQ(poll(1000, { {}, 500, Duration { 0 } }).status, WorkerState::Status::Ok);
        EXPECT_EQ(Json::parse(m_requests.back().body).value("lastSeen", 0), 500);
        restart();
        EXPECT_EQ(poll(1000, { {}, 500, Duration { 0 } }).status, WorkerState::Status::OtherIncarnation);
        EXPECT_FALSE(hasReceivedForeignValues());
        m_expectedInstance.clear();
        EXPECT_EQ(poll(0, {}).life, 2000);
    }

    // Guards against a lease of 6 s on a minion that is back under its id: the first hold carried an `untilMs` on the
    // former incarnation's clock, and the owner counts 5 s (review, case 8: 2 to 3 tasks ran twice).
    TEST_F(WorkerClientTest, poll_minionRestartedUnderItsId_extendsNoLeaseThere)
    {
        EXPECT_EQ(poll(1000, { 90'000, 0, Duration { 0 } }).status, WorkerState::Status::Ok);
        restart();
        EXPECT_EQ(poll(1000, { 90'000, 0, Duration { 0 } }).status, WorkerState::Status::OtherIncarnation);
        EXPECT_FALSE(hasReceivedForeignValues());
    }

    // Guards against a run in an incarnation that the order is not meant for, while the owner takes it for lost and
    // starts the task elsewhere (review, cases 7 and 8).
    TEST_F(WorkerClientTest, start_minionRestartedUnderItsId_isRefused)
    {
        EXPECT_EQ(start(1000).status, WorkerAnswer::Status::Done);
        restart();
        const WorkerAnswer answer = start(1000);
        EXPECT_EQ(answer.status, WorkerAnswer::Status::Refused);
        EXPECT_EQ(answer.reason, dispatch::restartedReason);
        EXPECT_FALSE(hasReceivedForeignValues());
        EXPECT_EQ(start(2000).status, WorkerAnswer::Status::Done);
    }

} // namespace
} // namespace hemlocklead::platform
