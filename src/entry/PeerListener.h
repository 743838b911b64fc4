#pragma once

#include "entry/AgentHub.h"
#include "entry/PeerHub.h"

#include <memory>
#include <vector>

namespace hemlocklead {

/// Accepts connections on the peer address. The first message decides whose connection it is: Hello makes it an
/// agent's, PeerPing, StateRequest or Forward a peer entry's. Another first message, or none within 10 s, closes it.
class PeerListener {
public:
    PeerListener(EventLoop& loop, const Clock& clock, AgentHub& agents, PeerHub& peers, Counters& counters);
    ~PeerListener();

    /// Binds and listens; fails with `InvalidSettings`.
    Result<void> listen(const Address& address);

    /// Stops accepting.
    void close();

private:
    struct Pending;

    void accepted(std::unique_ptr<FrameConnection> connection);
    void receivedFirst(Pending* pending, const Message& message);
    void drop(const Pending* pending);
    std::unique_ptr<Pending> take(const Pending* pending);
    void sweep();

    const Clock& m_clock;
    AgentHub& m_agents;
    PeerHub& m_peers;
    Counters& m_counters;
    FrameListener m_listener;
    std::vector<std::unique_ptr<Pending>> m_pending; ///< Connections without a first message.
    std::vector<std::unique_ptr<Pending>> m_retired; ///< Destroyed outside their own callbacks.
    Timer m_sweepTimer;
};

} // namespace hemlocklead
