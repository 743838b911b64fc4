#include "entry/AgentHub.h"

#include "base/Log.h"

#include <cassert>
#include <optional>

namespace hemlocklead {

/// The connection of one agent.
struct AgentHub::Link {
    std::unique_ptr<FrameConnection> connection;
};

namespace {

    /// The stamp of the message, if its type has one.
    std::optional<Stamp> stampOf(const Message& message)
    {
        if (const auto* keepalive = std::get_if<Keepalive>(&message))
            return keepalive->stamp;
        if (const auto* reply = std::get_if<ReserveReply>(&message))
            return reply->stamp;
        if (const auto* reply = std::get_if<StartReply>(&message))
            return reply->stamp;
        return std::nullopt;
    }

    /// Keeps the newest stamp. Ignores stamps of another incarnation than the one in the connection's Hello.
    void noteStamp(AgentView& view, const Message& message)
    {
        const std::optional<Stamp> stamp = stampOf(message);
        if (!stamp || stamp->incarnation != view.identity.incarnation)
            return;
        if (stamp->incarnation != view.stamp.incarnation || stamp->timeMs > view.stamp.timeMs)
            view.stamp = *stamp;
    }

    void noteKeepalive(AgentView& view, const Keepalive& keepalive)
    {
        view.last = keepalive;
        view.last.attempts.clear();
        view.last.interference.clear();
    }

} // namespace

AgentHub::AgentHub(EventLoop& loop, const Clock& clock, Counters& counters)
    : m_clock(clock)
    , m_counters(counters)
    , m_retireTimer(loop)
{
}

AgentHub::~AgentHub() = default;

void AgentHub::addHandler(AgentHandler& handler) { m_handlers.push_back(&handler); }

void AgentHub::adopt(const Hello& hello, std::unique_ptr<FrameConnection> connection)
{
    const std::string host = hello.host;
    if (const auto existing = m_links.find(host); existing != m_links.end()) {
        LogEvent(LogLevel::Info, "agent_replaced").field("host", host);
        handleClosed(host, existing->second.get());
    }
    auto link = std::make_unique<Link>(Link { std::move(connection) });
    Link* current = link.get();
    current->connection->setCallbacks({
        [this, host, current](const Message& message) { handleMessage(host, *current, message); },
        [this, host, current] { handleClosed(host, current); },
    });
    m_links.insert_or_assign(host, std::move(link));
    AgentView view;
    view.identity = hello;
    view.heardAt = m_clock.now();
    m_views.insert_or_assign(host, std::move(view));
    m_counters.set("agents_connected", static_cast<int64_t>(m_views.size()));
    LogEvent(LogLevel::Info, "agent_connected").field("host", host).field("data_centre", hello.dataCentre);
    for (AgentHandler* handler : m_handlers)
        handler->agentConnected(host);
}

const AgentView* AgentHub::find(std::string_view host) const
{
    const auto view = m_views.find(host);
    return view == m_views.end() ? nullptr : &view->second;
}

bool AgentHub::send(std::string_view host, const Message& message)
{
    const auto link = m_links.find(host);
    if (link == m_links.end() || !link->second->connection->isOpen())
        return false;
    link->second->connection->send(message);
    return true;
}

void AgentHub::dropSilent(Duration timeout)
{
    const Instant now = m_clock.now();
    std::vector<std::string> silent;
    for (const auto& [host, view] : m_views) {
        if (now - view.heardAt > timeout)
            silent.push_back(host);
    }
    for (const std::string& host : silent) {
        LogEvent(LogLevel::Warning, "agent_silent").field("host", host);
        m_counters.add("agents_dropped_silent");
        if (const auto link = m_links.find(host); link != m_links.end())
            handleClosed(host, link->second.get());
    }
}

void AgentHub::handleMessage(const std::string& host, Link& link, const Message& message)
{
    const auto view = m_views.find(host);
    const auto current = m_links.find(host);
    if (view == m_views.end() || current == m_links.end() || current->second.get() != &link)
        return;
    view->second.heardAt = m_clock.now();
    noteStamp(view->second, message);
    if (const auto* keepalive = std::get_if<Keepalive>(&message))
        noteKeepalive(view->second, *keepalive);
    if (std::holds_alternative<Leaving>(message))
        view->second.leaving = true;
    if (std::holds_alternative<Hello>(message)) {
        m_counters.add("unexpected_messages");
        return;
    }
    for (AgentHandler* handler : m_handlers)
        handler->agentMessage(host, message);
}

void AgentHub::handleClosed(const std::string& host, const Link* link)
{
    const auto found = m_links.find(host);
    if (found == m_links.end() || found->second.get() != link)
        return;
    // `host` may refer to a capture of the link's callbacks, which are cleared here, so the name is taken from the
    // node.
    auto node = m_links.extract(found);
    node.mapped()->connection->setCallbacks({});
    m_retired.push_back(std::move(node.mapped()));
    m_retireTimer.startOnce(Duration { 0 }, [this] { m_retired.clear(); });
    const std::string& name = node.key();
    m_views.erase(name);
    m_counters.set("agents_connected", static_cast<int64_t>(m_views.size()));
    LogEvent(LogLevel::Info, "agent_gone").field("host", name);
    for (AgentHandler* handler : m_handlers)
        handler->agentGone(name);
}

} // namespace hemlocklead
