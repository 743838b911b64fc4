#include "Minion.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace review {

using namespace hemlocklead;

namespace {

    constexpr Duration tickInterval { 10 };
    constexpr Duration heartbeat { 1500 };
    constexpr Duration heartbeatRetry { 300 };
    constexpr Duration startup { 400 }; ///< Until a lasting task is at work.
    constexpr Duration restore { 600 };
    constexpr Duration stopTime { 100 };
    constexpr int64_t maxHoldMs = 6000;
    constexpr double checkpointMs = 1000;
    constexpr size_t maxListedEnds = 500;

    int64_t unixMs()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string checkpointAt(double doneMs)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(doneMs));
        return text;
    }

} // namespace

Minion::Minion(EventLoop& loop, const Clock& clock, Record& record, Settings settings)
    : m_clock(clock)
    , m_record(record)
    , m_settings(std::move(settings))
    , m_loop(loop)
    , m_server(loop, [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); })
    , m_tickTimer(loop)
    , m_statusTimer(loop)
    , m_bornAt(clock.now())
    , m_tickedAt(m_bornAt)
    , m_born(unixMs())
{
    m_tickTimer.startRepeating(tickInterval, [this] { tick(); });
}

void Minion::setControl(const Address& address)
{
    m_control = std::make_unique<HttpClient>(m_loop, address, 1);
    reportStatus();
}

void Minion::reportStatus()
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/instances/i-" + m_settings.name;
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = jsonText({ { "service", "register" }, { "address", "127.0.0.1:1" }, { "zone", m_settings.zone },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", 32000 }, { "memMb", 128000 }, { "gpu", 0 } } },
        { "labels", { m_settings.kind, m_settings.rack } }, { "clockMs", clockMs() }, { "born", m_born },
        { "sequence", ++m_sequence } });
    m_control->send(request, Duration { 1000 }, [this](const HttpExchange& exchange) {
        const bool acknowledged
            = exchange.status == HttpExchange::Status::Answered && exchange.response.status / 100 == 2;
        m_statusTimer.startOnce(acknowledged ? heartbeat : heartbeatRetry, [this] { reportStatus(); });
    });
}

void Minion::handle(const HttpRequest& request, const Responder& responder)
{
    const std::string_view expected = request.header("Hemlocklead-Expected-Instance");
    if (!expected.empty() && expected != "i-" + m_settings.name)
        return responder->reply(jsonResponse(421, "{}"));
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return responder->reply(jsonResponse(400, "{}"));
    if (request.path == "/v1/hold")
        return isFenced(body) ? responder->reply(conflict("fence")) : hold(body, responder);
    const std::optional<Duration> delay = delayOf(request.path);
    if (!delay)
        return responder->reply(carryOut(request.path, body));
    m_record.line(m_settings.name + " leaves " + request.path + " for " + body.value("task", std::string()) + " run "
        + std::to_string(body.value("runId", 0)) + " unanswered");
    m_lateOrders.emplace(m_clock.now() + *delay, std::pair(request.path, body));
    m_unanswered.push_back(responder);
}

HttpResponse Minion::carryOut(const std::string& path, const Json& body)
{
    if (isFenced(body))
        return conflict("fence");
    if (path == "/v1/run-start")
        return start(body);
    if (path == "/v1/run-stop")
        return stop(body);
    if (path == "/v1/pace")
        return pace(body);
    return jsonResponse(404, "{}");
}

bool Minion::isFenced(const Json& body)
{
    const auto fence = body.value("fencingToken", uint64_t { 0 });
    if (fence < m_highestFence)
        return true;
    m_highestFence = fence;
    return false;
}

HttpResponse Minion::conflict(const std::string& reason) const
{
    return jsonResponse(409, jsonText({ { "clockMs", clockMs() }, { "born", m_born }, { "reason", reason } }));
}

HttpResponse Minion::accepted() const { return jsonResponse(200, jsonText({ { "clockMs", clockMs() } })); }

void Minion::extendLease(const Json& body)
{
    const int64_t until = std::min(body.value("untilMs", int64_t { 0 }), clockMs() + maxHoldMs);
    m_leaseUntilMs = std::max(m_leaseUntilMs, until);
}

HttpResponse Minion::start(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto attempt = body.value("runId", uint32_t { 0 });
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.attempt == attempt)
        return accepted();
    const auto ended = m_endedAttempts.find(task);
    if (running != m_runs.end() || (ended != m_endedAttempts.end() && attempt <= ended->second)) {
        extendLease(body);
        return conflict("old");
    }
    if (body.value("untilMs", int64_t { 0 }) <= clockMs())
        return conflict("late");
    extendLease(body);
    const Instant now = m_clock.now();
    const auto spec = body.value("spec", std::string());
    Run run;
    run.attempt = attempt;
    run.lasts = spec == "lasts";
    run.startedAt = now;
    run.worksFrom = now;
    if (spec.starts_with("work="))
        run.workMs = std::strtod(spec.c_str() + 5, nullptr);
    run.checkpoint = body.value("lastCheckpoint", std::string());
    if (!run.checkpoint.empty()) {
        run.doneMs = static_cast<double>(std::strtoull(run.checkpoint.c_str(), nullptr, 16));
        run.worksFrom = now + restore;
    }
    if (const std::optional<Duration> failure = failureOf())
        run.failsAt = now + *failure;
    m_runs[task] = run;
    m_record.line(m_settings.name + " starts " + task + " run " + std::to_string(attempt));
    onStart(task);
    return accepted();
}

