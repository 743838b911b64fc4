// Stand-in for a service instance: announces itself to its agent, answers requests, and injects faults on demand.
#include "base/Log.h"
#include "state/Json.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <memory>

namespace hemlocklead {
namespace {

    constexpr Duration announceInterval { 1000 };
    constexpr Duration announceTimeout { 900 };
    constexpr int64_t connections = 64;

    struct Options {
        Address listen;
        Address agent;
        std::string service;
        std::string instance;
        int64_t slots { 8 };
        Duration serviceTime { 5 };
        std::string journal;
    };

    struct Fault {
        std::string mode { "none" };
        Duration delay { 0 };
    };

    /// A request in progress.
    struct ActiveRequest {
        HttpRequest request;
        std::shared_ptr<HttpResponder> responder;
        std::unique_ptr<Timer> timer;
    };

    class Target {
    public:
        Target(EventLoop& loop, const Options& options)
            : m_loop(loop)
            , m_options(options)
            , m_server(loop,
                  [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                      handleRequest(request, responder);
                  })
            , m_agent(loop, options.agent, 1)
            , m_announceTimer(loop)
        {
            if (!options.journal.empty())
                m_journal.open(options.journal, std::ios::app);
        }

        Result<void> start()
        {
            BOOST_LEAF_CHECK(m_server.listen(m_options.listen));
            announce();
            m_announceTimer.startRepeating(announceInterval, [this] { announce(); });
            m_loop.onTerminate([this] { terminate(); });
            return {};
        }

    private:
        std::string announcementPath() const { return "/targets/" + m_options.service + "/" + m_options.instance; }

        void announce()
        {
            const Json body { { "address", m_options.listen.text() }, { "slots", m_options.slots },
                { "connections", connections } };
            m_agent.send(
                { "PUT", announcementPath(), {}, jsonText(body) }, announceTimeout, [](const HttpExchange&) {});
        }

        void terminate()
        {
            m_announceTimer.cancel();
            m_agent.send({ "DELETE", announcementPath(), {}, {} }, announceTimeout, [this](const HttpExchange&) {
                m_withdrawn = true;
                m_server.closeAfterReply();
                stopIfIdle();
            });
        }

        void stopIfIdle()
        {
            if (m_withdrawn && m_activeRequests.empty())
                m_announceTimer.startOnce(Duration { 20 }, [this] { m_loop.stop(); });
        }

        void handleRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
        {
            if (request.path == "/stats")
                responder->reply(jsonResponse(200, jsonText(stats())));
            else if (request.path == "/fault" && request.method == "PUT")
                responder->reply(setFault(request));
            else
                run(request, responder);
        }

        HttpResponse setFault(const HttpRequest& request)
        {
            return orElse(
                [&]() -> Result<HttpResponse> {
                    BOOST_LEAF_AUTO(json, parseJson(request.body));
                    m_fault = { json.value("mode", "none"), Duration { json.value("delayMs", int64_t { 0 }) } };
                    return jsonResponse(200, "{}");
                },
                [](const Error& error) { return errorResponse(error); });
        }

        Json stats() const
        {
            return { { "running", m_activeRequests.size() }, { "runs", m_startedCount }, { "peak", m_peak },
                { "violations", m_violations }, { "failed", m_failed } };
        }

