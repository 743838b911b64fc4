#pragma once

#include "base/Clock.h"
#include "base/Counters.h"
#include "transport/FrameListener.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlocklead {

/// What an entry knows about one agent.
struct AgentView {
    Hello identity;
    Keepalive last; ///< Last keepalive, with `attempts` and `interference` left to the handlers.
    Stamp stamp; ///< Newest stamp received in any message.
    Instant heardAt; ///< Time of the last message.
    bool leaving { false };
};

/// Takes part in the traffic with agents.
class AgentHandler {
public:
    virtual ~AgentHandler() = default;
    virtual void agentConnected(const std::string& host) = 0;

    /// The connection is gone; messages sent and not answered may or may not have arrived.
    virtual void agentGone(const std::string& host) = 0;

    /// Every message of the agent but Hello, after the view has been updated. Each handler takes the types it knows.
    virtual void agentMessage(const std::string& host, const Message& message) = 0;
};

/// The connections of this entry's agents. A second connection of a host replaces the first.
class AgentHub {
public:
    AgentHub(EventLoop& loop, const Clock& clock, Counters& counters);
    ~AgentHub();

    /// Handlers are called in the order in which they were added and outlive the hub.
    void addHandler(AgentHandler& handler);

    /// Takes over a connection whose first message was `hello`.
    void adopt(const Hello& hello, std::unique_ptr<FrameConnection> connection);

    const std::map<std::string, AgentView, std::less<>>& agents() const { return m_views; }

    /// View of the agent, or null when it is not connected.
    const AgentView* find(std::string_view host) const;

    /// Sends to the agent; false when it is not connected (then provably not sent).
    bool send(std::string_view host, const Message& message);

    /// Closes connections that were silent for longer than `timeout`.
    void dropSilent(Duration timeout);

private:
    struct Link;

    void received(const std::string& host, Link& link, const Message& message);
    void closed(const std::string& host, const Link* link);

    const Clock& m_clock;
    Counters& m_counters;
    std::vector<AgentHandler*> m_handlers;
    std::map<std::string, AgentView, std::less<>> m_views;
    std::map<std::string, std::unique_ptr<Link>, std::less<>> m_links;
    std::vector<std::unique_ptr<Link>> m_retired; ///< Closed links, destroyed outside their own callbacks.
    Timer m_retireTimer;
};

} // namespace hemlocklead