HttpResponse Minion::stop(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto attempt = body.value("runId", uint32_t { 0 });
    uint32_t& highest = m_endedAttempts[task];
    highest = std::max(highest, attempt);
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.attempt <= attempt && !running->second.stopsAt)
        running->second.stopsAt = m_clock.now() + stopTime;
    return accepted();
}

HttpResponse Minion::pace(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto percent = body.value("percent", int64_t { 100 });
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.attempt == body.value("runId", uint32_t { 0 })) {
        running->second.pace = percent;
        m_record.line(m_settings.name + " is told pace " + std::to_string(percent) + " for " + task);
    }
    return accepted();
}

void Minion::hold(const Json& body, const Responder& responder)
{
    extendLease(body);
    const auto lastSeen = body.value("lastSeen", uint64_t { 0 });
    std::erase_if(m_ends, [&](const End& end) { return end.number <= lastSeen; });
    const Duration wait { body.value("waitMs", int64_t { 0 }) };
    if (!m_ends.empty() || wait.count() == 0)
        return responder->reply(lists());
    m_waiting.push_back({ m_clock.now() + wait, responder });
}

bool Minion::isDisturbed() const
{
    return std::ranges::any_of(m_runs, [](const auto& entry) { return !entry.second.lasts && entry.second.pace > 0; });
}

HttpResponse Minion::lists() const
{
    Json running = Json::array();
    const Instant now = m_clock.now();
    for (const auto& [task, run] : m_runs) {
        const int64_t percent = run.lasts ? (now - run.startedAt >= startup ? 100 : 50)
                                          : static_cast<int64_t>(100 * run.doneMs / std::max(run.workMs, 1.0));
        running.push_back({ task, run.attempt, run.checkpoint, std::min<int64_t>(percent, 100),
            run.lasts ? tailOf(isDisturbed()) : 35 * run.pace });
    }
    Json ended = Json::array();
    for (size_t i = 0; i < std::min(m_ends.size(), maxListedEnds); ++i)
        ended.push_back({ m_ends[i].number, m_ends[i].task, m_ends[i].attempt, m_ends[i].how, m_ends[i].checkpoint });
    return jsonResponse(200,
        jsonText({ { "clockMs", clockMs() }, { "born", m_born }, { "running", running }, { "endedRuns", ended } }));
}

void Minion::end(const std::string& task, const std::string& how)
{
    const Run run = m_runs.at(task);
    uint32_t& highest = m_endedAttempts[task];
    highest = std::max(highest, run.attempt);
    const std::string checkpoint = how == "stopped" && !run.lasts ? checkpointAt(run.doneMs) : run.checkpoint;
    m_ends.push_back({ ++m_lastEnd, task, run.attempt, how, checkpoint });
    m_runs.erase(task);
    m_record.line(m_settings.name + " ends " + task + " run " + std::to_string(run.attempt) + " " + how);
    onEnd(task, how);
}

void Minion::tick()
{
    const Instant now = m_clock.now();
    while (!m_lateOrders.empty() && m_lateOrders.begin()->first <= now) {
        const auto [path, body] = m_lateOrders.extract(m_lateOrders.begin()).mapped();
        m_record.line(m_settings.name + " carries out late " + path + " for " + body.value("task", std::string()));
        carryOut(path, body);
    }
    const auto elapsed = static_cast<double>((now - m_tickedAt).count());
    m_tickedAt = now;
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, run] : m_runs) {
        if (now >= run.worksFrom)
            run.doneMs += elapsed * static_cast<double>(run.pace) / 100;
        if (!run.lasts && run.doneMs >= checkpointMs)
            run.checkpoint
                = checkpointAt(checkpointMs * static_cast<double>(static_cast<int>(run.doneMs / checkpointMs)));
        if (clockMs() > m_leaseUntilMs)
            ends.emplace_back(task, "lapsed");
        else if (run.stopsAt && now >= *run.stopsAt)
            ends.emplace_back(task, "stopped");
        else if (run.failsAt && now >= *run.failsAt)
            ends.emplace_back(task, "failed");
        else if (!run.lasts && run.doneMs >= run.workMs)
            ends.emplace_back(task, "done");
    }
    for (const auto& [task, how] : ends)
        end(task, how);
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (m_ends.empty() && now < waiting->until) {
            ++waiting;
            continue;
        }
        waiting->responder->reply(lists());
        waiting = m_waiting.erase(waiting);
    }
}

} // namespace review
