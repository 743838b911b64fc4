#include "entry/CallRouter.h"

#include "base/Log.h"
#include "protocol/BodyHash.h"
#include "protocol/ErrorTable.h"
#include "protocol/SpanLog.h"

#include <algorithm>
#include <utility>

namespace hemlocklead {

namespace {

    /// Subtracted from the remaining time that is sent to an agent, so that its refusal arrives before the deadline.
    constexpr Duration replyMargin { 10 };

    constexpr size_t tryIdDigits = 32;

    Duration remainingForAgent(Duration remaining) { return remaining - std::min(replyMargin, remaining / 10); }

    std::string_view defaultMessage(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::OutcomeUnknown:
            return "the request was sent to a target and may have been run";
        case ErrorKind::Timeout:
            return "the deadline passed before the request was started";
        case ErrorKind::NoTarget:
            return "no usable target";
        case ErrorKind::Overloaded:
            return "the targets are full";
        default:
            return "the request was refused";
        }
    }

} // namespace

CallRouter::CallRouter(Settings settings, const Clock& clock, ControlLookup control, Send send, Counters& counters)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_control(std::move(control))
    , m_send(std::move(send))
    , m_counters(counters)
{
}

uint64_t CallRouter::handle(HttpRequest request, const Exchange::ResponseCallback& respond)
{
    m_counters.add("requests");
    const uint64_t serial = ++m_lastSerial;
    const std::string id = callerRequestId(request);
    const std::string traceparent(request.header("traceparent"));
    const bool accepted = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(call, parseCallRequest(std::move(request), m_control(), m_clock.now()));
            call.id = id;
            m_exchanges[serial] = std::make_unique<Exchange>(std::move(call), respond);
            return true;
        },
        [&](const Error& error) {
            HttpResponse response = errorResponse(error, id);
            response.headers.push_back({ "X-Request-Id", id });
            response.headers.push_back({ "traceparent", startSpan(traceparent).traceparent() });
            respond(std::move(response));
            return false;
        });
    if (!accepted)
        return 0;
    Exchange& exchange = *m_exchanges.at(serial);
    exchange.receivedAt = m_clock.preciseNow();
    route(exchange.request().service).budget.noteRequest();
    offer(serial, exchange);
    return m_exchanges.contains(serial) ? serial : 0;
}

void CallRouter::callerGone(uint64_t serial)
{
    const auto found = m_exchanges.find(serial);
    if (found == m_exchanges.end())
        return;
    m_counters.add("callers_gone");
    endTries(*found->second, false);
    removeExchange(serial);
}

void CallRouter::updateTargets(
    const std::string& host, const std::string& dataCentre, const std::vector<TargetReport>& targets)
{
    std::map<std::string, TargetChooser::Report> byService;
    for (const TargetReport& target : targets) {
        TargetChooser::Report& report = byService[target.service];
        report.dataCentre = dataCentre;
        report.slots += target.slots;
        // Every target reports the queue of its service on the whole host, so the queue is added only once.
        report.busy += target.busy + (report.busy == 0 ? target.queued : 0);
        report.latency = std::max(report.latency, std::chrono::microseconds { target.latencyUs });
    }
    for (const auto& [service, serviceRoute] : m_routes) {
        if (!byService.contains(service))
            serviceRoute->chooser.remove(host);
    }
    for (const auto& [service, report] : byService)
        route(service).chooser.update(host, report, m_clock.now());
}

void CallRouter::agentLeaving(const std::string& host)
{
    for (const auto& [service, serviceRoute] : m_routes)
        serviceRoute->chooser.setLeaving(host);
}

void CallRouter::agentGone(const std::string& host)
{
    std::vector<std::string> tryIds;
    for (const auto& [serial, exchange] : m_exchanges) {
        for (const Exchange::Try& current : exchange->tries()) {
            if (current.host == host)
                tryIds.push_back(current.id);
        }
    }
    for (const auto& [service, serviceRoute] : m_routes)
        serviceRoute->chooser.remove(host);
    for (const std::string& id : tryIds) {
        // The exchange may have ended in an earlier iteration, together with its other tries.
        const auto found = m_tries.find(id);
        if (found == m_tries.end())
            continue;
        const uint64_t serial = found->second;
        m_tries.erase(found);
        handleUnknownOutcome(serial, *m_exchanges.at(serial)->takeTry(id));
    }
}

