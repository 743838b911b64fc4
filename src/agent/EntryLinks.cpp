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
    constexpr Duration shortestBackoff { 100 };
    constexpr Duration longestBackoff { 3000 };

    /// An entry whose control view is older cannot keep this agent's configuration within its bound of 4 s.
    constexpr Duration oldestHomeView { 1500 };

    /// Time during which an entry that did badly as home entry is not chosen again.
    constexpr Duration homePenalty { 10'000 };

    /// Keepalive intervals without a reply after which a connection counts as dead.
    constexpr int deadAfterIntervals = 3;

    /// Jitter of intervals in percent, so that a thousand agents that lost one entry do not return all at once.
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

    /// Whether the entry has answered on this connection.
    bool isConnected(size_t entry) const { return m_links[entry].connection && m_links[entry].answered; }
    Stamp stamp() const { return { m_incarnation, m_clock.now().time_since_epoch().count() }; }

    std::vector<EntryHandler*> handlers;

    uint64_t incarnation() const { return m_incarnation; }
    size_t count() const { return m_links.size(); }

private:
    struct Link {
        Address address;
        uint64_t rank { 0 }; ///< By rendezvous hash; the highest one is preferred.
        std::unique_ptr<FrameConnection> connection;
        Instant connectAt;
        Duration backoff { shortestBackoff };
        Instant keepaliveAt;
        Instant heardAt; ///< Last reply to a keepalive, or the time of connecting.
        Instant homeSince; ///< Time of becoming the home entry; replies were due less often before.
        bool answered { false }; ///< A reply has arrived on this connection.
        bool fullSent { false };
        Instant avoidedUntil; ///< Not to be the home entry before.
    };

    void tick();
    void tickLink(size_t entry);
    void connect(size_t entry);
    void closed(size_t entry);
    void received(size_t entry, const Message& message);
    void takeReply(size_t entry, const KeepaliveReply& reply);
    void chooseHome();
    void avoidAsHome(size_t entry, std::string_view reason);
    Duration interval(size_t entry) const;

    /// Time without a reply, as far as one was due.
    Duration silence(size_t entry) const;
    Duration jittered(Duration duration);

    EventLoop& m_loop;
    const Clock& m_clock;
    const AgentSettings& m_settings;
    Counters& m_counters;
    uint64_t m_incarnation { randomIncarnation() };
    std::minstd_rand m_random { static_cast<uint32_t>(m_incarnation) };
    std::vector<Link> m_links;
    std::vector<std::unique_ptr<FrameConnection>> m_retired; ///< Destroyed outside their own callbacks.
    std::optional<size_t> m_home;
    Timer m_tick;
};

EntryLinks::Core::Core(EventLoop& loop, const Clock& clock, const AgentSettings& settings, Counters& counters)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_counters(counters)
    , m_tick(loop)
{
    for (const Address& address : settings.entries) {
        const std::string pair = settings.host + '\n' + address.text();
        Link link;
        link.address = address;
        link.rank = XXH3_64bits(pair.data(), pair.size());
        m_links.push_back(std::move(link));
    }
}

void EntryLinks::Core::start()
{
    for (size_t entry = 0; entry < m_links.size(); ++entry)
        connect(entry);
    m_tick.startRepeating(tickInterval, [this] { tick(); });
}

void EntryLinks::Core::tick()
{
    m_retired.clear();
    chooseHome();
    for (size_t entry = 0; entry < m_links.size(); ++entry)
        tickLink(entry);
}

void EntryLinks::Core::tickLink(size_t entry)
{
    Link& link = m_links[entry];
    const Instant now = m_clock.now();
    if (!link.connection) {
        if (now >= link.connectAt)
            connect(entry);
        return;
    }
    if (silence(entry) > interval(entry) * deadAfterIntervals) {
        m_counters.add("entry_links_silent");
        m_retired.push_back(std::move(link.connection));
        closed(entry);
        return;
    }
    if (now >= link.keepaliveAt)
        sendKeepalive(entry);
}

void EntryLinks::Core::connect(size_t entry)
{
    Link& link = m_links[entry];
    link.heardAt = m_clock.now();
    link.keepaliveAt = m_clock.now();
    link.answered = false;
    link.fullSent = false;
    link.connection = std::make_unique<FrameConnection>(m_loop, link.address);
    link.connection->setCallbacks({
        [this, entry](const Message& message) { received(entry, message); },
        [this, entry] {
            m_retired.push_back(std::move(m_links[entry].connection));
            closed(entry);
        },
    });
    link.connection->send(
        Hello { m_settings.host, m_settings.dataCentre, m_settings.rack, m_incarnation, Hello {}.protocolVersion });
    sendKeepalive(entry);
}

void EntryLinks::Core::closed(size_t entry)
{
    Link& link = m_links[entry];
    link.connectAt = m_clock.now() + jittered(link.backoff);
    link.backoff = std::min(link.backoff * 2, longestBackoff);
    if (link.answered) {
        LogEvent(LogLevel::Warning, "entry_lost").field("entry", link.address.text());
        m_counters.add("entry_links_lost");
    }
    if (m_home == entry)
        m_home.reset();
    for (EntryHandler* handler : handlers)
        handler->entryGone(entry);
}

void EntryLinks::Core::received(size_t entry, const Message& message)
{
    if (const auto* reply = std::get_if<KeepaliveReply>(&message))
        takeReply(entry, *reply);
    for (EntryHandler* handler : handlers)
        handler->entryMessage(entry, message);
}

void EntryLinks::Core::takeReply(size_t entry, const KeepaliveReply& reply)
{
    if (reply.echo.incarnation != m_incarnation)
        return;
    Link& link = m_links[entry];
    link.heardAt = m_clock.now();
    link.backoff = shortestBackoff;
    if (!link.answered)
        LogEvent(LogLevel::Info, "entry_connected").field("entry", link.address.text());
    link.answered = true;
    if (reply.viewAge > oldestHomeView)
        avoidAsHome(entry, "old view");
}

void EntryLinks::Core::chooseHome()
{
    const Instant now = m_clock.now();
    if (m_home && silence(*m_home) > m_settings.homeKeepalive + oldestHomeView)
        avoidAsHome(*m_home, "no reply");
    std::optional<size_t> best;
    const auto preference = [now](const Link& link) { return std::pair(now >= link.avoidedUntil, link.rank); };
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
    if (m_clock.now() < link.avoidedUntil)
        return;
    LogEvent(LogLevel::Warning, "home_entry_avoided").field("entry", link.address.text()).field("reason", reason);
    m_counters.add("home_entry_avoided");
    link.avoidedUntil = m_clock.now() + homePenalty;
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
    link.keepaliveAt = m_clock.now() + jittered(interval(entry));
    send(entry, keepalive);
}

Duration EntryLinks::Core::interval(size_t entry) const
{
    return m_home == entry ? m_settings.homeKeepalive : m_settings.keepalive;
}

Duration EntryLinks::Core::silence(size_t entry) const
{
    const Link& link = m_links[entry];
    return m_clock.now() - (m_home == entry ? std::max(link.heardAt, link.homeSince) : link.heardAt);
}

Duration EntryLinks::Core::jittered(Duration duration)
{
    // Only downwards: the settings state the longest interval.
    std::uniform_int_distribution<int64_t> cut(0, duration.count() * jitterPercent / 100);
    return duration - Duration { cut(m_random) };
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
