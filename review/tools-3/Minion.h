#pragma once

#include "Record.h"
#include "state/Json.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace review {

/// Stand-in for a minion that behaves as PROTOCOL.md says: runs, ends, leases, epoch numbers, checkpoints and pace.
///
/// The spec of a task is `work=N` for N milliseconds of work at full speed, or `lasts`.
class Minion {
public:
    struct Settings {
        std::string name;
        std::string zone;
        std::string kind { "a" };
        std::string rack { "r1" };
    };

    struct Run {
        uint32_t attempt { 0 };
        bool lasts { false };
        double workMs { 0 };
        double doneMs { 0 };
        int64_t pace { 100 };
        Instant startedAt {};
        Instant worksFrom {}; ///< Later than `startedAt` if the run resumes from a checkpoint.
        std::optional<Instant> stopsAt;
        std::optional<Instant> failsAt;
        std::string checkpoint;
    };

    Minion(hemlocklead::EventLoop& loop, const hemlocklead::Clock& clock, Record& record, Settings settings);

    hemlocklead::Result<void> listen(const hemlocklead::Address& address) { return m_server.listen(address); }
    void setControl(const hemlocklead::Address& address);

    const std::string& name() const { return m_settings.name; }
    const std::map<std::string, Run>& runs() const { return m_runs; }

    /// Tail latency of each lasting task in milliseconds; the argument tells whether another task works beside it.
    std::function<int64_t(bool isDisturbed)> tailOf = [](bool) { return int64_t { 20 }; };

    /// How long after its start a run fails; empty for one that does not.
    std::function<std::optional<Duration>()> failureOf = [] { return std::optional<Duration>(); };

    /// For how long an order with that path stays unanswered before it is carried out; empty for one that is answered
    /// at once.
    std::function<std::optional<Duration>(const std::string& path)> delayOf
        = [](const std::string&) { return std::optional<Duration>(); };

    /// Called at each start and end of a run.
    std::function<void(const std::string& task)> onStart = [](const std::string&) {};
    std::function<void(const std::string& task, const std::string& how)> onEnd
        = [](const std::string&, const std::string&) {};

private:
    using Responder = std::shared_ptr<hemlocklead::HttpResponder>;

    struct End {
        uint64_t number;
        std::string task;
        uint32_t attempt;
        std::string how;
        std::string checkpoint;
    };

    struct Waiting {
        Instant until;
        Responder responder;
    };

    void handle(const hemlocklead::HttpRequest& request, const Responder& responder);
    bool isFenced(const hemlocklead::Json& body);
    hemlocklead::HttpResponse conflict(const std::string& reason) const;
    hemlocklead::HttpResponse accepted() const;
    hemlocklead::HttpResponse start(const hemlocklead::Json& body);
    hemlocklead::HttpResponse stop(const hemlocklead::Json& body);
    hemlocklead::HttpResponse pace(const hemlocklead::Json& body);
    hemlocklead::HttpResponse carryOut(const std::string& path, const hemlocklead::Json& body);
    void hold(const hemlocklead::Json& body, const Responder& responder);
    hemlocklead::HttpResponse lists() const;
    void extendLease(const hemlocklead::Json& body);
    void tick();
    void end(const std::string& task, const std::string& how);
    void reportStatus();
    bool isDisturbed() const;
    int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    const hemlocklead::Clock& m_clock;
    Record& m_record;
    Settings m_settings;
    hemlocklead::EventLoop& m_loop;
    hemlocklead::HttpServer m_server;
    std::unique_ptr<hemlocklead::HttpClient> m_control;
    hemlocklead::Timer m_tickTimer;
    hemlocklead::Timer m_statusTimer;
    Instant m_bornAt;
    Instant m_tickedAt;
    int64_t m_born { 0 };
    uint64_t m_sequence { 0 };
    uint64_t m_highestFence { 0 };
    int64_t m_leaseUntilMs { 0 };
    uint64_t m_lastEnd { 0 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, uint32_t> m_endedAttempts; ///< Highest attempt of each task that ended or was stopped.
    std::vector<End> m_ends;
    std::list<Waiting> m_waiting;
    /// Orders that were left unanswered, by due time, with their paths.
    std::multimap<Instant, std::pair<std::string, hemlocklead::Json>> m_lateOrders;
    std::vector<Responder> m_unanswered;
};

} // namespace review
