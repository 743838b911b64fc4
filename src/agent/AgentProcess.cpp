#include "agent/AgentProcess.h"

#include "agent/CallService.h"
#include "agent/TaskService.h"
#include "base/Log.h"
#include "transport/Traffic.h"
#include "transport/WorkerHttpClient.h"

#include <cstdio>

namespace hemlocklead {

namespace {

    /// Time after the drain for sending the last messages.
    constexpr Duration flushTime { 100 };

    /// Applies the configuration that entries send and reports the offset reached to them.
    class ControlHandler final : public EntryHandler {
    public:
        ControlHandler(AgentControl& control, EntryLinks& links)
            : m_control(control)
            , m_links(links)
        {
        }

        void fillKeepalive(size_t, Keepalive& keepalive) override
        {
            keepalive.controlOffset = m_control.state().nextOffset();
        }

        void entryMessage(size_t entry, const Message& message) override
        {
            const auto* reply = std::get_if<KeepaliveReply>(&message);
            if (!reply)
                return;
            const uint64_t offset = m_control.state().nextOffset();
            m_control.apply(reply->delta);
            // Reported at once: operators wait until a change is reported in force everywhere, and waiting for the next
            // keepalive would delay that by up to a whole interval.
            if (m_control.state().nextOffset() > offset)
                m_links.keepaliveNow(entry);
        }

        void entryGone(size_t) override { }

    private:
        AgentControl& m_control;
        EntryLinks& m_links;
    };

    /// Owns the event loop and the services of an agent process.
    class AgentProcess {
    public:
        explicit AgentProcess(AgentSettings settings)
            : m_settings(std::move(settings))
            , m_links(m_loop, m_clock, m_settings, m_counters)
            , m_controlHandler(m_control, m_links)
            , m_worker(m_loop, m_settings.workerAddress)
            , m_tasks(m_loop, m_clock, m_settings, m_control, m_links, m_worker, m_counters)
            , m_calls(m_loop, m_clock, m_settings, m_control, m_links, m_counters,
                  [this](const std::string& service, int64_t latencyUs) { m_tasks.noteLatency(service, latencyUs); })
            , m_server(m_loop, [this](const HttpRequest& request, const auto& out) { out->reply(handle(request)); })
            , m_flushTimer(m_loop)
        {
        }

        Result<int> run()
        {
            BOOST_LEAF_CHECK(m_server.listen(m_settings.httpAddress));
            // Handlers run in this order. The control handler comes first, so that the others see the configuration
            // delivered by the same message.
            m_links.addHandler(m_controlHandler);
            m_links.addHandler(m_tasks);
            m_links.addHandler(m_calls);
            m_tasks.start();
            m_links.start();
            m_loop.onTerminate([this] { startShutdown(); });
            LogEvent(LogLevel::Info, "agent_started")
                .field("host", m_settings.host)
                .field("incarnation", m_links.incarnation());
            m_loop.run();
            return 0;
        }

    private:
        HttpResponse handle(const HttpRequest& request)
        {
            const std::vector<std::string> path = pathSegments(request.path);
            const std::string_view first = path.empty() ? std::string_view() : std::string_view(path[0]);
            if (first == "targets")
                return m_calls.handleAnnouncement(request);
            if (first == "metrics")
                return metrics();
            if (first == "health")
                return jsonResponse(m_leaving ? 503 : 200, m_leaving ? R"({"leaving": true})" : "{}");
            return errorResponse({ ErrorKind::NotFound, "no such path" });
        }

        HttpResponse metrics()
        {
            Traffic::instance().publish(m_counters);
            return { 200, { { "Content-Type", "text/plain" } }, m_counters.text() };
        }

        /// Planned stop (design section 9): announces it, finishes the calls, checkpoints and stops the tasks, reports
        /// their ends and exits.
        void startShutdown()
        {
            if (m_leaving)
                return;
            m_leaving = true;
            LogEvent(LogLevel::Info, "agent_leaving").field("host", m_settings.host);
            m_links.sendToAll(Leaving { m_settings.host });
            m_pendingDrains = 2;
            m_calls.drain(m_settings.drain, [this] { handleDrained(); });
            m_tasks.drain(m_settings.drain, [this] { handleDrained(); });
        }

        void handleDrained()
        {
            if (--m_pendingDrains > 0)
                return;
            m_flushTimer.startOnce(flushTime, [this] { m_loop.stop(); });
        }

        AgentSettings m_settings;
        EventLoop m_loop;
        SystemClock m_clock;
        Counters m_counters;
        AgentControl m_control;
        EntryLinks m_links;
        ControlHandler m_controlHandler;
        WorkerHttpClient m_worker;
        TaskService m_tasks;
        CallService m_calls;
        HttpServer m_server;
        Timer m_flushTimer;
        int m_pendingDrains { 0 }; ///< Number of services that have not drained yet.
        bool m_leaving { false };
    };

} // namespace

int runAgent(const std::string& settingsFile)
{
    configureLog("agent", LogLevel::Info);
    return orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, parseAgentSettings(settingsFile));
            return AgentProcess(std::move(settings)).run();
        },
        [](const Error& error) {
            std::fprintf(stderr, "hemlocklead agent: %s\n", error.message.c_str());
            return 2;
        });
}

} // namespace hemlocklead
