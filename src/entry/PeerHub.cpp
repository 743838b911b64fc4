#include "entry/PeerHub.h"

#include "base/Log.h"
#include "protocol/ErrorTable.h"

#include <algorithm>
#include <random>

namespace hemlocklead {

namespace {

    constexpr Duration pingInterval { 500 };

    /// A connection on which nothing was received for this long is closed: it is half open, or the peer's process is
    /// paused. Connections that a peer opened are closed after twice this time.
    constexpr Duration silenceTimeout { 3000 };

    ForwardReply failedForward(uint64_t id, ErrorKind kind, const std::string& message)
    {
        const ErrorMapping& answer = errorMapping(kind);
        return { id, answer.status, errorBody({ kind, message }, {}), std::string(outcomeName(answer.outcome)) };
    }

    uint64_t randomNumber()
    {
        std::random_device source;
        return static_cast<uint64_t>(source()) << 32 | source();
    }

} // namespace

/// Implementation of PeerHub: connections, pings and pending requests.
class PeerHub::Core : public std::enable_shared_from_this<PeerHub::Core> {
public:
    Core(EventLoop& loop, const Clock& clock, const EntrySettings& settings, Counters& counters);

    void start(Handlers handlers);
    void adopt(const Message& first, std::unique_ptr<FrameConnection> connection);
    std::vector<PeerView> livePeers(Duration within) const;
    const PeerView* ownerOf(uint32_t shard, Duration within) const;
    void forward(const std::string& entry, Forward request, Duration timeout, ForwardCallback done);
    void requestState(Duration timeout, std::function<void(std::optional<StateReply>)> done);
    void pingAll();

private:
    /// The connection that this entry opens to one address in `EntrySettings::peers`.
    struct Outgoing {
        Address address;
        std::unique_ptr<FrameConnection> connection;
        Instant heardAt;
        std::string entry; ///< Name of the peer; empty until it has answered a ping on this connection.
    };

    /// A connection that a peer opened.
    struct Incoming {
        std::shared_ptr<FrameConnection> connection;
        Instant heardAt;
    };

    struct PendingForward {
        uint64_t callerId { 0 }; ///< Id of the caller's request, which its reply gets again.
        const Outgoing* link { nullptr }; ///< Null if the peer was not connected.
        std::unique_ptr<Timer> timer;
        ForwardCallback done;
    };

    /// A pending request for the control state of all peers.
    struct StateQuery {
        size_t missingReplies { 0 };
        std::optional<StateReply> best; ///< From a serving peer, with the highest offset so far.
        std::unique_ptr<Timer> timer;
        std::function<void(std::optional<StateReply>)> done;
    };

    void tick();
    void connect(Outgoing& link);
    void disconnect(Outgoing& link);
    void dropSilent();
    void pingOne(const Outgoing& link, const PeerPing& ping);
    void handleReply(Outgoing& link, const Message& message);
    void handleRequest(uint64_t id, const Message& message);
    void runForward(const Incoming& link, const Forward& request);
    void finishForward(uint64_t id, ForwardReply reply);
    void handleStateReply(const StateReply& reply);
    void finishStateQuery(uint64_t sequence);
    void retire(std::shared_ptr<FrameConnection> connection);
    Outgoing* linkTo(std::string_view entry);

    EventLoop& m_loop;
    const Clock& m_clock;
    const EntrySettings& m_settings;
    Counters& m_counters;
    Handlers m_handlers;
    uint64_t m_incarnation;
    uint64_t m_pingSequence { 0 };
    uint64_t m_nextId { 1 };
    std::vector<std::unique_ptr<Outgoing>> m_outgoing;
    std::map<uint64_t, Incoming> m_incoming;
    std::map<std::string, PeerView, std::less<>> m_peers;
    std::map<uint64_t, PendingForward> m_forwards;
    std::map<uint64_t, StateQuery> m_queries;
    std::vector<std::shared_ptr<FrameConnection>> m_retired; ///< Closed. Destroyed later, outside their own callbacks.
    Timer m_pingTimer;
    Timer m_retireTimer;
};

PeerHub::Core::Core(EventLoop& loop, const Clock& clock, const EntrySettings& settings, Counters& counters)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_counters(counters)
    , m_incarnation(randomNumber())
    , m_pingTimer(loop)
    , m_retireTimer(loop)
{
}

void PeerHub::Core::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    for (const Address& address : m_settings.peers) {
        m_outgoing.push_back(std::make_unique<Outgoing>());
        m_outgoing.back()->address = address;
    }
    m_pingTimer.startRepeating(pingInterval, [this] { tick(); });
    tick();
}

void PeerHub::Core::tick()
{
    dropSilent();
    for (const auto& link : m_outgoing) {
        if (!link->connection)
            connect(*link);
    }
    pingAll();
}

