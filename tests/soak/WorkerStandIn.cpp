#include "soak/WorkerStandIn.h"

#include "state/Json.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

namespace hemlocklead::soak {

namespace {

    constexpr Duration tickInterval { 10 };
    constexpr Duration statusInterval { 500 };
    constexpr Duration lateDelay { 2000 };
    constexpr int64_t maxLeaseMs = 6000;

    /// Processor time that every task of the soak requests.
    constexpr int64_t taskCpuMilli = 1000;

    int64_t unixMs()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    /// Number after `key` at the beginning of the payload; empty if the payload does not begin with the key.
    std::optional<Duration> leadingDuration(const std::string& payload, std::string_view key)
    {
        if (!payload.starts_with(key))
            return std::nullopt;
        return Duration { std::strtoll(payload.c_str() + key.size(), nullptr, 10) };
    }

} // namespace

WorkerStandIn::WorkerStandIn(EventLoop& loop, InvariantChecker& invariants, std::string name, int64_t cpuMilli)
    : m_loop(loop)
    , m_invariants(invariants)
    , m_name(std::move(name))
    , m_cpuMilli(cpuMilli)
    , m_timer(loop)
    , m_statusTimer(loop)
    , m_restartTimer(loop)
{
    restart();
    m_timer.startRepeating(tickInterval, [this] { tick(); });
    m_statusTimer.startRepeating(statusInterval, [this] { reportStatus(); });
}

Result<void> WorkerStandIn::listen(const Address& address)
{
    m_address = address;
    m_server = std::make_unique<HttpServer>(
        m_loop, [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); });
    return m_server->listen(address);
}

void WorkerStandIn::setControl(const Address& address) { m_control = std::make_unique<HttpClient>(m_loop, address, 1); }

void WorkerStandIn::setFault(Fault fault)
{
    m_fault = fault;
    abortUnanswered();
}

void WorkerStandIn::abortUnanswered()
{
    for (const Responder& responder : std::exchange(m_unanswered, {}))
        responder->abort();
}

void WorkerStandIn::restart()
{
    ++m_idNumber;
    beginIncarnation();
}

void WorkerStandIn::restartInPlace(Duration down, Duration firstStatus)
{
    abortUnanswered();
    beginIncarnation();
    m_server.reset();
    m_restartTimer.startOnce(down, [this, firstStatus] {
        beginIncarnation();
        orElse([this]() -> Result<void> { return listen(m_address); },
            [this](const Error& error) { m_invariants.violation(m_name + " cannot listen again: " + error.message); });
        m_statusTimer.startOnce(firstStatus, [this] {
            reportStatus();
            m_statusTimer.startRepeating(statusInterval, [this] { reportStatus(); });
        });
    });
}

void WorkerStandIn::beginIncarnation()
{
    for (const auto& [task, run] : m_running)
        m_invariants.runEnded(task, m_name, false);
    m_running.clear();
    m_highestEndedAttempt.clear();
    m_unacknowledgedEnds.clear();
    for (const WaitingPoll& poll : m_polls)
        poll.responder->abort();
    m_polls.clear();
    m_bornUnixMs = std::max(unixMs(), m_bornUnixMs + 1);
    m_bornAt = m_clock.now();
    m_highestFence = 0;
    m_leaseUntilMs = 0;
    m_sequence = 0;
    m_lastEndNumber = 0;
}

void WorkerStandIn::handle(const HttpRequest& request, const Responder& responder)
{
    if (m_fault == Fault::Unresponsive)
        return m_unanswered.push_back(responder);
    const std::string_view expected = request.header("Hemlocklead-Expected-Instance");
    if (!expected.empty() && expected != m_name + "-" + std::to_string(m_idNumber))
        return responder->reply(jsonResponse(421, "{}"));
    const Json body = Json::parse(request.body, nullptr, false);
    if (request.path.starts_with("/v1/hold"))
        return poll(body, responder);
    if (m_fault == Fault::Late) {
        m_delayedOrders.emplace(m_clock.now() + lateDelay, std::pair(m_idNumber, request));
        return m_unanswered.push_back(responder);
    }
    if (request.path.starts_with("/v1/run-start"))
        return responder->reply(start(body));
    if (request.path.starts_with("/v1/run-stop"))
        return responder->reply(stop(body));
    responder->reply(isFenced(body) ? conflict("fence") : jsonResponse(200, "{}"));
}

bool WorkerStandIn::isFenced(const Json& body)
{
    const uint64_t fence = body.value("fencingToken", uint64_t { 0 });
    if (fence < m_highestFence)
        return true;
    m_highestFence = fence;
    return false;
}

void WorkerStandIn::extendLease(const Json& body)
{
    const int64_t requestedMs = std::min(body.value("untilMs", int64_t { 0 }), clockMs() + maxLeaseMs);
    m_leaseUntilMs = std::max(m_leaseUntilMs, requestedMs);
}

HttpResponse WorkerStandIn::conflict(const std::string& reason) const
{
    return jsonResponse(409, jsonText({ { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "reason", reason } }));
}

