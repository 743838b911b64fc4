#pragma once

#include "entry/AgentHub.h"
#include "entry/ControlView.h"
#include "entry/EntrySettings.h"
#include "transport/HttpServer.h"

#include <memory>

namespace hemlocklead {

/// Requests of callers to `/call/NAME/PATH`: admission, choice of target, retries, hedges, whole answers.
class RequestService final : public AgentHandler {
public:
    RequestService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
        AgentHub& agents, Counters& counters);
    ~RequestService() override;

    /// Answers one request whose path begins with `/call/`.
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

    /// Requests not answered yet.
    size_t inFlight() const;

    /// Targets, queues and ejections for `/status`.
    Json status() const;

    void agentConnected(const std::string& host) override;
    void agentGone(const std::string& host) override;
    void agentMessage(const std::string& host, const Message& message) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
