#pragma once

#include "dispatch/HostAgent.h"
#include "node/LoopDelays.h"
#include "transport/FrameListener.h"

#include <list>
#include <memory>

namespace hemlocklead {

/// The parts of an agent that takes orders from the journal's owner: the listener for owners and the host agent.
class DispatchAgent final : dispatch::ReportSender {
public:
    struct Settings {
        std::string host;
        Address address; ///< Listens here for owners.
        Address announced; ///< Owners are told to connect here.
        dispatch::HostAgent::Settings agent {};
        Duration ownerSilence { 6000 }; ///< Without an owner for longer, the host is announced again.
    };

    DispatchAgent(EventLoop& loop, dispatch::WorkerPort& worker, dispatch::JournalService& journal, Settings settings);

    /// Listens, announces the host in the journal and begins to look at the worker.
    Result<void> start();

    dispatch::HostAgent& agent() { return m_agent; }
    Counters& counters() { return m_counters; }

private:
    using Connections = std::list<std::unique_ptr<FrameConnection>>;

    void send(const HostReport& report) override;
    void accepted(std::unique_ptr<FrameConnection> connection);
    void received(Connections::iterator connection, const Message& message);
    void closed(Connections::iterator connection);
    void announce();
    void checkOwner();

    Settings m_settings;
    uint64_t m_incarnation;
    BootClock m_clock;
    LoopDelays m_delays;
    Counters m_counters;
    dispatch::JournalService& m_journal;
    dispatch::HostAgent m_agent;
    FrameListener m_listener;
    Connections m_connections;
    FrameConnection* m_owner { nullptr };
    Instant m_ownerHeardAt {};
    Timer m_ownerTimer;
};

} // namespace hemlocklead