void CallRouter::handleReply(const std::string& host, const CallReply& reply)
{
    const auto found = m_tries.find(reply.id);
    if (found == m_tries.end()) {
        m_counters.add("replies_late");
        return;
    }
    const uint64_t serial = found->second;
    Exchange& exchange = *m_exchanges.at(serial);
    if (exchange.findTry(reply.id)->host != host) {
        m_counters.add("replies_crossed");
        return;
    }
    m_tries.erase(found);
    const Exchange::Try ended = *exchange.takeTry(reply.id);
    TargetChooser& chooser = route(exchange.request().service).chooser;
    chooser.noteBusy(host, reply.busy, m_clock.now());
    if (reply.outcome == CallOutcome::Done && isComplete(reply)) {
        handleResponse(serial, ended, reply);
        return;
    }
    if (reply.outcome != CallOutcome::NotRun) {
        handleUnknownOutcome(serial, ended);
        return;
    }
    const ErrorKind reason = errorKindByName(reply.error);
    chooser.ended(host, std::nullopt);
    if (reason == ErrorKind::NoTarget)
        chooser.ejector().record(host, false, m_clock.now());
    applyStep(serial, exchange.afterNotRun(reason));
}

Json CallRouter::status() const
{
    Json services = Json::object();
    for (const auto& [service, serviceRoute] : m_routes) {
        Json targets = Json::array();
        for (const auto& [host, target] : serviceRoute->chooser.targets())
            targets.push_back({ { "host", host }, { "data_centre", target.report.dataCentre },
                { "slots", target.report.slots }, { "busy", target.report.busy }, { "in_flight", target.inFlight },
                { "latency_us", static_cast<int64_t>(target.latencyUs) }, { "leaving", target.leaving },
                { "ejected", serviceRoute->chooser.ejector().isEjected(host) } });
        services[service] = std::move(targets);
    }
    Json admission = Json::object();
    for (const auto& [name, queue] : m_admission)
        admission[name] = { { "in_flight", queue.inFlight() }, { "queued", queue.queued() } };
    return { { "targets", std::move(services) }, { "admission", std::move(admission) } };
}

CallRouter::Route& CallRouter::route(const std::string& service)
{
    std::unique_ptr<Route>& found = m_routes[service];
    if (!found) {
        const uint64_t seed = m_settings.seed + m_routes.size();
        found = std::make_unique<Route>(
            Route { TargetChooser(m_settings.dataCentre, seed), RetryBudget(m_settings.retryBudgetPercent), {} });
    }
    return *found;
}

Duration CallRouter::expectedTime(Route& route) const
{
    return std::chrono::ceil<Duration>(route.latency.median().value_or(std::chrono::microseconds { 0 }));
}

void CallRouter::offer(uint64_t serial, Exchange& exchange)
{
    const CallRequest& request = exchange.request();
    AdmissionQueue& queue = m_admission[request.name];
    const Duration expected = expectedTime(route(request.service));
    switch (queue.offer(serial, request.deadline, m_clock.now(), expected, request.limits)) {
    case AdmissionQueue::Decision::Admitted:
        exchange.admitted = true;
        startTry(serial, false);
        break;
    case AdmissionQueue::Decision::Queued:
        break;
    case AdmissionQueue::Decision::QueueFull:
        m_counters.add("requests_shed");
        endWithError(serial, ErrorKind::Overloaded, "the queue is full");
        break;
    case AdmissionQueue::Decision::TooLate:
        m_counters.add("requests_shed");
        endWithError(serial, ErrorKind::Overloaded, "the deadline cannot be met");
        break;
    }
}

void CallRouter::startTry(uint64_t serial, bool hedge)
{
    Exchange& exchange = *m_exchanges.at(serial);
    const CallRequest& request = exchange.request();
    exchange.retryAt.reset();
    if (m_clock.now() >= request.deadline) {
        endWithError(serial, exchange.failure());
        return;
    }
    const ControlState& control = m_control();
    const auto isOut = [&control](std::string_view dataCentre) { return control.isOut(dataCentre); };
    const auto host
        = route(request.service).chooser.choose({ request.idempotent, exchange.triedHosts() }, isOut, m_clock.now());
    if (host) {
        sendTry(serial, exchange, *host);
        return;
    }
    if (hedge)
        return;
    const ErrorKind failure = exchange.failure();
    endWithError(serial, failure == ErrorKind::Timeout ? ErrorKind::NoTarget : failure);
}

