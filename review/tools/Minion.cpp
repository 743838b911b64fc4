#include "Minion.h"

#include "dispatch/JobSpec.h"

#include <algorithm>
#include <chrono>

namespace hemlocklead::review {

namespace {

    constexpr Duration tickInterval { 5 };
    constexpr Duration heartbeat { 1500 };
    constexpr int64_t maxHoldMs = 6000;
    constexpr size_t endsAtATime = 500;

    int64_t unixMs()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    int64_t specNumber(const std::string& spec, const std::string& key)
    {
        const size_t at = spec.find(key + "=");
        return at == std::string::npos ? 0 : std::strtoll(spec.c_str() + at + key.size() + 1, nullptr, 10);
    }

} // namespace

Minion::Minion(EventLoop& loop, RunLog& log, Settings settings)
    : m_loop(loop)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_control(std::make_unique<HttpClient>(loop, m_settings.control, 1))
    , m_timer(loop)
    , m_statusTimer(loop)
{
    m_timer.startRepeating(tickInterval, [this] { tick(); });
    m_statusTimer.startRepeating(heartbeat, [this] { sendStatus(); });
}

void Minion::boot(bool keepsId)
{
    ++m_incarnation;
    if (!keepsId || m_id.empty())
        m_id = m_settings.name + "-" + std::to_string(m_incarnation);
    m_bornUnixMs = std::max(unixMs(), m_bornUnixMs + 1);
    m_bornAt = m_clock.now();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntilMs = 0;
    m_leaseLapsed = true;
    m_lastEnd = 0;
    m_highestLastSeen = 0;
    m_highestEnded.clear();
    m_up = true;
    m_server = std::make_unique<HttpServer>(
        m_loop, [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); });
    const bool listens = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_server->listen(m_settings.address));
            return true;
        },
        [](const Error&) { return false; });
    m_log.line(m_id + (listens ? " is up" : " cannot listen"));
    sendStatus();
}

void Minion::crash()
{
    m_log.line(m_id + " crashes");
    m_up = false;
    for (const auto& [task, run] : m_running)
        m_log.ended(run.logIndex, "gone");
    m_running.clear();
    m_ends.clear();
    m_late.clear();
    for (const WaitingHold& hold : m_holds)
        hold.responder->abort();
    m_holds.clear();
    for (const Responder& responder : m_unanswered)
        responder->abort();
    m_unanswered.clear();
    m_server.reset();
}

void Minion::handle(const HttpRequest& request, const Responder& responder)
{
    const std::string_view expected = request.header("Hemlocklead-Expected-Instance");
    if (!expected.empty() && expected != m_id)
        return responder->reply(jsonResponse(421, "{}"));
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return responder->reply(jsonResponse(400, "{}"));
    if (m_lateness) {
        if (const std::optional<Duration> delay = m_lateness(request)) {
            m_log.line(m_id + " leaves " + request.path + " unanswered, to carry it out "
                + std::to_string(delay->count()) + " ms later: " + request.body);
            m_late.emplace(m_clock.now() + *delay, std::pair(m_incarnation, request));
            return m_unanswered.push_back(responder);
        }
    }
    const auto wait = Duration { body.value("waitMs", int64_t { 0 }) };
    if (request.path != "/v1/hold" || wait.count() == 0)
        return responder->reply(carryOut(request, body));
    if (isFenced(body))
        return responder->reply(refusal("fence"));
    takeHold(body);
    if (!m_ends.empty())
        return responder->reply(lists());
    m_holds.push_back({ m_clock.now() + wait, responder });
}

HttpResponse Minion::carryOut(const HttpRequest& request, const Json& body)
{
    if (isFenced(body))
        return refusal("fence");
    if (request.path == "/v1/hold") {
        takeHold(body);
        return lists();
    }
    if (request.path == "/v1/run-start")
        return start(body);
    if (request.path == "/v1/run-stop")
        return stop(body);
    return request.path == "/v1/pace" ? accepted() : jsonResponse(404, "{}");
}

