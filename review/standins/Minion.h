// A minion as PROTOCOL.md describes it: it guards its capacity, keeps leases and fences, and lists the ends of its runs.
#pragma once

#include "RunLog.h"

#include "state/Json.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <algorithm>
#include <list>
#include <memory>
#include <optional>

namespace review {

using namespace hemlocklead;

class Minion {
public:
    struct Settings {
        std::string id; ///< Kept by all incarnations.
        std::string zone;
        Address app;
        Address control;
        int64_t cpu { 16000 };
        int64_t memMb { 64000 };
        Duration heartbeat { 1500 };
        Duration stopTime { 200 }; ///< `stopGraceMs` at most.
        int64_t maxHoldMs { 6000 };
    };

    Minion(EventLoop& loop, RunLog& log, Settings settings)
        : m_loop(loop)
        , m_log(log)
        , m_settings(std::move(settings))
        , m_reports(loop, m_settings.control, 1)
        , m_tick(loop)
        , m_heartbeat(loop)
        , m_restart(loop)
    {
        m_tick.startRepeating(Duration { 5 }, [this] { tick(); });
    }

    const std::string& id() const { return m_settings.id; }
    bool isUp() const { return m_server != nullptr; }
    size_t runningCount() const { return m_running.size(); }
    int64_t born() const { return m_born; }
    size_t startCount() const { return m_starts; }
    void resetStartCount() { m_starts = 0; }

    /// Starts an incarnation. It reports for the first time after `firstReport`.
    Result<void> start(Duration firstReport)
    {
        m_born = std::max(m_born + 1, unixMs());
        m_bornAt = m_clock.now();
        m_fence = 0;
        m_leaseUntilMs = 0;
        m_lastEnd = 0;
        m_sequence = 0;
        m_server = std::make_unique<HttpServer>(
            m_loop, [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); });
        BOOST_LEAF_CHECK(m_server->listen(m_settings.app));
        m_log.line("minion " + m_settings.id + " starts, born " + std::to_string(m_born));
        m_heartbeat.startOnce(firstReport, [this] {
            report();
            m_heartbeat.startRepeating(m_settings.heartbeat, [this] { report(); });
        });
        return {};
    }

    /// The process ends at once: its runs are gone, its channels are closed by the operating system.
    void crash()
    {
        m_log.line("minion " + m_settings.id + " crashes with " + std::to_string(m_running.size()) + " runs");
        m_heartbeat.cancel();
        for (const Waiting& waiting : m_waiting)
            waiting.responder->abort();
        m_waiting.clear();
        m_server.reset();
        for (const auto& [task, run] : m_running)
            m_log.ended(run.number, "");
        m_running.clear();
        m_ends.clear();
        m_highest.clear();
        m_late.clear();
    }

    /// As `crash`, and starts again after `down`.
    void crashAndRestart(Duration down, Duration firstReport)
    {
        crash();
        m_restart.startOnce(down, [this, firstReport] {
            orElse([&]() -> Result<int> {
                BOOST_LEAF_CHECK(start(firstReport));
                return 0; },
                [this](const Error& error) {
                    m_log.line("cannot start again: " + error.message);
                    m_cannotStart = true;
                    return 0;
                });
        });
    }

    bool cannotStart() const { return m_cannotStart; }

    /// Called for each order to start a run. With a result, the order gets no answer and is carried out that much later.
    std::function<std::optional<Duration>(const std::string& task)> delayStart;

    /// Called after a run has started, and after each answer to a hold.
    std::function<void(const std::string& task, int64_t runId)> onStarted;
    std::function<void(const Json& body)> onHoldAnswered;

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct Running {
        int64_t runId;
        size_t number;
        Instant doneAt;
        int64_t cpu;
        int64_t memMb;
        std::optional<Instant> stoppedAt {};
    };

    struct End {
        uint64_t number;
        std::string task;
        int64_t runId;
        std::string how;
        size_t run;
    };

    struct Waiting {
        Responder responder;
        Instant until;
    };

    static int64_t unixMs()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    Json own() const { return { { "clockMs", clockMs() }, { "born", m_born } }; }

    HttpResponse conflict(const char* reason) const
    {
        Json body = own();
        body["reason"] = reason;
        return jsonResponse(409, jsonText(body));
    }

