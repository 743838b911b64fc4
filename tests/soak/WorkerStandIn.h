#pragma once

#include "soak/RunLedger.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <list>

namespace hemlocklead::soak {

/// A worker of the platform beside one agent: runs tasks as timers under leases, lists their ends, reports its status.
/// The payload of a task is `ms=N`, followed by anything.
class WorkerStandIn {
public:
    enum class Fault : uint8_t {
        None,
        Silent, ///< Does nothing and does not answer.
        Late, ///< Does not answer orders, and carries them out two seconds later.
    };

    WorkerStandIn(EventLoop& loop, RunLedger& ledger, std::string name, int64_t cpuMilli);

    Result<void> listen(const Address& address) { return m_server.listen(address); }

    /// Where it reports its status.
    void setControl(const Address& address);

    void setFault(Fault fault);

    /// Ends its life and everything that runs, and begins a new one under another id.
    void restart();

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct Run {
        uint32_t attempt;
        Instant endsAt;
    };

    struct End {
        uint64_t number;
        std::string task;
        uint32_t attempt;
        std::string reason;
    };

    struct WaitingLook {
        uint64_t lastSeen;
        Instant until;
        Responder responder;
    };

    void handle(const HttpRequest& request, const Responder& responder);
    HttpResponse start(const Json& body);
    HttpResponse stop(const Json& body);
    void look(const Json& body, const Responder& responder);
    HttpResponse conflict(const std::string& reason) const;
    HttpResponse lists() const;
    bool isFenced(const Json& body);
    void extendLease(const Json& body);
    void end(const std::string& task, const std::string& reason);
    void tick();
    void reportStatus();
    int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    BootClock m_clock;
    EventLoop& m_loop;
    RunLedger& m_ledger;
    std::string m_name;
    int64_t m_cpuMilli;
    HttpServer m_server;
    std::unique_ptr<HttpClient> m_control;
    Timer m_timer;
    Timer m_statusTimer;
    Fault m_fault { Fault::None };
    std::vector<Responder> m_silenced;
    std::multimap<Instant, std::pair<int, HttpRequest>> m_late; ///< Orders to carry out, with the life they came in.

    int m_life { 0 };
    int64_t m_born { 0 };
    Instant m_bornAt {};
    uint64_t m_fence { 0 };
    int64_t m_leaseUntilMs { 0 };
    uint64_t m_sequence { 0 };
    uint64_t m_ends { 0 };
    std::map<std::string, Run> m_running;
    std::map<std::string, uint32_t> m_highestEnded; ///< Attempt by task that ended or was stopped here.
    std::vector<End> m_listed; ///< Ends that were not noted yet.
    std::list<WaitingLook> m_looks;
};

} // namespace hemlocklead::soak
