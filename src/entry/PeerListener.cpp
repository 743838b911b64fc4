#include "entry/PeerListener.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr Duration sweepInterval { 1000 };
    constexpr Duration firstMessageTimeout { 10'000 };

    bool isPeerMessage(const Message& message)
    {
        return std::holds_alternative<PeerPing>(message) || std::holds_alternative<StateRequest>(message)
            || std::holds_alternative<Forward>(message);
    }

} // namespace

/// A connection whose first message has not been received yet.
struct PeerListener::Pending {
    std::unique_ptr<FrameConnection> connection;
    Instant acceptedAt;
};

PeerListener::PeerListener(EventLoop& loop, const Clock& clock, AgentHub& agents, PeerHub& peers, Counters& counters)
    : m_clock(clock)
    , m_agents(agents)
    , m_peers(peers)
    , m_counters(counters)
    , m_listener(loop, [this](std::unique_ptr<FrameConnection> connection) { handleAccepted(std::move(connection)); })
    , m_sweepTimer(loop)
{
}

PeerListener::~PeerListener() = default;

Result<void> PeerListener::listen(const Address& address)
{
    m_sweepTimer.startRepeating(sweepInterval, [this] { sweep(); });
    return m_listener.listen(address);
}

void PeerListener::close() { m_listener.close(); }

void PeerListener::handleAccepted(std::unique_ptr<FrameConnection> connection)
{
    auto pending = std::make_unique<Pending>(Pending { std::move(connection), m_clock.now() });
    Pending* key = pending.get();
    key->connection->setCallbacks({
        [this, key](const Message& message) { handleFirstMessage(key, message); },
        [this, key] { drop(key); },
    });
    m_pending.push_back(std::move(pending));
}

void PeerListener::handleFirstMessage(Pending* pending, const Message& message)
{
    const std::unique_ptr<Pending> taken = take(pending);
    if (const auto* hello = std::get_if<Hello>(&message); hello && !hello->host.empty()) {
        m_agents.adopt(*hello, std::move(taken->connection));
        return;
    }
    if (isPeerMessage(message)) {
        m_peers.adopt(message, std::move(taken->connection));
        return;
    }
    m_counters.add("unexpected_messages");
    LogEvent(LogLevel::Warning, "connection_rejected").field("reason", "unexpected first message");
    // `taken` destroys the connection here, in its own message callback, which FrameConnection allows.
}

void PeerListener::drop(const Pending* pending) { m_retired.push_back(take(pending)); }

std::unique_ptr<PeerListener::Pending> PeerListener::take(const Pending* pending)
{
    const auto found = std::ranges::find_if(m_pending, [&](const auto& each) { return each.get() == pending; });
    std::unique_ptr<Pending> taken = std::move(*found);
    m_pending.erase(found);
    return taken;
}

void PeerListener::sweep()
{
    m_retired.clear();
    const Instant now = m_clock.now();
    std::erase_if(m_pending, [&](const auto& each) { return now - each->acceptedAt > firstMessageTimeout; });
}

} // namespace hemlocklead