        void run(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
        {
            m_activeRequests.push_back({ request, responder, std::make_unique<Timer>(m_loop) });
            const auto entry = std::prev(m_activeRequests.end());
            ++m_startedCount;
            m_peak = std::max(m_peak, m_activeRequests.size());
            if (static_cast<int64_t>(m_activeRequests.size()) > m_options.slots)
                ++m_violations;
            record("start", request);
            if (m_fault.mode == "hang") {
                responder->onDisconnect([this, entry] { end(entry); });
                return;
            }
            Duration time = m_fault.mode == "fail-fast" ? Duration { 0 } : m_options.serviceTime;
            if (m_fault.mode == "slow")
                time += m_fault.delay;
            entry->timer->startOnce(time, [this, entry, fault = m_fault] { finish(entry, fault); });
        }

        void finish(std::list<ActiveRequest>::iterator entry, const Fault& fault)
        {
            const std::shared_ptr<HttpResponder> responder = entry->responder;
            const HttpResponse response = makeResponse(entry->request, fault);
            m_lastId = entry->request.header("X-Request-Id");
            end(entry);
            if (fault.mode == "close-after-run")
                responder->abort();
            else
                responder->reply(response);
        }

        HttpResponse makeResponse(const HttpRequest& request, const Fault& fault)
        {
            std::string id(request.header("X-Request-Id"));
            const Json body { { "request_id", id }, { "test_id", request.header("X-Test-Id") },
                { "instance", m_options.instance }, { "path", request.path }, { "length", request.body.size() } };
            HttpResponse response = jsonResponse(200, jsonText(body) + "\n");
            if (fault.mode == "fail" || fault.mode == "fail-fast") {
                ++m_failed;
                response.status = 500;
            }
            if (fault.mode == "crossed-id")
                id = m_lastId.empty() ? "of-another-request" : m_lastId;
            if (!id.empty())
                response.headers.push_back({ "X-Request-Id", id });
            if (fault.mode == "truncate") {
                response.headers.push_back({ "Content-Length", std::to_string(response.body.size() + 100) });
                response.headers.push_back({ "Connection", "close" });
            }
            return response;
        }

        void end(std::list<ActiveRequest>::iterator entry)
        {
            record("end", entry->request);
            m_activeRequests.erase(entry);
            stopIfIdle();
        }

        void record(std::string_view event, const HttpRequest& request)
        {
            if (!m_journal.is_open())
                return;
            const Json line { { "ms", m_clock.now().time_since_epoch().count() }, { "event", event },
                { "request_id", request.header("X-Request-Id") }, { "test_id", request.header("X-Test-Id") } };
            m_journal << jsonText(line) << std::endl;
        }

        EventLoop& m_loop;
        SystemClock m_clock;
        Options m_options;
        HttpServer m_server;
        HttpClient m_agent;
        Timer m_announceTimer;
        std::ofstream m_journal;
        Fault m_fault;
        std::list<ActiveRequest> m_activeRequests;
        std::string m_lastId;
        bool m_withdrawn { false };
        size_t m_startedCount { 0 };
        size_t m_peak { 0 };
        size_t m_violations { 0 };
        size_t m_failed { 0 };
    };

    /// Fails with `InvalidRequest` on an unknown option, a missing value, or a missing service or instance.
    Result<Options> parseOptions(int argc, char** argv)
    {
        std::map<std::string, std::string> values { { "--slots", "8" }, { "--service-ms", "5" }, { "--journal", "" },
            { "--listen", "" }, { "--agent", "" }, { "--service", "" }, { "--instance", "" } };
        for (int i = 1; i < argc; i += 2) {
            const auto found = values.find(argv[i]);
            if (found == values.end() || i + 1 == argc)
                return fail(ErrorKind::InvalidRequest, std::string("bad option ") + argv[i]);
            found->second = argv[i + 1];
        }
        Options options;
        BOOST_LEAF_ASSIGN(options.listen, parseAddress(values["--listen"]));
        BOOST_LEAF_ASSIGN(options.agent, parseAddress(values["--agent"]));
        options.service = values["--service"];
        options.instance = values["--instance"];
        options.slots = std::atoll(values["--slots"].c_str());
        options.serviceTime = Duration { std::atoll(values["--service-ms"].c_str()) };
        options.journal = values["--journal"];
        if (options.service.empty() || options.instance.empty())
            return fail(ErrorKind::InvalidRequest, "--service and --instance are required");
        return options;
    }

    Result<int> runTarget(int argc, char** argv)
    {
        BOOST_LEAF_AUTO(options, parseOptions(argc, argv));
        configureLog("target", LogLevel::Warning);
        EventLoop loop;
        Target target(loop, options);
        BOOST_LEAF_CHECK(target.start());
        loop.run();
        return 0;
    }

} // namespace
} // namespace hemlocklead

int main(int argc, char** argv)
{
    using namespace hemlocklead;
    return orElse([&] { return runTarget(argc, argv); },
        [](const Error& error) {
            std::cerr << "standin-target: " << error.message << '\n';
            return 2;
        });
}
