#include "node/HostLinks.h"

#include "base/Log.h"

namespace hemlocklead {

HostLinks::HostLinks(EventLoop& loop, const Clock& clock, dispatch::JobRegistry& jobs, Settings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_jobs(jobs)
    , m_settings(settings)
{
}

void HostLinks::maintain(uint64_t epoch)
{
    const Instant now = m_clock.now();
    for (const auto& [host, member] : m_jobs.hosts()) {
        Link& link = m_links[host];
        const bool moved = link.connection && link.address != member.address;
        const bool silent = link.connection && now - link.lastReportAt > m_settings.reportTimeout;
        if (moved || silent) {
            LogEvent(LogLevel::Warning, "host_link_dropped")
                .field("host", host)
                .field("address", link.address)
                .field("connection", link.number)
                .field("silent_ms", static_cast<int64_t>((now - link.lastReportAt).count()));
            drop(host, link);
        }
        if (!link.connection && now - link.openedAt >= m_settings.reconnectDelay)
            open(host, member.address, link, epoch);
    }
}

void HostLinks::open(const std::string& host, const std::string& addressText, Link& link, uint64_t epoch)
{
    link.openedAt = m_clock.now();
    link.lastReportAt = link.openedAt;
    link.address = addressText;
    link.unpacker = {};
    link.reportsRead = 0;
    ++link.number;
    const Address address = orElse([&] { return parseAddress(addressText); },
        [&](const Error& error) {
            LogEvent(LogLevel::Warning, "host_address_unreadable").field("host", host).field("reason", error.message);
            return Address();
        });
    if (address.port == 0)
        return;
    link.connection = std::make_unique<FrameConnection>(m_loop, address);
    link.connection->setCallbacks({
        [this, host](const Message& message) { received(host, message); },
        [this, host] { closed(host); },
    });
    m_dispatcher->hostConnected(host);
    // Sends the epoch of the connecting owner; the agent responds with a report.
    HostOrders firstOrders;
    firstOrders.epoch = epoch;
    firstOrders.readsPackedReports = true;
    send(host, std::move(firstOrders));
}

void HostLinks::drop(const std::string& host, Link& link)
{
    link.connection.reset();
    m_dispatcher->hostDisconnected(host);
}

void HostLinks::received(const std::string& host, const Message& message)
{
    Link& link = m_links[host];
    if (const auto* report = std::get_if<HostReport>(&message))
        return reported(host, link, *report);
    const auto* packed = std::get_if<PackedHostReport>(&message);
    if (!packed)
        return;
    const std::optional<HostReport> report = link.unpacker.unpack(*packed);
    if (report)
        return reported(host, link, *report);
    LogEvent(LogLevel::Warning, "report_unreadable").field("host", host).field("address", link.address);
    drop(host, link);
}

void HostLinks::reported(const std::string& host, Link& link, const HostReport& report)
{
    if (link.lastReportAt == link.openedAt)
        LogEvent(LogLevel::Info, "host_link_open")
            .field("host", host)
            .field("address", link.address)
            .field("connection", link.number)
            .field("epoch_seen", report.epochSeen);
    link.lastReportAt = m_clock.now();
    ++link.reportsRead;
    m_dispatcher->hostReported(host, report);
}

void HostLinks::closed(const std::string& host)
{
    LogEvent(LogLevel::Info, "host_link_closed").field("host", host);
    m_links[host].connection.reset();
    m_dispatcher->hostDisconnected(host);
}

void HostLinks::closeAll() { m_links.clear(); }

void HostLinks::send(const std::string& host, HostOrders orders)
{
    const auto link = m_links.find(host);
    if (link == m_links.end() || !link->second.connection)
        return;
    orders.connection = link->second.number;
    orders.reportsRead = link->second.reportsRead;
    // The dispatcher counts on orders to arrive for as long as the connection lasts.
    if (!link->second.connection->send(orders))
        drop(host, link->second);
}

} // namespace hemlocklead
