#pragma once

#include "entry/AgentHub.h"
#include "entry/ControlView.h"
#include "entry/EntrySettings.h"
#include "transport/HttpServer.h"

#include <memory>

namespace hemlocklead {

/// Serves callers' requests to `/call/NAME/PATH`: connects a CallRouter to the HTTP server, the agents and a timer.
class RequestService final : public AgentHandler {
public:
    RequestService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
        AgentHub& agents, Counters& counters);
    ~RequestService() override;

    /// Handles a request whose path begins with `/call/`.
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

    /// Number of requests without a response yet.
    size_t inFlight() const;

    /// Targets, their ejection and the admission queues, for `/status`.
    Json status() const;

    void agentConnected(const std::string& host) override;
    void agentGone(const std::string& host) override;
    void agentMessage(const std::string& host, const Message& message) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
