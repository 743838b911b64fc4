#pragma once

#include "dispatch/HostAgent.h"
#include "node/LoopTimers.h"
#include "protocol/ReportPacking.h"
#include "transport/FrameListener.h"

#include <list>
#include <memory>

namespace hemlocklead {

/// The components of an agent that takes orders from the journal's owner: the listener for owners and the host agent.
class DispatchAgent final : dispatch::ReportSender {
public:
    struct Settings {
        std::string host;
        Address listenAddress; ///< Where the agent listens for owners.
        Address advertisedAddress; ///< Recorded in the journal; owners connect to it.
        dispatch::HostAgent::Settings agent {};
        Duration ownerTimeout { 6000 }; ///< The host is announced again after this time without orders.
    };

    DispatchAgent(EventLoop& loop, dispatch::WorkerPort& worker, dispatch::JournalService& journal, Settings settings);

    /// Starts to listen, announces the host in the journal and starts to poll the worker.
    Result<void> start();

    dispatch::HostAgent& agent() { return m_agent; }
    Counters& counters() { return m_counters; }

private:
    /// A connection from an entry.
    struct Peer {
        std::unique_ptr<FrameConnection> connection;
        bool readsPackedReports { false };
        HostReportPacker packer;
    };
    using Connections = std::list<Peer>;

    void send(const HostReport& report) override;
    void accepted(std::unique_ptr<FrameConnection> connection);
    void received(Connections::iterator connection, const Message& message);
    void closed(Connections::iterator connection);
    void announce();
    void checkOwner();

    Settings m_settings;
    uint64_t m_incarnation;
    BootClock m_clock;
    LoopTimers m_timers;
    Counters m_counters;
    dispatch::JournalService& m_journal;
    dispatch::HostAgent m_agent;
    FrameListener m_listener;
    Connections m_connections;
    Peer* m_owner { nullptr };
    Instant m_lastOrdersAt {};
    Timer m_ownerTimer;
};

} // namespace hemlocklead
