#include "agent/CallGate.h"

#include "protocol/BodyHash.h"
#include "protocol/ErrorTable.h"
#include "protocol/HopHeaders.h"
#include "protocol/SpanLog.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocklead {

namespace {

    constexpr double latencySampleWeight = 0.2; ///< Weight of a new sample in the moving average.

    constexpr int64_t defaultSlots = 8;
    constexpr int64_t defaultConnections = 64;

    Result<SlotGate::Announcement> parseAnnouncement(
        const std::string& service, const std::string& instance, const HttpRequest& request)
    {
        BOOST_LEAF_AUTO(json, parseJson(request.body));
        if (!json.is_object())
            return fail(ErrorKind::InvalidRequest, "announcement is no JSON object");
        BOOST_LEAF_AUTO(address, fromJson<std::string>(json.value("address", Json(""))));
        BOOST_LEAF_AUTO(slots, fromJson<int64_t>(json.value("slots", Json(defaultSlots))));
        BOOST_LEAF_AUTO(connections, fromJson<int64_t>(json.value("connections", Json(defaultConnections))));
        BOOST_LEAF_CHECK(parseAddress(address));
        if (slots < 1 || connections < 1)
            return fail(ErrorKind::InvalidRequest, "slots and connections must be at least 1");
        return SlotGate::Announcement { service, instance, address, slots, connections };
    }

    CallReply refusalReply(ErrorKind reason)
    {
        CallReply reply;
        reply.outcome = CallOutcome::NotRun;
        reply.error = errorName(reason);
        return reply;
    }

    CallReply unknownReply()
    {
        CallReply reply;
        reply.outcome = CallOutcome::Unknown;
        reply.error = errorName(ErrorKind::OutcomeUnknown);
        return reply;
    }

    HttpRequest makeRequest(const Call& call, const TraceContext& span)
    {
        HttpRequest request { call.method, call.path, endToEndHeaders(call.headers), call.body };
        request.headers.push_back({ "X-Request-Id", call.id });
        request.headers.push_back({ "traceparent", span.traceparent() });
        return request;
    }

    /// Whether `Content-Length`, if present, equals the length of the body. Responses that have no body because of
    /// their method or status (HEAD, 204, 304) may state another length.
    bool isComplete(const Call& call, const HttpResponse& response)
    {
        const std::string_view length = response.header("Content-Length");
        if (length.empty() || call.method == "HEAD" || response.status == 204 || response.status == 304)
            return true;
        return length == std::to_string(response.body.size());
    }

} // namespace

CallGate::CallGate(const SlotGate::Settings& settings, const Clock& clock, Ports ports, Counters& counters)
    : m_clock(clock)
    , m_ports(std::move(ports))
    , m_counters(counters)
    , m_gate(settings)
{
}

HttpResponse CallGate::handleAnnouncement(const HttpRequest& request)
{
    const std::vector<std::string> segments = pathSegments(request.path);
    if (segments.size() != 3 || segments[0] != "targets")
        return errorResponse({ ErrorKind::NotFound, "expected /targets/SERVICE/INSTANCE" });
    if (request.method == "DELETE") {
        if (m_gate.withdraw(segments[1], segments[2]))
            m_ports.targetsChanged();
        return jsonResponse(200, "{}\n");
    }
    if (request.method != "PUT")
        return errorResponse({ ErrorKind::InvalidRequest, "expected PUT or DELETE" });
    return orElse(
        [&]() -> Result<HttpResponse> {
            BOOST_LEAF_AUTO(announcement, parseAnnouncement(segments[1], segments[2], request));
            if (m_gate.announce(announcement, m_clock.now()))
                m_ports.targetsChanged();
            grantSlots();
            return jsonResponse(200, "{}\n");
        },
        [](const Error& error) { return errorResponse(error); });
}

void CallGate::call(size_t entry, Call call)
{
    if (isDuplicate(entry, call.id)) {
        m_counters.add("calls_repeated");
        return;
    }
    m_counters.add("calls");
    const uint64_t serial = ++m_lastSerial;
    const std::string service = call.service;
    const Instant now = m_clock.now();
    const Instant deadline = now + call.remaining;
    TraceContext span = startSpan(call.traceparent);
    m_calls.emplace(serial,
        PendingCall {
            entry, std::move(call), deadline, m_clock.preciseNow(), std::chrono::microseconds { 0 }, std::move(span) });
    if (m_ports.isOut()) {
        refuse({ serial, ErrorKind::DataCentreOut });
        return;
    }
    const SlotGate::Offer offer = m_gate.offer(serial, service, deadline, now);
    if (offer.refusal)
        refuse(*offer.refusal);
    if (offer.grant)
        sendToTarget(*offer.grant);
}

void CallGate::cancel(size_t entry, const std::string& id)
{
    const auto found = std::ranges::find_if(
        m_calls, [&](const auto& item) { return item.second.entry == entry && item.second.call.id == id; });
    if (found != m_calls.end() && m_gate.drop(found->first))
        m_calls.erase(found);
}

void CallGate::entryGone(size_t entry)
{
    std::erase_if(m_calls, [&](const auto& item) { return item.second.entry == entry && m_gate.drop(item.first); });
}

void CallGate::leave()
{
    for (const SlotGate::Refusal& refusal : m_gate.leave())
        refuse(refusal);
}

void CallGate::tick()
{
    const Instant now = m_clock.now();
    if (m_gate.expireTargets(now))
        m_ports.targetsChanged();
    for (const SlotGate::Refusal& refusal : m_gate.expireCalls(now))
        refuse(refusal);
    grantSlots();
    std::erase_if(m_latencyUs, [this](const auto& item) { return !m_gate.knows(item.first); });
}

