#pragma once

#include "entry/AgentHub.h"
#include "entry/PeerHub.h"

#include <memory>
#include <vector>

namespace hemlocklead {

/// Accepts connections on the peer address and passes each to the hub that its first message belongs to: AgentHub for
/// Hello with a host name; PeerHub for PeerPing, StateRequest and Forward. A connection with another first message, or
/// with none within 10 s, is closed.
class PeerListener {
public:
    PeerListener(EventLoop& loop, const Clock& clock, AgentHub& agents, PeerHub& peers, Counters& counters);
    ~PeerListener();

    /// Binds and listens. Fails with `InvalidSettings`.
    Result<void> listen(const Address& address);

    /// Stops accepting connections.
    void close();

private:
    struct Pending;

    void handleAccepted(std::unique_ptr<FrameConnection> connection);
    void handleFirstMessage(Pending* pending, const Message& message);
    void drop(const Pending* pending);
    std::unique_ptr<Pending> take(const Pending* pending);

    /// Destroys closed connections and closes those without a first message in time.
    void sweep();

    const Clock& m_clock;
    AgentHub& m_agents;
    PeerHub& m_peers;
    Counters& m_counters;
    FrameListener m_listener;
    std::vector<std::unique_ptr<Pending>> m_pending; ///< Connections whose first message has not been received yet.
    std::vector<std::unique_ptr<Pending>> m_retired; ///< Closed. Destroyed later, outside their own callbacks.
    Timer m_sweepTimer;
};

} // namespace hemlocklead
