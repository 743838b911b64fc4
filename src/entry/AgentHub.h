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

/// State of one connected agent as known to the entry.
struct AgentView {
    Hello identity;
    Keepalive last; ///< Last keepalive, without `attempts` and `interference`, which only the handlers get.
    Stamp stamp; ///< Newest stamp received in any message.
    Instant heardAt; ///< Time at which the last message was received.
    bool leaving { false };
};

/// Interface through which AgentHub reports connections and messages of agents.
class AgentHandler {
public:
    virtual ~AgentHandler() = default;
    virtual void agentConnected(const std::string& host) = 0;

    /// The connection was closed. Messages that were sent and not answered may or may not have arrived.
    virtual void agentGone(const std::string& host) = 0;

    /// Called with each message of the agent except Hello, after its AgentView was updated. Each handler ignores the
    /// types that it doesn't process.
    virtual void agentMessage(const std::string& host, const Message& message) = 0;
};

/// Manages the connections of agents to this entry. A new connection of a host replaces the earlier one.
class AgentHub {
public:
    AgentHub(EventLoop& loop, const Clock& clock, Counters& counters);
    ~AgentHub();

    /// Handlers are called in the order in which they were added, and must outlive the hub.
    void addHandler(AgentHandler& handler);

    /// Takes over a connection whose first message was `hello`.
    void adopt(const Hello& hello, std::unique_ptr<FrameConnection> connection);

    const std::map<std::string, AgentView, std::less<>>& agents() const { return m_views; }

    /// Null if the agent is not connected.
    const AgentView* find(std::string_view host) const;

    /// Sends to the agent. False if it is not connected; then the message was provably not sent.
    bool send(std::string_view host, const Message& message);

    /// Closes the connections on which no message was received for longer than `timeout`.
    void dropSilent(Duration timeout);

private:
    struct Link;

    void handleMessage(const std::string& host, Link& link, const Message& message);
    void handleClosed(const std::string& host, const Link* link);

    const Clock& m_clock;
    Counters& m_counters;
    std::vector<AgentHandler*> m_handlers;
    std::map<std::string, AgentView, std::less<>> m_views;
    std::map<std::string, std::unique_ptr<Link>, std::less<>> m_links;
    std::vector<std::unique_ptr<Link>> m_retired; ///< Closed links. Destroyed later, outside their own callbacks.
    Timer m_retireTimer;
};

} // namespace hemlocklead
