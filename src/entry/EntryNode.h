#pragma once

#include "entry/ControlHttp.h"
#include "entry/ControlService.h"
#include "entry/JobService.h"
#include "entry/PeerListener.h"
#include "entry/RequestService.h"
#include "transport/LogHttpClient.h"

namespace hemlocklead {

/// Owns the components of an entry, starts them and stops them in order.
class EntryNode {
public:
    EntryNode(EventLoop& loop, const EntrySettings& settings);
    ~EntryNode();

    /// Listens and starts serving; fails with `InvalidSettings` when an address cannot be bound.
    Result<void> start();

    /// Begins the planned stop of design section 9. The event loop stops once no request is in flight and the shards
    /// have been released.
    void drain();

    bool isDraining() const { return m_draining; }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    void handleRequest(HttpRequest request, const Responder& responder);
    HttpResponse health() const;
    HttpResponse status() const;
    HttpResponse metrics();
    PeerPing makePing() const;
    void startPeers();
    void upkeep();
    void stopAccepting();
    int64_t openRequests() const;
    void finishIfIdle();

    EventLoop& m_loop;
    SystemClock m_clock;
    EntrySettings m_settings;
    Instant m_startedAt;
    Counters m_counters;
    LogHttpClient m_log;
    AgentHub m_agents;
    PeerHub m_peers;
    ControlService m_control;
    RequestService m_requests;
    JobService m_jobs;
    ControlHttp m_controlHttp;
    PeerListener m_peerListener;
    Timer m_upkeepTimer;
    Timer m_drainTimer;
    /// Number of requests on jobs and the configuration without a response yet.
    std::shared_ptr<int64_t> m_openOperations { std::make_shared<int64_t>(0) };
    Instant m_lastRequestAt;
    bool m_draining { false };
    HttpServer m_server; ///< Last, so that no responder outlives a component that uses it.
};

} // namespace hemlocklead
