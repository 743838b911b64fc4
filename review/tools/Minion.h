#pragma once

#include "RunLog.h"
#include "protocol/MessageJson.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <list>
#include <map>
#include <memory>

namespace hemlocklead::review {

/// Stand-in for a server beside one agent, according to the users' protocol. The spec of a task is `ms=N spread=M`: the
/// task with index I works for N + (7919 * I) % M ms. With N = 0 it works until it is stopped.
class Minion {
public:
    struct Settings {
        std::string name;
        Address address;
        Address control; ///< Of its agent.
        int64_t cpuMilli { 32'000 };
        int64_t memoryMb { 128'000 };
    };

    /// Decides whether a call gets no answer and is carried out after the returned time.
    using Lateness = std::function<std::optional<Duration>(const HttpRequest&)>;

    Minion(EventLoop& loop, RunLog& log, Settings settings);

    /// Starts an incarnation with a new id, or with the former one.
    void boot(bool keepsId = false);

    /// Ends the incarnation and everything that runs; the port refuses connections until `boot`.
    void crash();

    void setLateness(Lateness lateness) { m_lateness = std::move(lateness); }

    const std::string& id() const { return m_id; }
    size_t runningCount() const { return m_running.size(); }
    uint64_t highestLastSeen() const { return m_highestLastSeen; }
    size_t unlistedEnds() const { return m_ends.size(); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct Running {
        uint32_t attempt;
        int64_t cpuMilli;
        Instant startedAt;
        Duration length; ///< 0 for a task that lasts.
        size_t logIndex;
    };

    struct End {
        uint64_t number;
        std::string task;
        uint32_t attempt;
        std::string how;
        size_t logIndex;
    };

    struct WaitingHold {
        Instant until;
        Responder responder;
    };

    void handle(const HttpRequest& request, const Responder& responder);
    HttpResponse carryOut(const HttpRequest& request, const Json& body);
    HttpResponse start(const Json& body);
    HttpResponse stop(const Json& body);
    void takeHold(const Json& body);
    HttpResponse lists() const;
    HttpResponse refusal(const std::string& reason) const;
    HttpResponse accepted() const;
    bool isFenced(const Json& body);
    void extendLease(int64_t untilMs);
    void end(const std::string& task, const std::string& how);
    void tick();
    void sendStatus();
    int64_t clockMs() const { return (m_clock.now() - m_bornAt).count() + 1; }

    BootClock m_clock;
    EventLoop& m_loop;
    RunLog& m_log;
    Settings m_settings;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpClient> m_control;
    Timer m_timer;
    Timer m_statusTimer;
    Lateness m_lateness;
    bool m_up { false };
    int m_incarnation { 0 };
    std::string m_id;
    int64_t m_bornUnixMs { 0 };
    Instant m_bornAt {};
    uint64_t m_sequence { 0 };
    uint64_t m_fence { 0 };
    int64_t m_leaseUntilMs { 0 };
    bool m_leaseLapsed { true };
    uint64_t m_lastEnd { 0 };
    uint64_t m_highestLastSeen { 0 };
    std::map<std::string, Running> m_running;
    std::map<std::string, uint32_t> m_highestEnded; ///< Highest run stopped or ended here, by task.
    std::list<End> m_ends;
    std::list<WaitingHold> m_holds;
    std::vector<Responder> m_unanswered;
    std::multimap<Instant, std::pair<int, HttpRequest>> m_late;
};

} // namespace hemlocklead::review
