#include "entry/EntryNode.h"

#include "base/Log.h"
#include "entry/EntryStatus.h"
#include "transport/Traffic.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr Duration upkeepInterval { 1000 };
    constexpr Duration drainCheckInterval { 50 };

    /// The process ends only after this time without a new request: one may be in transit on an open connection, and
    /// the last response may not have been sent completely.
    constexpr Duration minIdleTime { 300 };

    constexpr Duration releaseTimeout { 3000 };

    HttpResponse textResponse(int status, std::string body)
    {
        return { status, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(body) };
    }

    /// Returns a function that replies through `responder`. It counts in `open` until its last copy is destroyed.
    std::function<void(HttpResponse)> replyTo(
        const std::shared_ptr<HttpResponder>& responder, const std::shared_ptr<int64_t>& open)
    {
        ++*open;
        const std::shared_ptr<int64_t> token(open.get(), [open](int64_t* count) { --*count; });
        return [responder, token](const HttpResponse& response) { responder->reply(response); };
    }

} // namespace

EntryNode::EntryNode(EventLoop& loop, const EntrySettings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_startedAt(m_clock.now())
    , m_log(loop, settings.logAddress)
    , m_agents(loop, m_clock, m_counters)
    , m_peers(loop, m_clock, m_settings, m_counters)
    , m_control(loop, m_clock, m_settings, m_agents, m_peers, m_log, m_counters)
    , m_requests(loop, m_clock, m_settings, m_control, m_agents, m_counters)
    , m_jobs(loop, m_clock, m_settings, m_control, m_agents, m_peers, m_log, m_counters)
    , m_controlHttp(m_control, m_agents, m_settings)
    , m_peerListener(loop, m_clock, m_agents, m_peers, m_counters)
    , m_upkeepTimer(loop)
    , m_drainTimer(loop)
    , m_server(loop,
          [this](HttpRequest request, const Responder& responder) { handleRequest(std::move(request), responder); })
{
}

EntryNode::~EntryNode() = default;

Result<void> EntryNode::start()
{
    BOOST_LEAF_CHECK(m_peerListener.listen(m_settings.peerAddress));
    BOOST_LEAF_CHECK(m_server.listen(m_settings.httpAddress));
    m_agents.addHandler(m_control);
    m_agents.addHandler(m_requests);
    m_agents.addHandler(m_jobs);
    startPeers();
    m_control.start([this] {
        for (const ShardOwnership& owned : m_jobs.owned()) {
            if (owned.shard == 0)
                return true;
        }
        return false;
    });
    m_jobs.start();
    m_upkeepTimer.startRepeating(upkeepInterval, [this] { upkeep(); });
    return {};
}

void EntryNode::startPeers()
{
    m_peers.start({
        [this] { return makePing(); },
        [this] { return m_control.stateReply(); },
        [this](const Forward& request, std::function<void(ForwardReply)> reply) {
            m_jobs.handleForwarded(request, std::move(reply));
        },
    });
}

PeerPing EntryNode::makePing() const
{
    PeerPing ping;
    ping.serving = m_control.isServing();
    ping.leaving = m_draining;
    ping.controlOffset = m_control.state().nextOffset();
    ping.homeAgentsOffset = ping.controlOffset;
    for (const auto& [host, agent] : m_agents.agents()) {
        if (agent.last.home)
            ping.homeAgentsOffset = std::min(ping.homeAgentsOffset, agent.last.controlOffset);
    }
    ping.owned = m_jobs.owned();
    return ping;
}

void EntryNode::upkeep()
{
    m_agents.dropSilent(2 * m_settings.keepalive);
    m_counters.set("requests_open", openRequests());
}

void EntryNode::handleRequest(HttpRequest request, const Responder& responder)
{
    m_lastRequestAt = m_clock.now();
    const std::vector<std::string> path = pathSegments(request.path);
    const std::string first = path.empty() ? std::string() : path[0];
    if (first == "health")
        return responder->reply(health());
    if (first == "status")
        return responder->reply(status());
    if (first == "metrics")
        return responder->reply(metrics());
    if (first == "catalogue" || first == "datacentres")
        return m_controlHttp.handle(request, replyTo(responder, m_openOperations));
    const bool isCall = first == "call";
    if (!isCall && first != "jobs")
        return responder->reply(errorResponse({ ErrorKind::NotFound, "no such path: " + request.path }));
    if (!m_control.isServing())
        return responder->reply(
            errorResponse({ ErrorKind::NotReady, "this entry has not read the configuration yet" }));
    if (isCall)
        return m_requests.handle(std::move(request), responder);
    m_jobs.handle(request, replyTo(responder, m_openOperations));
}

HttpResponse EntryNode::health() const
{
    if (m_draining)
        return errorResponse({ ErrorKind::Leaving, "this entry is stopping" });
    if (!m_control.isServing())
        return errorResponse({ ErrorKind::NotReady, "this entry has not read the configuration yet" });
    return jsonResponse(200, "{\"status\":\"serving\"}\n");
}

HttpResponse EntryNode::status() const
{
    const Instant now = m_clock.now();
    const Json body { { "entry", m_settings.name }, { "data_centre", m_settings.dataCentre },
        { "region", m_settings.region }, { "uptime_ms", now - m_startedAt }, { "leaving", m_draining },
        { "control", m_control.status() }, { "agents", agentsStatus(m_agents, now) },
        { "peers", peersStatus(m_peers, m_settings.ownerTimeout, now) }, { "requests", m_requests.status() },
        { "jobs", m_jobs.status() } };
    return jsonResponse(200, jsonText(body) + "\n");
}

HttpResponse EntryNode::metrics()
{
    m_counters.set("requests_open", openRequests());
    Traffic::instance().publish(m_counters);
    return textResponse(200, m_counters.text());
}

void EntryNode::drain()
{
    m_draining = true;
    LogEvent(LogLevel::Info, "draining").field("requests_open", openRequests());
    m_server.closeAfterReply();
    m_peers.pingNow();
    m_drainTimer.startOnce(m_settings.drain, [this] { stopAccepting(); });
}

void EntryNode::stopAccepting()
{
    m_server.stopAccepting();
    m_drainTimer.startRepeating(drainCheckInterval, [this] { finishIfIdle(); });
}

int64_t EntryNode::openRequests() const { return static_cast<int64_t>(m_requests.inFlight()) + *m_openOperations; }

void EntryNode::finishIfIdle()
{
    if (openRequests() > 0 || m_clock.now() - m_lastRequestAt < minIdleTime)
        return;
    m_drainTimer.cancel();
    m_jobs.release(releaseTimeout, [this] {
        LogEvent(LogLevel::Info, "drained").field("entry", m_settings.name);
        m_loop.stop();
    });
}

} // namespace hemlocklead