std::vector<TargetReport> CallGate::targets() const
{
    std::vector<TargetReport> reports;
    for (const SlotGate::Target* target : m_gate.announced()) {
        const SlotGate::Announcement& announcement = target->announcement;
        const auto latency = m_latencyUs.find(target->id);
        reports.push_back({ announcement.service, announcement.instance, announcement.slots, target->busy,
            m_gate.queued(announcement.service),
            latency == m_latencyUs.end() ? 0 : static_cast<int64_t>(latency->second) });
    }
    return reports;
}

bool CallGate::isDuplicate(size_t entry, const std::string& id)
{
    const uint64_t hash = bodyHash(std::to_string(entry) + "/" + id);
    if (!m_recentIds.insert(hash).second)
        return true;
    m_recentIdOrder.push_back(hash);
    if (m_recentIdOrder.size() > maxRecentIds) {
        m_recentIds.erase(m_recentIdOrder.front());
        m_recentIdOrder.pop_front();
    }
    return false;
}

void CallGate::sendToTarget(const SlotGate::Grant& grant)
{
    PendingCall& pending = m_calls.at(grant.call);
    const Instant now = m_clock.now();
    if (m_ports.isOut() || now >= pending.deadline) {
        m_gate.release(grant.target);
        refuse({ grant.call, now >= pending.deadline ? ErrorKind::Timeout : ErrorKind::DataCentreOut });
        return;
    }
    pending.sentAt = m_clock.preciseNow();
    const SlotGate::Target* target = m_gate.target(grant.target);
    assert(target);
    m_ports.send(*target, makeRequest(pending.call, pending.span), pending.deadline - now,
        [this, grant](HttpExchange exchange) { handleExchange(grant, std::move(exchange)); });
}

void CallGate::handleExchange(const SlotGate::Grant& grant, HttpExchange exchange)
{
    const PendingCall& pending = m_calls.at(grant.call);
    const std::string service = pending.call.service;
    CallReply reply = makeReply(pending, grant.target, std::move(exchange));
    m_gate.release(grant.target);
    reply.busy = m_gate.load(service);
    finish(grant.call, std::move(reply));
    grantSlots();
}

CallReply CallGate::makeReply(const PendingCall& pending, uint64_t target, HttpExchange exchange)
{
    switch (exchange.status) {
    case HttpExchange::Status::Answered:
        return makeDoneReply(pending, target, std::move(exchange.response));
    case HttpExchange::Status::NotSent: {
        // Not sent although time was left: nothing listens at the address. The target is withdrawn until it announces
        // itself again.
        const SlotGate::Announcement announcement = m_gate.target(target)->announcement;
        const bool beforeDeadline = m_clock.now() < pending.deadline;
        if (beforeDeadline && m_gate.withdraw(announcement.service, announcement.instance))
            m_ports.targetsChanged();
        return refusalReply(beforeDeadline ? ErrorKind::NoTarget : ErrorKind::Timeout);
    }
    case HttpExchange::Status::Unknown:
        break;
    }
    return unknownReply();
}

CallReply CallGate::makeDoneReply(const PendingCall& pending, uint64_t target, HttpResponse response)
{
    const std::string_view echo = response.header("X-Request-Id");
    const bool crossed = !echo.empty() && echo != pending.call.id;
    if (crossed || !isComplete(pending.call, response)) {
        m_counters.add(crossed ? "answers_crossed" : "answers_truncated");
        m_ports.closeIdle(target);
        return unknownReply();
    }
    const std::chrono::microseconds latency = m_clock.preciseNow() - pending.sentAt;
    noteLatency(pending.call.service, target, latency);
    CallReply reply;
    reply.outcome = CallOutcome::Done;
    reply.status = response.status;
    reply.headers = endToEndHeaders(response.headers);
    reply.body = std::move(response.body);
    reply.bodyBytes = reply.body.size();
    reply.bodyHash = bodyHash(reply.body);
    reply.atTarget = std::chrono::duration_cast<Duration>(latency);
    return reply;
}

void CallGate::noteLatency(const std::string& service, uint64_t target, std::chrono::microseconds latency)
{
    const auto sample = static_cast<double>(latency.count());
    double& average = m_latencyUs.try_emplace(target, sample).first->second;
    average += latencySampleWeight * (sample - average);
    m_ports.onLatency(service, latency.count());
}

void CallGate::refuse(const SlotGate::Refusal& refusal)
{
    CallReply reply = refusalReply(refusal.reason);
    reply.busy = m_gate.load(m_calls.at(refusal.call).call.service);
    finish(refusal.call, std::move(reply));
}

void CallGate::finish(uint64_t serial, CallReply reply)
{
    const auto found = m_calls.find(serial);
    assert(found != m_calls.end());
    const PendingCall pending = std::move(found->second);
    m_calls.erase(found);
    reply.id = pending.call.id;
    const std::string_view outcome = outcomeName(reply.outcome);
    m_counters.add("calls_ended{outcome=\"" + std::string(outcome) + "\"}");
    logSpan(pending.span, "agent", m_clock.preciseNow() - pending.receivedAt, outcome);
    m_ports.reply(pending.entry, reply);
}

void CallGate::grantSlots()
{
    for (const SlotGate::Grant& grant : m_gate.grantNext(m_clock.now()))
        sendToTarget(grant);
}

} // namespace hemlocklead