void PeerHub::Core::connect(Outgoing& link)
{
    link.heardAt = m_clock.now();
    link.entry.clear();
    link.connection = std::make_unique<FrameConnection>(m_loop, link.address);
    link.connection->setCallbacks({
        [this, &link](const Message& message) { handleReply(link, message); },
        [this, &link] { disconnect(link); },
    });
}

void PeerHub::Core::disconnect(Outgoing& link)
{
    if (!link.entry.empty())
        LogEvent(LogLevel::Info, "peer_disconnected").field("peer", link.entry);
    link.entry.clear();
    retire(std::move(link.connection));
    std::vector<uint64_t> interrupted;
    for (const auto& [id, pending] : m_forwards) {
        if (pending.link == &link)
            interrupted.push_back(id);
    }
    for (const uint64_t id : interrupted)
        finishForward(id, failedForward(id, ErrorKind::OutcomeUnknown, "the connection to the owner broke"));
}

void PeerHub::Core::dropSilent()
{
    const Instant now = m_clock.now();
    for (const auto& link : m_outgoing) {
        if (link->connection && now - link->heardAt > silenceTimeout)
            disconnect(*link);
    }
    for (auto link = m_incoming.begin(); link != m_incoming.end();) {
        const bool silent = now - link->second.heardAt > 2 * silenceTimeout;
        if (silent)
            retire(std::move(link->second.connection));
        link = silent ? m_incoming.erase(link) : std::next(link);
    }
}

void PeerHub::Core::retire(std::shared_ptr<FrameConnection> connection)
{
    if (!connection)
        return;
    connection->setCallbacks({});
    m_retired.push_back(std::move(connection));
    m_retireTimer.startOnce(Duration { 0 }, [this] { m_retired.clear(); });
}

void PeerHub::Core::pingAll()
{
    PeerPing ping = m_handlers.makePing ? m_handlers.makePing() : PeerPing {};
    ping.entry = m_settings.name;
    ping.address = m_settings.peerAddress.text();
    ping.incarnation = m_incarnation;
    ping.sequence = ++m_pingSequence;
    for (const auto& link : m_outgoing)
        pingOne(*link, ping);
}

void PeerHub::Core::pingOne(const Outgoing& link, const PeerPing& ping)
{
    if (link.connection)
        link.connection->send(ping);
}

void PeerHub::Core::handleReply(Outgoing& link, const Message& message)
{
    link.heardAt = m_clock.now();
    if (const auto* pong = std::get_if<PeerPong>(&message)) {
        if (link.entry.empty())
            LogEvent(LogLevel::Info, "peer_connected").field("peer", pong->entry);
        link.entry = pong->entry;
        return;
    }
    if (const auto* reply = std::get_if<ForwardReply>(&message)) {
        finishForward(reply->id, *reply);
        return;
    }
    if (const auto* reply = std::get_if<StateReply>(&message)) {
        handleStateReply(*reply);
        return;
    }
    m_counters.add("unexpected_messages");
}

void PeerHub::Core::adopt(const Message& first, std::unique_ptr<FrameConnection> connection)
{
    const uint64_t id = m_nextId++;
    connection->setCallbacks({
        [this, id](const Message& message) { handleRequest(id, message); },
        [this, id] {
            retire(m_incoming.at(id).connection);
            m_incoming.erase(id);
        },
    });
    m_incoming.emplace(id, Incoming { std::move(connection), m_clock.now() });
    handleRequest(id, first);
}

void PeerHub::Core::handleRequest(uint64_t id, const Message& message)
{
    const auto found = m_incoming.find(id);
    if (found == m_incoming.end())
        return;
    Incoming& link = found->second;
    link.heardAt = m_clock.now();
    if (const auto* ping = std::get_if<PeerPing>(&message)) {
        m_peers.insert_or_assign(ping->entry, PeerView { *ping, link.heardAt });
        link.connection->send(PeerPong { m_settings.name, ping->sequence });
        return;
    }
    if (const auto* request = std::get_if<StateRequest>(&message)) {
        StateReply reply = m_handlers.makeState ? m_handlers.makeState() : StateReply {};
        reply.sequence = request->sequence;
        link.connection->send(reply);
        return;
    }
    if (const auto* request = std::get_if<Forward>(&message)) {
        runForward(link, *request);
        return;
    }
    m_counters.add("unexpected_messages");
}

void PeerHub::Core::runForward(const Incoming& link, const Forward& request)
{
    const uint64_t id = request.id;
    if (!m_handlers.onForward) {
        link.connection->send(failedForward(id, ErrorKind::NotReady, "this entry is starting"));
        return;
    }
    const std::weak_ptr<FrameConnection> connection = link.connection;
    m_handlers.onForward(request, [connection, id](ForwardReply reply) {
        reply.id = id;
        if (const auto open = connection.lock())
            open->send(reply);
    });
}