HttpResponse WorkerStandIn::start(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto attempt = body.value("runId", uint32_t { 0 });
    HttpResponse accepted = jsonResponse(200, jsonText({ { "clockMs", clockMs() } }));
    if (isFenced(body))
        return conflict("fence");
    if (const auto running = m_running.find(task); running != m_running.end())
        return running->second.attempt == attempt ? accepted : conflict("old");
    if (const auto ended = m_highestEndedAttempt.find(task);
        ended != m_highestEndedAttempt.end() && attempt <= ended->second)
        return conflict("old");
    if (body.value("untilMs", int64_t { 0 }) <= clockMs())
        return conflict("late");
    extendLease(body);
    if (static_cast<int64_t>(m_running.size() + 1) * taskCpuMilli > m_cpuMilli)
        return conflict("room");
    const auto payload = body.value("spec", std::string());
    m_invariants.runStarted(task, attempt, payload, m_name);
    Run run { attempt, Instant::max(), {} };
    if (const auto time = leadingDuration(payload, "ms="))
        run = { attempt, m_clock.now() + *time, "done" };
    else if (const auto timeToFailure = leadingDuration(payload, "fails="); timeToFailure && attempt == 1)
        run = { attempt, m_clock.now() + *timeToFailure, "failed" };
    m_running[task] = run;
    return accepted;
}

HttpResponse WorkerStandIn::stop(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto attempt = body.value("runId", uint32_t { 0 });
    if (isFenced(body))
        return conflict("fence");
    uint32_t& highest = m_highestEndedAttempt[task];
    highest = std::max(highest, attempt);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.attempt <= attempt)
        end(task, "stopped");
    return jsonResponse(200, jsonText({ { "clockMs", clockMs() } }));
}

void WorkerStandIn::poll(const Json& body, const Responder& responder)
{
    if (isFenced(body))
        return responder->reply(conflict("fence"));
    extendLease(body);
    const auto lastSeen = body.value("lastSeen", uint64_t { 0 });
    for (const End& end : m_unacknowledgedEnds) {
        if (end.number <= lastSeen && end.reason == "done")
            m_invariants.completionAcknowledged(end.task);
    }
    std::erase_if(m_unacknowledgedEnds, [lastSeen](const End& end) { return end.number <= lastSeen; });
    const auto wait = Duration { body.value("waitMs", int64_t { 0 }) };
    if (!m_unacknowledgedEnds.empty() || wait.count() == 0)
        return responder->reply(runStatus());
    m_polls.push_back({ lastSeen, m_clock.now() + wait, responder });
}

HttpResponse WorkerStandIn::runStatus() const
{
    Json running = Json::array();
    for (const auto& [task, run] : m_running)
        running.push_back({ task, run.attempt, "", 50, 0 });
    Json ended = Json::array();
    for (const End& end : m_unacknowledgedEnds)
        ended.push_back({ end.number, end.task, end.attempt, end.reason, "" });
    return jsonResponse(200,
        jsonText(
            { { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "running", running }, { "endedRuns", ended } }));
}

void WorkerStandIn::end(const std::string& task, const std::string& reason)
{
    const auto run = m_running.find(task);
    uint32_t& highest = m_highestEndedAttempt[task];
    highest = std::max(highest, run->second.attempt);
    m_unacknowledgedEnds.push_back({ ++m_lastEndNumber, task, run->second.attempt, reason });
    m_running.erase(run);
    m_invariants.runEnded(task, m_name, reason == "done");
}

void WorkerStandIn::tick()
{
    if (!m_server)
        return;
    const Instant now = m_clock.now();
    while (!m_delayedOrders.empty() && m_delayedOrders.begin()->first <= now) {
        const auto [idNumber, request] = m_delayedOrders.extract(m_delayedOrders.begin()).mapped();
        const Json body = Json::parse(request.body, nullptr, false);
        if (idNumber == m_idNumber && request.path.starts_with("/v1/run-start"))
            start(body);
        else if (idNumber == m_idNumber && request.path.starts_with("/v1/run-stop"))
            stop(body);
    }
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : m_running) {
        if (clockMs() > m_leaseUntilMs)
            ends.emplace_back(task, "lapsed");
        else if (now >= run.endsAt)
            ends.emplace_back(task, run.endReason);
    }
    for (const auto& [task, reason] : ends)
        end(task, reason);
    if (m_fault == Fault::Unresponsive)
        return;
    for (auto poll = m_polls.begin(); poll != m_polls.end();) {
        if (m_unacknowledgedEnds.empty() && now < poll->until) {
            ++poll;
            continue;
        }
        poll->responder->reply(runStatus());
        poll = m_polls.erase(poll);
    }
}

void WorkerStandIn::reportStatus()
{
    if (!m_server || !m_control || m_fault == Fault::Unresponsive)
        return;
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/instances/" + m_name + "-" + std::to_string(m_idNumber);
    request.body = jsonText({ { "service", "service" }, { "address", "127.0.0.1:1" }, { "zone", "zone" },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "born", m_bornUnixMs },
        { "capacity", { { "cpu", m_cpuMilli }, { "memMb", 64000 }, { "gpu", 0 } } }, { "labels", { "a", "r1" } },
        { "clockMs", clockMs() }, { "sequence", ++m_sequence } });
    m_control->send(request, statusInterval, [](const HttpExchange&) {});
}

} // namespace hemlocklead::soak
