#pragma once

#include "soak/InvariantChecker.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <list>

namespace hemlocklead::soak {

/// Stand-in for the worker next to one agent: runs tasks as timers under leases, lists their ends and reports its
/// status. The payload of a task is `ms=N` for one that is done after N milliseconds, `lasts` for one that runs until
/// it is stopped or `fails=N` for one that lasts, but whose first run fails after N milliseconds, followed by any text.
class WorkerStandIn {
public:
    enum class Fault : uint8_t {
        None,
        Unresponsive, ///< Neither carries out nor answers requests; runs go on.
        Late, ///< Does not answer orders and carries them out two seconds later.
    };

    WorkerStandIn(EventLoop& loop, InvariantChecker& invariants, std::string name, int64_t cpuMilli);

    Result<void> listen(const Address& address);

    /// Sets the address of the agent that status reports go to.
    void setControl(const Address& address);

    void setFault(Fault fault);

    /// Drops all runs and starts a new incarnation with a new id.
    void restart();

    /// As a process that crashes and starts again under the same id and address after `down`: its connections are
    /// closed, and late orders to the former incarnation are carried out by the next one. It reports its status for the
    /// first time `firstStatus` after its start.
    void restartInPlace(Duration down, Duration firstStatus);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct Run {
        uint32_t attempt;
        Instant endsAt;
        std::string endReason;
    };

    struct End {
        uint64_t number;
        std::string task;
        uint32_t attempt;
        std::string reason;
    };

    struct WaitingPoll {
        uint64_t lastSeen;
        Instant until;
        Responder responder;
    };

    void abortUnanswered();
    void beginIncarnation();
    void handle(const HttpRequest& request, const Responder& responder);
    HttpResponse start(const Json& body);
    HttpResponse stop(const Json& body);
    void poll(const Json& body, const Responder& responder);
    HttpResponse conflict(const std::string& reason) const;
    HttpResponse runStatus() const;
    bool isFenced(const Json& body);
    void extendLease(const Json& body);
    void end(const std::string& task, const std::string& reason);
    void tick();
    void reportStatus();
    int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    BootClock m_clock;
    EventLoop& m_loop;
    InvariantChecker& m_invariants;
    std::string m_name;
    int64_t m_cpuMilli;
    Address m_address;
    std::unique_ptr<HttpServer> m_server; ///< Null while the process is down.
    std::unique_ptr<HttpClient> m_control;
    Timer m_timer;
    Timer m_statusTimer;
    Timer m_restartTimer;
    Fault m_fault { Fault::None };
    std::vector<Responder> m_unanswered;
    /// Orders to carry out, by due time, with the number in the id of the incarnation that received them.
    std::multimap<Instant, std::pair<int, HttpRequest>> m_delayedOrders;

    int m_idNumber { 0 };
    int64_t m_bornUnixMs { 0 };
    Instant m_bornAt {};
    uint64_t m_highestFence { 0 };
    int64_t m_leaseUntilMs { 0 };
    uint64_t m_sequence { 0 };
    uint64_t m_lastEndNumber { 0 };
    std::map<std::string, Run> m_running;
    /// By task; includes attempts that were stopped before they started.
    std::map<std::string, uint32_t> m_highestEndedAttempt;
    std::vector<End> m_unacknowledgedEnds; ///< Ends that the agent has not acknowledged yet.
    std::list<WaitingPoll> m_polls;
};

} // namespace hemlocklead::soak
