#include "transport/HttpServer.h"
#include "RawSockets.h"
#include "transport/HttpClient.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <unistd.h>

#include <future>
#include <vector>

namespace hemlocklead {
namespace {

    class HttpServerTest : public testing::Test {
    protected:
        void SetUp() override
        {
            m_server = std::make_unique<HttpServer>(
                m_loop, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                    m_requests.push_back(request);
                    if (m_deferReplies)
                        m_responders.push_back(responder);
                    else if (!m_dropRequests)
                        responder->reply({ 200, {}, "answer to " + request.path });
                });
            orElse(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(m_server->listen({ "127.0.0.1", 0 }));
                    m_address = m_server->address();
                    return true;
                },
                [](const Error& error) {
                    ADD_FAILURE() << error.message;
                    return false;
                });
        }

        /// Runs the loop until `client`, which runs in another thread, returns.
        template <typename Client> auto runWith(Client client)
        {
            auto result = std::async(std::launch::async, client);
            Timer timer(m_loop);
            timer.startRepeating(Duration { 2 }, [&] {
                if (result.wait_for(std::chrono::seconds { 0 }) == std::future_status::ready)
                    m_loop.stop();
            });
            m_loop.run();
            return result.get();
        }

        /// Sends `bytes` on a new connection and returns the response; then closes the connection.
        std::string responseTo(const std::string& bytes)
        {
            return runWith([address = m_address, bytes] {
                const int socket = rawConnect(address);
                rawWrite(socket, bytes);
                std::string response = rawReadMessage(socket);
                close(socket);
                return response;
            });
        }

        EventLoop m_loop;
        Address m_address;
        std::unique_ptr<HttpServer> m_server;
        std::vector<HttpRequest> m_requests;
        std::vector<std::shared_ptr<HttpResponder>> m_responders;
        bool m_deferReplies { false };
        bool m_dropRequests { false };
    };

    // Guards against a malformed request that reaches the handler or hangs the connection.
    TEST_F(HttpServerTest, server_malformedRequest_isRefused)
    {
        EXPECT_THAT(responseTo("nonsense\r\n\r\n"), testing::StartsWith("HTTP/1.1 400"));
        EXPECT_THAT(responseTo("GET /a HTTP/1.1\r\nno colon\r\n\r\n"), testing::StartsWith("HTTP/1.1 400"));
        EXPECT_THAT(responseTo("POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), testing::StartsWith("HTTP/1.1 400"));
        EXPECT_TRUE(m_requests.empty());
    }

    // Guards against bodies that exhaust memory or exceed the frame limit.
    TEST_F(HttpServerTest, server_bodyOverLimit_is413)
    {
        EXPECT_THAT(responseTo("POST /a HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n" + std::string(1048577, 'a')),
            testing::StartsWith("HTTP/1.1 413"));
        EXPECT_THAT(responseTo("POST /a HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" + std::string(1048576, 'a')),
            testing::StartsWith("HTTP/1.1 200"));
        EXPECT_EQ(m_requests.size(), 1);
    }

    // Guards against a body in the response to HEAD, which the caller would take as the next response.
    TEST_F(HttpServerTest, server_head_sendsNoBody)
    {
        const std::string responses
            = responseTo("HEAD /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
        EXPECT_EQ(responses.find("answer to /a"), std::string::npos) << responses;
    }

    // Guards against a reply on a connection that the caller has closed.
    TEST_F(HttpServerTest, server_callerDisconnected_isReportedAndReplyDropped)
    {
        m_deferReplies = true;
        bool disconnected = false;
        runWith([address = m_address] {
            const int socket = rawConnect(address);
            rawWrite(socket, "GET /a HTTP/1.1\r\n\r\n");
            usleep(30'000);
            return close(socket);
        });
        ASSERT_EQ(m_responders.size(), 1);
        m_responders[0]->onDisconnect([&] { disconnected = true; });
        runWith([] { return usleep(50'000); });
        EXPECT_TRUE(disconnected || m_responders[0]->isDisconnected());
        m_responders[0]->reply({ 200, {}, "late" });
        m_responders.clear();
    }

    // Guards against a caller that gets no response because its request was dropped by mistake.
    TEST_F(HttpServerTest, server_droppedRequest_is500)
    {
        m_dropRequests = true;
        EXPECT_THAT(responseTo("GET /a HTTP/1.1\r\n\r\n"), testing::StartsWith("HTTP/1.1 500"));
    }

    // Guards against use after free when the server is destroyed before the responders.
    TEST_F(HttpServerTest, server_destroyedWithRequests_laterRepliesAreDropped)
    {
        m_deferReplies = true;
        HttpClient client(m_loop, m_address, 3);
        int ended = 0;
        for (int i = 0; i < 3; ++i)
            client.send({ "GET", "/a", {}, {} }, Duration { 500 },
                [&](const HttpExchange& exchange) { ended += exchange.status == HttpExchange::Status::Unknown; });
        runWith([] { return usleep(50'000); });
        ASSERT_EQ(m_responders.size(), 3);
        m_responders[0]->reply({ 200, {}, "first" });
        m_server.reset();
        m_responders[1]->reply({ 200, {}, "late" });
        m_responders.clear();
        runWith([] { return usleep(50'000); });
        EXPECT_GE(ended, 2);
    }

    // Guards against mixing up responses of requests on many connections.
    TEST_F(HttpServerTest, server_manyConcurrentRequests_eachGetsItsOwnResponse)
    {
        HttpClient client(m_loop, m_address, 16);
        int correct = 0;
        constexpr int total = 500;
        for (int i = 0; i < total; ++i) {
            const std::string path = "/" + std::to_string(i);
            client.send({ "GET", path, {}, {} }, Duration { 5000 }, [&correct, path](const HttpExchange& exchange) {
                correct += exchange.response.body == "answer to " + path;
            });
        }
        runWith([] { return usleep(300'000); });
        EXPECT_EQ(correct, total);
    }

} // namespace
} // namespace hemlocklead
