#include "agent/EntryLinks.h"

#include "base/Log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <random>

namespace hemlocklead {

namespace {

    constexpr Duration tickInterval { 100 };
    constexpr Duration minBackoff { 100 };
    constexpr Duration maxBackoff { 3000 };

    /// An entry with an older control view cannot bring configuration changes to this agent within their bound of 4 s.
    constexpr Duration maxHomeViewAge { 1500 };

    /// Time for which an entry is avoided as home entry after a missing reply or an old control view.
    constexpr Duration homeAvoidanceTime { 10'000 };

    /// A connection is closed after more than this many keepalive intervals without a reply.
    constexpr int maxIntervalsWithoutReply = 3;

    /// Jitter of intervals in percent. Spreads the reconnects of a thousand agents that have lost the same entry.
    constexpr int jitterPercent = 10;

    uint64_t randomIncarnation()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32 | device()) | 1;
    }

} // namespace

class EntryLinks::Core {
public:
    Core(EventLoop& loop, const Clock& clock, const AgentSettings& settings, Counters& counters);

    void start();
    bool send(size_t entry, const Message& message);
    void sendKeepalive(size_t entry);

    /// Whether the entry has replied on its current connection.
    bool isConnected(size_t entry) const { return m_links[entry].connection && m_links[entry].answered; }
    Stamp stamp() const { return { m_incarnation, m_clock.now().time_since_epoch().count() }; }

    std::vector<EntryHandler*> handlers;

    uint64_t incarnation() const { return m_incarnation; }
    size_t count() const { return m_links.size(); }

private:
    struct Link {
        Address address;
        uint64_t rank { 0 }; ///< Rendezvous hash of host and entry; the highest one is preferred.
        std::unique_ptr<FrameConnection> connection;
        Instant nextConnectAt;
        Duration backoff { minBackoff };
        Instant nextKeepaliveAt;
        Instant lastReplyAt; ///< Time of the last reply to a keepalive, or of connecting.
        Instant homeSince; ///< When this became the home entry; before that, replies were due at the longer interval.
        bool answered { false }; ///< A keepalive reply has arrived on this connection.
        bool fullSent { false };
        Instant avoidAsHomeUntil; ///< Ranks last as home entry until then.
    };

    void tick();
    void tickLink(size_t entry);
    void connect(size_t entry);
    void handleClosed(size_t entry);
    void handleMessage(size_t entry, const Message& message);
    void handleReply(size_t entry, const KeepaliveReply& reply);
    void chooseHome();
    void avoidAsHome(size_t entry, std::string_view reason);
    Duration interval(size_t entry) const;

    /// Time since the last reply; for the home entry counted at the earliest from when it became home.
    Duration timeWithoutReply(size_t entry) const;
    Duration jittered(Duration duration);

    EventLoop& m_loop;
    const Clock& m_clock;
    const AgentSettings& m_settings;
    Counters& m_counters;
    uint64_t m_incarnation { randomIncarnation() };
    std::minstd_rand m_random { static_cast<uint32_t>(m_incarnation) };
    std::vector<Link> m_links;
    /// Destroyed by the next tick, not within their own callbacks.
    std::vector<std::unique_ptr<FrameConnection>> m_closedConnections;
    std::optional<size_t> m_home;
    Timer m_tickTimer;
};

EntryLinks::Core::Core(EventLoop& loop, const Clock& clock, const AgentSettings& settings, Counters& counters)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_counters(counters)
    , m_tickTimer(loop)
{
    for (const Address& address : settings.entries) {
        const std::string hashInput = settings.host + '\n' + address.text();
        Link link;
        link.address = address;
        link.rank = XXH3_64bits(hashInput.data(), hashInput.size());
        m_links.push_back(std::move(link));
    }
}

void EntryLinks::Core::start()
{
    for (size_t entry = 0; entry < m_links.size(); ++entry)
        connect(entry);
    m_tickTimer.startRepeating(tickInterval, [this] { tick(); });
}

void EntryLinks::Core::tick()
{
    m_closedConnections.clear();
    chooseHome();
    for (size_t entry = 0; entry < m_links.size(); ++entry)
        tickLink(entry);
}

void EntryLinks::Core::tickLink(size_t entry)
{
    Link& link = m_links[entry];
    const Instant now = m_clock.now();
    if (!link.connection) {
        if (now >= link.nextConnectAt)
            connect(entry);
        return;
    }
    if (timeWithoutReply(entry) > interval(entry) * maxIntervalsWithoutReply) {
        m_counters.add("entry_links_silent");
        m_closedConnections.push_back(std::move(link.connection));
        handleClosed(entry);
        return;
    }
    if (now >= link.nextKeepaliveAt)
        sendKeepalive(entry);
}

void EntryLinks::Core::connect(size_t entry)
{
    Link& link = m_links[entry];
    link.lastReplyAt = m_clock.now();
    link.nextKeepaliveAt = m_clock.now();
    link.answered = false;
    link.fullSent = false;
    link.connection = std::make_unique<FrameConnection>(m_loop, link.address);
    link.connection->setCallbacks({
        [this, entry](const Message& message) { handleMessage(entry, message); },
        [this, entry] {
            m_closedConnections.push_back(std::move(m_links[entry].connection));
            handleClosed(entry);
        },
    });
    link.connection->send(
        Hello { m_settings.host, m_settings.dataCentre, m_settings.rack, m_incarnation, Hello {}.protocolVersion });
    sendKeepalive(entry);
}

