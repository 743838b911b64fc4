#pragma once

#include "agent/AgentControl.h"
#include "agent/EntryLinks.h"
#include "transport/HttpServer.h"

#include <functional>
#include <memory>

namespace hemlocklead {

/// Handles announcements of the targets on this host and the calls to them: connects `CallGate` to the links to
/// entries, the HTTP clients and the timers.
class CallService final : public EntryHandler {
public:
    using OnLatency = std::function<void(const std::string& service, int64_t latencyUs)>;

    CallService(EventLoop& loop, const Clock& clock, const AgentSettings& settings, const AgentControl& control,
        EntryLinks& links, Counters& counters, OnLatency onLatency);
    ~CallService() override;

    /// Handles `PUT` (announce) and `DELETE` (withdraw) of `/targets/SERVICE/INSTANCE`.
    HttpResponse handleAnnouncement(const HttpRequest& request);

    /// Refuses queued and new calls as not run. Calls `done` once the calls at targets have ended or `timeout` has
    /// passed.
    void drain(Duration timeout, std::function<void()> done);

    void fillKeepalive(size_t entry, Keepalive& keepalive) override;
    void entryMessage(size_t entry, const Message& message) override;
    void entryGone(size_t entry) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
