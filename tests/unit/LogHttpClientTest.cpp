#include "coordination/ShardFold.h"
#include "standins/LogServer.h"
#include "unit/RawSockets.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    using Status = AppendOutcome::Status;

    /// Runs LogHttpClient against the stand-in log in the same loop.
    class LogHttpClientTest : public testing::Test {
    protected:
        void SetUp() override { restart(0); }

        void restart(size_t retention)
        {
            m_server = std::make_unique<LogServer>(m_loop, retention);
            const bool listening = orElse(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(m_server->listen(m_address));
                    return true;
                },
                [](const Error&) { return false; });
            ASSERT_TRUE(listening);
        }

        AppendOutcome append(const std::string& data)
        {
            AppendOutcome result;
            m_client->append("shard-0", data, [&](AppendOutcome outcome) {
                result = outcome;
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }

        std::optional<LogPage> read(uint64_t from, size_t limit)
        {
            std::optional<LogPage> result;
            m_client->read("shard-0", from, limit, [&](std::optional<LogPage> page) {
                result = std::move(page);
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }

        Json sendControl(const std::string& method, const std::string& path, const std::string& body)
        {
            Json result;
            HttpClient control(m_loop, m_address, 1);
            control.send({ method, path, {}, body }, Duration { 2000 }, [&](const HttpExchange& exchange) {
                result = Json::parse(exchange.response.body, nullptr, false);
                m_loop.stop();
            });
            m_loop.run();
            return result;
        }

        EventLoop m_loop;
        Address m_address { unusedAddress() };
        std::unique_ptr<LogServer> m_server;
        std::unique_ptr<LogHttpClient> m_client { std::make_unique<LogHttpClient>(
            m_loop, m_address, Duration { 300 }) };
    };

    // Guards against losing an offset, a record or a bound of the stream between client and log.
    TEST_F(LogHttpClientTest, read_afterAppends_returnsRecordsAndBounds)
    {
        restart(3);
        const std::string text = "{\"a\":\"quote \\\" and \xc3\xa9\"}";
        for (uint64_t offset = 0; offset < 5; ++offset) {
            const AppendOutcome outcome = append(text + std::to_string(offset));
            EXPECT_EQ(outcome.status, Status::Stored);
            EXPECT_EQ(outcome.offset, offset);
        }
        const auto page = read(0, 2);
        ASSERT_TRUE(page);
        EXPECT_EQ(page->first, 2U);
        EXPECT_EQ(page->end, 5U);
        ASSERT_EQ(page->records.size(), 2U);
        EXPECT_EQ(page->records[1].offset, 3U);
        EXPECT_EQ(page->records[1].data, text + "3");
        EXPECT_TRUE(read(9, 2)->records.empty());
        EXPECT_EQ(sendControl("GET", "/stats", "")["shard-0"]["appends"], 5);
    }

    // Guards against a snapshot that is stored but too large to be read again.
    TEST_F(LogHttpClientTest, append_bodyOverOneMebibyte_isReadBack)
    {
        // The sanitizer build needs more than 300 ms for this body.
        m_client = std::make_unique<LogHttpClient>(m_loop, m_address);
        const std::string large(5 * maxBodyBytes, 'x');
        EXPECT_EQ(append(large).status, Status::Stored);
        const auto page = read(0, 1);
        ASSERT_TRUE(page);
        EXPECT_EQ(page->records.at(0).data, large);
    }

    // Guards against an append that is reported as not stored although it was, or may have been.
    TEST_F(LogHttpClientTest, append_underFaults_isNeverReportedNotStored)
    {
        sendControl("PUT", "/fault", R"({"mode":"lose-answer","count":1})");
        EXPECT_EQ(append("a").status, Status::Unknown);
        EXPECT_EQ(read(0, 1)->end, 1U);
        sendControl("PUT", "/fault", R"({"mode":"down","count":2})");
        EXPECT_EQ(append("b").status, Status::Unknown);
        EXPECT_FALSE(read(0, 1));
        EXPECT_EQ(read(0, 1)->end, 1U);
        sendControl("PUT", "/fault", R"({"mode":"slow","delayMs":2000})");
        EXPECT_EQ(append("c").status, Status::Unknown);
        sendControl("PUT", "/fault", R"({"mode":"none"})");
        EXPECT_EQ(read(0, 1)->end, 2U);
    }

    // Guards against operators waiting for a log that refuses connections, instead of an immediate NotStored.
    TEST_F(LogHttpClientTest, append_connectionRefused_isNotStored)
    {
        m_server.reset();
        EXPECT_EQ(append("a").status, Status::NotStored);
        EXPECT_FALSE(read(0, 1));
    }

    // Guards against taking responses of a faulty log as offsets or pages.
    TEST_F(LogHttpClientTest, responses_malformed_areUnknownOrNoPage)
    {
        const char* bodies[]
            = { "", "[]", "{}", R"({"offset":-1})", R"({"first":0,"end":1,"records":[{"offset":0}]})" };
        for (const char* body : bodies) {
            m_server.reset();
            HttpServer faulty(m_loop, [body](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                responder->reply(jsonResponse(200, body));
            });
            const bool listening = orElse(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(faulty.listen(m_address));
                    return true;
                },
                [](const Error&) { return false; });
            ASSERT_TRUE(listening);
            EXPECT_EQ(append("a").status, Status::Unknown) << body;
            EXPECT_FALSE(read(0, 1)) << body;
        }
    }

} // namespace
} // namespace hemlocklead