void CallRouter::sendTry(uint64_t serial, Exchange& exchange, const std::string& host)
{
    const CallRequest& request = exchange.request();
    Call call;
    call.id = randomHex(tryIdDigits);
    call.service = request.service;
    call.method = request.method;
    call.path = request.path;
    call.headers = request.headers;
    call.body = request.body;
    call.remaining = remainingForAgent(request.deadline - m_clock.now());
    call.traceparent = request.span.traceparent();
    TargetChooser& chooser = route(request.service).chooser;
    if (!m_send(host, call)) {
        chooser.remove(host);
        applyStep(serial, exchange.afterNotRun(ErrorKind::Leaving));
        return;
    }
    chooser.sent(host);
    exchange.addTry({ call.id, host, m_clock.preciseNow() });
    m_tries[call.id] = serial;
}

bool CallRouter::isComplete(const CallReply& reply) const
{
    if (reply.bodyBytes == reply.body.size() && reply.bodyHash == bodyHash(reply.body))
        return true;
    m_counters.add("replies_damaged");
    return false;
}

void CallRouter::handleResponse(uint64_t serial, const Exchange::Try& ended, const CallReply& reply)
{
    Exchange& exchange = *m_exchanges.at(serial);
    Route& serviceRoute = route(exchange.request().service);
    const bool success = reply.status < 500;
    const std::chrono::microseconds latency = m_clock.preciseNow() - ended.sentAt;
    serviceRoute.chooser.ended(ended.host, success ? std::optional(latency) : std::nullopt);
    serviceRoute.chooser.ejector().record(ended.host, success, m_clock.now());
    if (success)
        serviceRoute.latency.record(latency);
    endTries(exchange, false);
    HttpResponse response { reply.status, reply.headers, reply.body };
    response.headers.push_back({ "Hemlocklead-Outcome", std::string(outcomeName(CallOutcome::Done)) });
    finish(serial, std::move(response), outcomeName(CallOutcome::Done));
}

void CallRouter::handleUnknownOutcome(uint64_t serial, const Exchange::Try& ended)
{
    Exchange& exchange = *m_exchanges.at(serial);
    TargetChooser& chooser = route(exchange.request().service).chooser;
    chooser.ended(ended.host, std::nullopt);
    chooser.ejector().record(ended.host, false, m_clock.now());
    applyStep(serial, exchange.afterUnknown());
}

void CallRouter::applyStep(uint64_t serial, Exchange::Step step)
{
    Exchange& exchange = *m_exchanges.at(serial);
    switch (step) {
    case Exchange::Step::Wait:
        return;
    case Exchange::Step::Retry:
        retry(serial);
        return;
    case Exchange::Step::RetryWithinBudget:
        if (route(exchange.request().service).budget.take()) {
            retry(serial);
            return;
        }
        m_counters.add("retries_over_budget");
        break;
    case Exchange::Step::GiveUp:
        break;
    }
    endWithError(serial, exchange.failure());
}

void CallRouter::retry(uint64_t serial)
{
    m_counters.add("retries");
    Exchange& exchange = *m_exchanges.at(serial);
    const Duration delay = exchange.retryDelay();
    exchange.noteRetry();
    if (delay.count() == 0)
        startTry(serial, false);
    else
        exchange.retryAt = m_clock.now() + delay;
}

void CallRouter::endWithError(uint64_t serial, ErrorKind kind, std::string_view message)
{
    Exchange& exchange = *m_exchanges.at(serial);
    endTries(exchange, true);
    const Error error { kind, std::string(message.empty() ? defaultMessage(kind) : message) };
    finish(serial, errorResponse(error, exchange.request().id), outcomeName(errorMapping(kind).outcome));
}

void CallRouter::finish(uint64_t serial, HttpResponse response, std::string_view outcome)
{
    const Exchange& exchange = *m_exchanges.at(serial);
    const CallRequest& request = exchange.request();
    m_counters.add("requests_ended{outcome=\"" + std::string(outcome) + "\"}");
    logSpan(request.span, "entry", m_clock.preciseNow() - exchange.receivedAt, outcome);
    response.headers.push_back({ "X-Request-Id", request.id });
    response.headers.push_back({ "traceparent", request.span.traceparent() });
    exchange.respond(std::move(response));
    removeExchange(serial);
}

} // namespace hemlocklead
