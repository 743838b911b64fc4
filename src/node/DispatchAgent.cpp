#include "node/DispatchAgent.h"

#include "base/Log.h"
#include "dispatch/JobRegistry.h"
#include "node/DispatchEntry.h"

namespace hemlocklead {

namespace {

    constexpr Duration announceTimeout { 1000 };
    constexpr Duration announceRetryDelay { 500 };

} // namespace

DispatchAgent::DispatchAgent(
    EventLoop& loop, dispatch::WorkerPort& worker, dispatch::JournalService& journal, Settings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomIncarnation())
    , m_timers(loop)
    , m_journal(journal)
    , m_agent(worker, *this, journal, m_timers, m_clock, m_counters, m_settings.agent)
    , m_listener(loop, [this](std::unique_ptr<FrameConnection> connection) { accepted(std::move(connection)); })
    , m_ownerTimer(loop)
{
}

Result<void> DispatchAgent::start()
{
    BOOST_LEAF_CHECK(m_listener.listen(m_settings.listenAddress));
    m_lastOrdersAt = m_clock.now();
    LogEvent(LogLevel::Info, "agent_listening")
        .field("address", m_settings.advertisedAddress.text())
        .field("incarnation", m_incarnation);
    announce();
    m_agent.start();
    m_ownerTimer.startRepeating(m_settings.ownerTimeout, [this] { checkOwner(); });
    return {};
}

void DispatchAgent::announce()
{
    const std::string value = dispatch::hostValue({ m_settings.advertisedAddress.text(), m_incarnation });
    m_journal.append({ { dispatch::hostKey(m_settings.host), value, 0 } }, std::nullopt, announceTimeout,
        [this](dispatch::AppendStatus status) {
            if (status != dispatch::AppendStatus::Done)
                m_timers.after(announceRetryDelay, [this] { announce(); });
        });
}

void DispatchAgent::checkOwner()
{
    if (m_clock.now() - m_lastOrdersAt >= m_settings.ownerTimeout) {
        LogEvent(LogLevel::Warning, "owner_silent").field("epoch", m_agent.epochSeen());
        announce();
    }
}

void DispatchAgent::accepted(std::unique_ptr<FrameConnection> connection)
{
    const auto position = m_connections.insert(m_connections.end(), Peer { std::move(connection), false, {} });
    position->connection->setCallbacks({
        [this, position](const Message& message) { received(position, message); },
        [this, position] { closed(position); },
    });
}

void DispatchAgent::received(Connections::iterator connection, const Message& message)
{
    const auto* orders = std::get_if<HostOrders>(&message);
    if (!orders)
        return;
    if (m_agent.isStale(*orders)) {
        LogEvent(LogLevel::Warning, "orders_stale")
            .field("epoch", orders->epoch)
            .field("seen", m_agent.epochSeen())
            .field("connection", orders->connection)
            .field("starts", static_cast<uint64_t>(orders->starts.size()));
        return closed(connection);
    }
    m_lastOrdersAt = m_clock.now();
    connection->readsPackedReports |= orders->readsPackedReports;
    if (m_owner != &*connection) {
        m_owner = &*connection;
        m_agent.handleOwnerConnected();
    }
    m_agent.handleOrders(*orders);
}

void DispatchAgent::closed(Connections::iterator connection)
{
    if (m_owner == &*connection)
        m_owner = nullptr;
    m_connections.erase(connection);
}

void DispatchAgent::send(const HostReport& report)
{
    if (!m_owner)
        return;
    if (m_owner->readsPackedReports)
        m_owner->connection->send(m_owner->packer.pack(report));
    else
        m_owner->connection->send(report);
}

} // namespace hemlocklead