    bool isFenced(const Json& body)
    {
        const uint64_t fence = body.value("fencingToken", uint64_t { 0 });
        if (fence < m_fence)
            return true;
        m_fence = fence;
        return false;
    }

    void extendLease(const Json& body)
    {
        if (body.contains("untilMs"))
            m_leaseUntilMs
                = std::max(m_leaseUntilMs, std::min(body["untilMs"].get<int64_t>(), clockMs() + m_settings.maxHoldMs));
    }

    void handle(const HttpRequest& request, const Responder& responder)
    {
        const std::string_view expected = request.header("Hemlocklead-Expected-Instance");
        if (!expected.empty() && expected != m_settings.id)
            return responder->reply(jsonResponse(421, "{}"));
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return responder->reply(jsonResponse(400, "{}"));
        if (request.path == "/v1/hold")
            return hold(body, responder);
        if (request.path == "/v1/run-start") {
            const std::optional<Duration> delay
                = delayStart ? delayStart(body.value("task", std::string())) : std::nullopt;
            if (delay) {
                m_log.line("order to start " + body.value("task", std::string()) + " on " + m_settings.id
                    + " gets no answer, is carried out " + std::to_string(delay->count()) + " ms later");
                m_late.push_back({ m_clock.now() + *delay, body, responder });
                return;
            }
            return responder->reply(startRun(body));
        }
        if (request.path == "/v1/run-stop")
            return responder->reply(stopRun(body));
        if (request.path == "/v1/pace")
            return responder->reply(isFenced(body) ? conflict("fence") : jsonResponse(200, jsonText(own())));
        responder->reply(jsonResponse(404, "{}"));
    }

    /// The payload of a test's job is "ms=DURATION cpu=C mem=M ...": a minion knows what its tasks need.
    static int64_t number(const std::string& spec, const std::string& key, int64_t otherwise)
    {
        const size_t at = spec.find(key);
        return at == std::string::npos ? otherwise : std::strtoll(spec.c_str() + at + key.size(), nullptr, 10);
    }

    HttpResponse startRun(const Json& body)
    {
        const auto task = body.value("task", std::string());
        const auto runId = body.value("runId", int64_t { 0 });
        const auto spec = body.value("spec", std::string());
        if (isFenced(body))
            return conflict("fence");
        const HttpResponse accepted = jsonResponse(200, jsonText(own()));
        if (const auto found = m_running.find(task); found != m_running.end() && found->second.runId == runId)
            return accepted;
        if (body.value("untilMs", int64_t { 0 }) <= clockMs())
            return conflict("late");
        extendLease(body);
        if (m_running.contains(task) || runId <= m_highest[task])
            return conflict("old");
        const int64_t cpu = number(spec, "cpu=", 1000);
        const int64_t memMb = number(spec, "mem=", 100);
        int64_t cpuUsed = cpu;
        int64_t memUsed = memMb;
        for (const auto& [name, run] : m_running) {
            cpuUsed += run.cpu;
            memUsed += run.memMb;
        }
        if (cpuUsed > m_settings.cpu || memUsed > m_settings.memMb)
            return conflict("room");
        ++m_starts;
        const size_t run = m_log.started(task, runId, m_settings.id, m_born);
        m_running.emplace(
            task, Running { runId, run, m_clock.now() + Duration { number(spec, "ms=", 1000) }, cpu, memMb });
        if (onStarted)
            onStarted(task, runId);
        return accepted;
    }