std::vector<PeerView> PeerHub::Core::livePeers(Duration within) const
{
    std::vector<PeerView> live;
    for (const auto& [name, view] : m_peers) {
        if (m_clock.now() - view.heardAt <= within)
            live.push_back(view);
    }
    return live;
}

const PeerView* PeerHub::Core::ownerOf(uint32_t shard, Duration within) const
{
    const PeerView* owner = nullptr;
    uint64_t highestEpoch = 0;
    for (const auto& [name, view] : m_peers) {
        if (m_clock.now() - view.heardAt > within)
            continue;
        for (const ShardOwnership& owned : view.last.owned) {
            if (owned.shard != shard || (owner && owned.epoch <= highestEpoch))
                continue;
            owner = &view;
            highestEpoch = owned.epoch;
        }
    }
    return owner;
}

PeerHub::Core::Outgoing* PeerHub::Core::linkTo(std::string_view entry)
{
    for (const auto& link : m_outgoing) {
        if (link->connection && link->entry == entry)
            return link.get();
    }
    return nullptr;
}

void PeerHub::Core::forward(const std::string& entry, Forward request, Duration timeout, ForwardCallback done)
{
    const uint64_t id = m_nextId++;
    Outgoing* link = linkTo(entry);
    PendingForward pending { request.id, link, std::make_unique<Timer>(m_loop), std::move(done) };
    const ErrorKind timerError = link ? ErrorKind::OutcomeUnknown : ErrorKind::NotOwner;
    const std::string message = link ? "the owner did not answer in time" : "the owner is not connected";
    pending.timer->startOnce(link ? timeout : Duration { 0 },
        [this, id, timerError, message] { finishForward(id, failedForward(id, timerError, message)); });
    m_forwards.emplace(id, std::move(pending));
    request.id = id;
    if (link)
        link->connection->send(request);
}

void PeerHub::Core::finishForward(uint64_t id, ForwardReply reply)
{
    auto node = m_forwards.extract(id);
    if (node.empty())
        return;
    reply.id = node.mapped().callerId;
    node.mapped().done(std::move(reply));
}

void PeerHub::Core::requestState(Duration timeout, std::function<void(std::optional<StateReply>)> done)
{
    const uint64_t sequence = m_nextId++;
    StateQuery query { 0, std::nullopt, std::make_unique<Timer>(m_loop), std::move(done) };
    for (const auto& link : m_outgoing) {
        if (!link->connection)
            continue;
        link->connection->send(StateRequest { sequence });
        ++query.missingReplies;
    }
    const Duration wait = query.missingReplies == 0 ? Duration { 0 } : timeout;
    query.timer->startOnce(wait, [this, sequence] { finishStateQuery(sequence); });
    m_queries.emplace(sequence, std::move(query));
}

void PeerHub::Core::handleStateReply(const StateReply& reply)
{
    const auto found = m_queries.find(reply.sequence);
    if (found == m_queries.end())
        return;
    StateQuery& query = found->second;
    if (reply.serving && (!query.best || reply.offset > query.best->offset))
        query.best = reply;
    if (--query.missingReplies == 0)
        finishStateQuery(reply.sequence);
}

void PeerHub::Core::finishStateQuery(uint64_t sequence)
{
    auto node = m_queries.extract(sequence);
    if (!node.empty())
        node.mapped().done(std::move(node.mapped().best));
}

PeerHub::PeerHub(EventLoop& loop, const Clock& clock, const EntrySettings& settings, Counters& counters)
    : m_core(std::make_shared<Core>(loop, clock, settings, counters))
{
}

PeerHub::~PeerHub() = default;

void PeerHub::start(Handlers handlers) { m_core->start(std::move(handlers)); }

void PeerHub::adopt(const Message& first, std::unique_ptr<FrameConnection> connection)
{
    m_core->adopt(first, std::move(connection));
}

std::vector<PeerView> PeerHub::livePeers(Duration within) const { return m_core->livePeers(within); }

const PeerView* PeerHub::ownerOf(uint32_t shard, Duration within) const { return m_core->ownerOf(shard, within); }

void PeerHub::forward(const std::string& entry, Forward request, Duration timeout, ForwardCallback done)
{
    m_core->forward(entry, std::move(request), timeout, std::move(done));
}

void PeerHub::requestState(Duration timeout, std::function<void(std::optional<StateReply>)> done)
{
    m_core->requestState(timeout, std::move(done));
}

void PeerHub::pingNow() { m_core->pingAll(); }

} // namespace hemlocklead
