#pragma once

#include "dispatch/Dispatcher.h"
#include "protocol/ReportPacking.h"
#include "transport/FrameConnection.h"

#include <map>
#include <memory>

namespace hemlocklead {

/// The connections of the owner to the agents of all hosts in the journal; empty while this entry is not the owner.
class HostLinks final : public dispatch::OrderSender {
public:
    struct Settings {
        Duration reportTimeout { 2000 }; ///< Agents report twice a second; a connection without a report for this
                                         ///< long is replaced.
        Duration reconnectDelay { 300 }; ///< Delay before a closed connection is opened again.
    };

    HostLinks(EventLoop& loop, const Clock& clock, dispatch::JobRegistry& jobs, Settings settings);

    void setDispatcher(dispatch::Dispatcher& dispatcher) { m_dispatcher = &dispatcher; }

    /// Connects to hosts that have no connection and replaces connections without recent reports or whose host has
    /// moved to another address. `epoch` is the owner's.
    void maintain(uint64_t epoch);

    void closeAll();

    void send(const std::string& host, HostOrders orders) override;

private:
    struct Link {
        std::unique_ptr<FrameConnection> connection;
        std::string address;
        Instant lastReportAt {};
        Instant openedAt {};
        HostReportUnpacker unpacker;
        uint64_t number { 0 }; ///< Of the connection; rises with each.
        uint64_t reportsRead { 0 };
    };

    void open(const std::string& host, const std::string& address, Link& link, uint64_t epoch);
    void received(const std::string& host, const Message& message);
    void reported(const std::string& host, Link& link, const HostReport& report);
    void drop(const std::string& host, Link& link);
    void closed(const std::string& host);

    EventLoop& m_loop;
    const Clock& m_clock;
    dispatch::JobRegistry& m_jobs;
    Settings m_settings;
    dispatch::Dispatcher* m_dispatcher { nullptr };
    std::map<std::string, Link> m_links;
};

} // namespace hemlocklead