    HttpResponse stopRun(const Json& body)
    {
        const auto task = body.value("task", std::string());
        const auto runId = body.value("runId", int64_t { 0 });
        if (isFenced(body))
            return conflict("fence");
        m_log.line("stop  " + task + " run " + std::to_string(runId) + " on " + m_settings.id);
        m_highest[task] = std::max(m_highest[task], runId);
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.runId <= runId && !found->second.stoppedAt)
            found->second.stoppedAt = m_clock.now() + m_settings.stopTime;
        return jsonResponse(200, jsonText(own()));
    }

    void hold(const Json& body, const Responder& responder)
    {
        if (isFenced(body))
            return responder->reply(conflict("fence"));
        noteLapse();
        extendLease(body);
        const uint64_t lastSeen = body.value("lastSeen", uint64_t { 0 });
        for (const End& end : m_ends) {
            if (end.number <= lastSeen)
                m_log.noted(end.run);
        }
        const size_t before = m_ends.size();
        std::erase_if(m_ends, [lastSeen](const End& end) { return end.number <= lastSeen; });
        if (m_ends.size() != before)
            m_log.line("hold on " + m_settings.id + " with lastSeen " + std::to_string(lastSeen) + ": "
                + std::to_string(before - m_ends.size()) + " ends are forgotten");
        const Duration wait { std::min<int64_t>(body.value("waitMs", int64_t { 0 }), 2000) };
        if (!m_ends.empty() || wait.count() == 0)
            return answerHold(responder);
        m_waiting.push_back({ responder, m_clock.now() + wait });
    }

    void answerHold(const Responder& responder)
    {
        Json body = own();
        body["running"] = Json::array();
        for (const auto& [task, run] : m_running)
            body["running"].push_back({ task, run.runId, "", 50, run.cpu });
        body["endedRuns"] = Json::array();
        for (const End& end : m_ends) {
            if (body["endedRuns"].size() < 500)
                body["endedRuns"].push_back({ end.number, end.task, end.runId, end.how, "" });
        }
        responder->reply(jsonResponse(200, jsonText(body)));
        if (onHoldAnswered)
            onHoldAnswered(body);
    }

    void end(const std::string& task, const std::string& how)
    {
        const Running run = m_running.at(task);
        m_running.erase(task);
        m_highest[task] = std::max(m_highest[task], run.runId);
        m_ends.push_back({ ++m_lastEnd, task, run.runId, how, run.number });
        m_log.ended(run.number, how);
    }

    void noteLapse()
    {
        if (clockMs() <= m_leaseUntilMs)
            return;
        for (const End& end : m_ends)
            m_log.leaseLapsed(end.run);
    }

    void tick()
    {
        if (!m_server)
            return;
        const Instant now = m_clock.now();
        noteLapse();
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, run] : m_running) {
            if (run.stoppedAt && now >= *run.stoppedAt)
                ends.emplace_back(task, "stopped");
            else if (clockMs() > m_leaseUntilMs)
                ends.emplace_back(task, "lapsed");
            else if (!run.stoppedAt && now >= run.doneAt)
                ends.emplace_back(task, "done");
        }
        for (const auto& [task, how] : ends)
            end(task, how);
        for (auto late = m_late.begin(); late != m_late.end();) {
            if (now < late->at) {
                ++late;
                continue;
            }
            const HttpResponse response = startRun(late->body);
            m_log.line("late order to start " + late->body.value("task", std::string()) + " on " + m_settings.id
                + " is carried out: " + std::to_string(response.status));
            late->responder->abort();
            late = m_late.erase(late);
        }
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            if (m_ends.empty() && now < waiting->until) {
                ++waiting;
                continue;
            }
            const Responder responder = waiting->responder;
            waiting = m_waiting.erase(waiting);
            answerHold(responder);
        }
    }

    void report()
    {
        HttpRequest request;
        request.method = "PUT";
        request.path = "/v1/instances/" + m_settings.id;
        request.headers.push_back({ "Content-Type", "application/json" });
        Json body = own();
        body.update({ { "service", "service" }, { "address", m_settings.app.text() }, { "zone", m_settings.zone },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "capacity", { { "cpu", m_settings.cpu }, { "memMb", m_settings.memMb }, { "gpu", 0 } } },
            { "labels", { "a", "r1-" + m_settings.zone } }, { "sequence", ++m_sequence } });
        request.body = jsonText(body);
        m_reports.send(std::move(request), Duration { 1000 }, [](const HttpExchange&) {});
    }

    struct Late {
        Instant at;
        Json body;
        Responder responder;
    };

    EventLoop& m_loop;
    RunLog& m_log;
    Settings m_settings;
    BootClock m_clock;
    HttpClient m_reports;
    Timer m_tick;
    Timer m_heartbeat;
    Timer m_restart;
    std::unique_ptr<HttpServer> m_server;
    bool m_cannotStart { false };
    int64_t m_born { 0 };
    size_t m_starts { 0 };
    Instant m_bornAt {};
    uint64_t m_fence { 0 };
    int64_t m_leaseUntilMs { 0 };
    uint64_t m_lastEnd { 0 };
    uint64_t m_sequence { 0 };
    std::map<std::string, Running> m_running;
    std::map<std::string, int64_t> m_highest;
    std::vector<End> m_ends;
    std::list<Waiting> m_waiting;
    std::list<Late> m_late;
};

} // namespace review