bool Minion::isFenced(const Json& body)
{
    const uint64_t fence = body.value("fencingToken", uint64_t { 0 });
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

void Minion::extendLease(int64_t untilMs)
{
    const int64_t until = std::min(untilMs, clockMs() + maxHoldMs);
    if (until <= clockMs())
        return;
    m_leaseUntilMs = std::max(m_leaseUntilMs, until);
    m_leaseLapsed = false;
}

HttpResponse Minion::accepted() const { return jsonResponse(200, jsonText({ { "clockMs", clockMs() } })); }

HttpResponse Minion::refusal(const std::string& reason) const
{
    return jsonResponse(409, jsonText({ { "clockMs", clockMs() }, { "reason", reason } }));
}

HttpResponse Minion::start(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto attempt = body.value("runId", uint32_t { 0 });
    const auto untilMs = body.value("untilMs", int64_t { 0 });
    const auto spec = body.value("spec", std::string());
    if (const auto running = m_running.find(task); running != m_running.end())
        return running->second.attempt == attempt ? accepted() : refusal("old");
    if (untilMs <= clockMs())
        return refusal("late");
    extendLease(untilMs);
    if (const auto ended = m_highestEnded.find(task); ended != m_highestEnded.end() && attempt <= ended->second)
        return refusal("old");
    const int64_t cpu = specNumber(spec, "cpu");
    int64_t used = cpu;
    for (const auto& [name, run] : m_running)
        used += run.cpuMilli;
    if (used > m_settings.cpuMilli)
        return refusal("room");
    const auto id = dispatch::parseTaskId(task);
    Duration length { specNumber(spec, "ms") };
    if (const int64_t spread = specNumber(spec, "spread"); spread > 0 && id)
        length += Duration { 7919 * static_cast<int64_t>(id->index) % spread };
    m_running[task] = { attempt, cpu, m_clock.now(), length, m_log.started(task, attempt, m_id) };
    return accepted();
}

HttpResponse Minion::stop(const Json& body)
{
    const auto task = body.value("task", std::string());
    const auto attempt = body.value("runId", uint32_t { 0 });
    uint32_t& highest = m_highestEnded[task];
    highest = std::max(highest, attempt);
    if (const auto run = m_running.find(task); run != m_running.end() && run->second.attempt <= attempt)
        end(task, "stopped");
    return accepted();
}

void Minion::takeHold(const Json& body)
{
    extendLease(body.value("untilMs", int64_t { 0 }));
    const auto lastSeen = body.value("lastSeen", uint64_t { 0 });
    m_highestLastSeen = std::max(m_highestLastSeen, lastSeen);
    for (const End& end : m_ends) {
        if (end.number <= lastSeen)
            m_log.noted(end.logIndex);
    }
    std::erase_if(m_ends, [lastSeen](const End& end) { return end.number <= lastSeen; });
}

HttpResponse Minion::lists() const
{
    Json running = Json::array();
    for (const auto& [task, run] : m_running) {
        const int64_t percent = run.length.count() == 0
            ? 100
            : std::min<int64_t>(99, 100 * (m_clock.now() - run.startedAt).count() / run.length.count());
        running.push_back({ task, run.attempt, "", percent, run.cpuMilli });
    }
    Json ended = Json::array();
    for (const End& end : m_ends) {
        if (ended.size() == endsAtATime)
            break;
        ended.push_back({ end.number, end.task, end.attempt, end.how, "" });
    }
    return jsonResponse(200,
        jsonText(
            { { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "running", running }, { "endedRuns", ended } }));
}

void Minion::end(const std::string& task, const std::string& how)
{
    const Running run = m_running.at(task);
    m_running.erase(task);
    uint32_t& highest = m_highestEnded[task];
    highest = std::max(highest, run.attempt);
    m_ends.push_back({ ++m_lastEnd, task, run.attempt, how, run.logIndex });
    m_log.ended(run.logIndex, how);
}

void Minion::tick()
{
    if (!m_up)
        return;
    const Instant now = m_clock.now();
    while (!m_late.empty() && m_late.begin()->first <= now) {
        const auto [incarnation, request] = m_late.extract(m_late.begin()).mapped();
        if (incarnation != m_incarnation)
            continue;
        m_log.line(m_id + " carries out " + request.path + ": " + request.body);
        carryOut(request, Json::parse(request.body, nullptr, false));
    }
    std::vector<std::pair<std::string, std::string>> ends;
    const bool lapses = !m_leaseLapsed && clockMs() > m_leaseUntilMs;
    for (const auto& [task, run] : m_running) {
        if (clockMs() > m_leaseUntilMs)
            ends.emplace_back(task, "lapsed");
        else if (run.length.count() > 0 && now >= run.startedAt + run.length)
            ends.emplace_back(task, "done");
    }
    for (const auto& [task, how] : ends)
        end(task, how);
    if (lapses) {
        m_leaseLapsed = true;
        m_log.leaseLapsed(m_id);
    }
    for (auto hold = m_holds.begin(); hold != m_holds.end();) {
        if (m_ends.empty() && now < hold->until) {
            ++hold;
            continue;
        }
        hold->responder->reply(lists());
        hold = m_holds.erase(hold);
    }
}

void Minion::sendStatus()
{
    if (!m_up)
        return;
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/instances/" + m_id;
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = jsonText({ { "service", "service" }, { "address", m_settings.address.text() }, { "zone", "zone-a" },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "born", m_bornUnixMs },
        { "capacity", { { "cpu", m_settings.cpuMilli }, { "memMb", m_settings.memoryMb }, { "gpu", 0 } } },
        { "labels", { "a", "r1-1" } }, { "clockMs", clockMs() }, { "sequence", ++m_sequence } });
    m_control->send(request, Duration { 1000 }, [](const HttpExchange&) {});
}

} // namespace hemlocklead::review
