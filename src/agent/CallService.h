#pragma once

#include "agent/AgentControl.h"
#include "agent/EntryLinks.h"
#include "transport/HttpServer.h"

#include <functional>
#include <memory>

namespace hemlocklead {

/// Gate in front of the targets on this host: announcements, slots, queue, whole answers.
class CallService final : public EntryHandler {
public:
    using OnLatency = std::function<void(const std::string& service, int64_t latencyUs)>;

    CallService(EventLoop& loop, const Clock& clock, const AgentSettings& settings, const AgentControl& control,
        EntryLinks& links, Counters& counters, OnLatency onLatency);
    ~CallService() override;

    /// Announcement or withdrawal of a target: `PUT` or `DELETE /targets/SERVICE/INSTANCE`.
    HttpResponse handleAnnouncement(const HttpRequest& request);

    /// Refuses new calls as not run; `done` once the calls in flight have ended or `timeout` has passed.
    void drain(Duration timeout, std::function<void()> done);

    void fillKeepalive(size_t entry, Keepalive& keepalive) override;
    void entryMessage(size_t entry, const Message& message) override;
    void entryGone(size_t entry) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