void EntryLinks::Core::handleClosed(size_t entry)
{
    Link& link = m_links[entry];
    link.nextConnectAt = m_clock.now() + jittered(link.backoff);
    link.backoff = std::min(link.backoff * 2, maxBackoff);
    if (link.answered) {
        LogEvent(LogLevel::Warning, "entry_lost").field("entry", link.address.text());
        m_counters.add("entry_links_lost");
    }
    if (m_home == entry)
        m_home.reset();
    for (EntryHandler* handler : handlers)
        handler->entryGone(entry);
}

void EntryLinks::Core::handleMessage(size_t entry, const Message& message)
{
    if (const auto* reply = std::get_if<KeepaliveReply>(&message))
        handleReply(entry, *reply);
    for (EntryHandler* handler : handlers)
        handler->entryMessage(entry, message);
}

void EntryLinks::Core::handleReply(size_t entry, const KeepaliveReply& reply)
{
    if (reply.echo.incarnation != m_incarnation)
        return;
    Link& link = m_links[entry];
    link.lastReplyAt = m_clock.now();
    link.backoff = minBackoff;
    if (!link.answered)
        LogEvent(LogLevel::Info, "entry_connected").field("entry", link.address.text());
    link.answered = true;
    if (reply.viewAge > maxHomeViewAge)
        avoidAsHome(entry, "old view");
}

void EntryLinks::Core::chooseHome()
{
    const Instant now = m_clock.now();
    if (m_home && timeWithoutReply(*m_home) > m_settings.homeKeepalive + maxHomeViewAge)
        avoidAsHome(*m_home, "no reply");
    std::optional<size_t> best;
    const auto preference = [now](const Link& link) { return std::pair(now >= link.avoidAsHomeUntil, link.rank); };
    for (size_t entry = 0; entry < m_links.size(); ++entry) {
        if (isConnected(entry) && (!best || preference(m_links[entry]) > preference(m_links[*best])))
            best = entry;
    }
    if (!best || best == m_home)
        return;
    m_home = best;
    m_links[*best].homeSince = now;
    LogEvent(LogLevel::Info, "home_entry").field("entry", m_links[*best].address.text());
    sendKeepalive(*best);
}

void EntryLinks::Core::avoidAsHome(size_t entry, std::string_view reason)
{
    Link& link = m_links[entry];
    if (m_clock.now() < link.avoidAsHomeUntil)
        return;
    LogEvent(LogLevel::Warning, "home_entry_avoided").field("entry", link.address.text()).field("reason", reason);
    m_counters.add("home_entry_avoided");
    link.avoidAsHomeUntil = m_clock.now() + homeAvoidanceTime;
}

bool EntryLinks::Core::send(size_t entry, const Message& message)
{
    const Link& link = m_links[entry];
    if (!link.connection || !link.connection->isOpen())
        return false;
    link.connection->send(message);
    return true;
}

void EntryLinks::Core::sendKeepalive(size_t entry)
{
    Link& link = m_links[entry];
    if (!link.connection)
        return;
    Keepalive keepalive;
    keepalive.stamp = stamp();
    keepalive.home = m_home == entry;
    keepalive.full = !link.fullSent;
    for (EntryHandler* handler : handlers)
        handler->fillKeepalive(entry, keepalive);
    link.fullSent = true;
    link.nextKeepaliveAt = m_clock.now() + jittered(interval(entry));
    send(entry, keepalive);
}

Duration EntryLinks::Core::interval(size_t entry) const
{
    return m_home == entry ? m_settings.homeKeepalive : m_settings.keepalive;
}

Duration EntryLinks::Core::timeWithoutReply(size_t entry) const
{
    const Link& link = m_links[entry];
    return m_clock.now() - (m_home == entry ? std::max(link.lastReplyAt, link.homeSince) : link.lastReplyAt);
}

Duration EntryLinks::Core::jittered(Duration duration)
{
    // Only shortens the interval: the settings give the maximum.
    std::uniform_int_distribution<int64_t> reduction(0, duration.count() * jitterPercent / 100);
    return duration - Duration { reduction(m_random) };
}

EntryLinks::EntryLinks(EventLoop& loop, const Clock& clock, const AgentSettings& settings, Counters& counters)
    : m_core(std::make_shared<Core>(loop, clock, settings, counters))
{
}

EntryLinks::~EntryLinks() = default;

void EntryLinks::addHandler(EntryHandler& handler) { m_core->handlers.push_back(&handler); }

void EntryLinks::start() { m_core->start(); }

Stamp EntryLinks::stamp() const { return m_core->stamp(); }

uint64_t EntryLinks::incarnation() const { return m_core->incarnation(); }

bool EntryLinks::send(size_t entry, const Message& message) { return m_core->send(entry, message); }

void EntryLinks::sendToAll(const Message& message)
{
    for (size_t entry = 0; entry < count(); ++entry)
        send(entry, message);
}

void EntryLinks::keepaliveNow()
{
    for (size_t entry = 0; entry < count(); ++entry)
        keepaliveNow(entry);
}

void EntryLinks::keepaliveNow(size_t entry) { m_core->sendKeepalive(entry); }

size_t EntryLinks::count() const { return m_core->count(); }

bool EntryLinks::isConnected(size_t entry) const { return m_core->isConnected(entry); }

} // namespace hemlocklead
