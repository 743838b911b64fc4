#include "CallSimulation.h"

#include "protocol/BodyHash.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr Duration reportInterval { 100 };

    CatalogueEntry answerNowEntry()
    {
        CatalogueEntry entry;
        entry.owner = "operations";
        entry.team = "lookups";
        entry.service = "service";
        entry.workClass = WorkClass::AnswerNow;
        entry.limits.maxInFlight = 64;
        entry.limits.maxQueued = 64;
        return entry;
    }

} // namespace

CallSimulation::CallSimulation(uint64_t seed, size_t hosts, const CallFaults& faults)
    : m_random(seed)
    , m_faults(faults)
    , m_router(
          { "dc-0", 10, true, seed }, m_clock, [this]() -> const ControlState& { return m_control; },
          [this](std::string_view host, const Message& message) { return sendToAgent(host, message); }, m_counters)
{
    m_control.fold(0, catalogueSetRecord("lookup", 0, answerNowEntry()));
    m_control.advanceTo(1);
    m_hosts.resize(hosts);
    for (size_t i = 0; i < hosts; ++i)
        addHost(i);
}

void CallSimulation::addHost(size_t index)
{
    Host& host = m_hosts[index];
    host.name = "host-" + std::to_string(index);
    host.gate = std::make_unique<CallGate>(SlotGate::Settings {}, m_clock, makePorts(index), m_counters);
    host.connected = true;
    host.leaving = false;
    report(index);
}

CallGate::Ports CallSimulation::makePorts(size_t index)
{
    CallGate::Ports ports;
    ports.reply = [this, index](size_t, const CallReply& reply) { sendToEntry(index, reply); };
    ports.send = [this](const SlotGate::Target&, const HttpRequest& request, Duration timeout,
                     const HttpClient::Callback& done) { sendToTarget(request, timeout, done); };
    ports.closeIdle = [](uint64_t) {};
    ports.targetsChanged = [] {};
    ports.onLatency = [](const std::string&, int64_t) {};
    ports.isOut = [] { return false; };
    return ports;
}

void CallSimulation::request(const std::string& name, const std::string& method, Duration timeout)
{
    HttpRequest request { method, "/call/lookup/" + name, {}, {} };
    request.headers.push_back({ "Hemlocklead-Timeout-Ms", std::to_string(timeout.count()) });
    m_outcomes[name];
    m_router.handle(request, [this, name](const HttpResponse& response) {
        m_outcomes[name].push_back(
            { std::string(response.header("Hemlocklead-Outcome")), response.body, response.status });
    });
}

void CallSimulation::run(Duration time)
{
    for (Duration passed { 0 }; passed < time; ++passed) {
        m_clock.advance(Duration { 1 });
        runDueEvents();
        m_router.tick();
        const auto now = m_clock.now().time_since_epoch();
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].gate->tick();
            if (now % reportInterval == Duration { 0 })
                report(i);
        }
        injectFaults();
    }
}

int CallSimulation::runs(const std::string& name) const
{
    const auto found = m_runs.find("/" + name);
    return found == m_runs.end() ? 0 : found->second;
}

bool CallSimulation::chance(double probability)
{
    return std::uniform_real_distribution<> { 0, 1 }(m_random) < probability;
}

void CallSimulation::schedule(Duration wait, std::function<void()> action)
{
    m_events.push_back({ m_clock.now() + wait, m_random(), std::move(action) });
}

void CallSimulation::runDueEvents()
{
    std::vector<Event> due;
    const auto isDue = [this](const Event& event) { return event.at <= m_clock.now(); };
    std::ranges::copy_if(m_events, std::back_inserter(due), isDue);
    std::erase_if(m_events, isDue);
    // Events that are due in the same millisecond run in random order.
    std::ranges::sort(due, {}, &Event::order);
    for (const Event& event : due)
        event.action();
}

bool CallSimulation::sendToAgent(std::string_view host, const Message& message)
{
    const auto found = std::ranges::find(m_hosts, host, &Host::name);
    if (!found->connected)
        return false;
    const int copies = chance(m_faults.repeatedCall) ? 2 : 1;
    CallGate* gate = found->gate.get();
    for (int i = 0; i < copies; ++i) {
        if (const auto* call = std::get_if<Call>(&message))
            schedule(delay(4), [gate, copy = *call] { gate->call(0, copy); });
        else if (const auto* cancel = std::get_if<CallCancel>(&message))
            schedule(delay(4), [gate, id = cancel->id] { gate->cancel(0, id); });
    }
    return true;
}

void CallSimulation::sendToEntry(size_t index, const CallReply& original)
{
    if (!m_hosts[index].connected)
        return;
    CallReply reply = original;
    if (chance(m_faults.damagedReply) && !reply.body.empty())
        reply.body.pop_back();
    if (chance(m_faults.misroutedReply))
        schedule(delay(4), [this, reply, other = m_hosts[(index + 1) % m_hosts.size()].name] {
            CallReply wrong = reply;
            wrong.body = "answer to nobody";
            wrong.bodyBytes = wrong.body.size();
            wrong.bodyHash = bodyHash(wrong.body);
            m_router.handleReply(other, wrong);
        });
    const int copies = chance(m_faults.repeatedReply) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
        schedule(delay(6), [this, reply, index] { m_router.handleReply(m_hosts[index].name, reply); });
}

void CallSimulation::sendToTarget(const HttpRequest& request, Duration timeout, HttpClient::Callback done)
{
    HttpExchange exchange;
    if (chance(m_faults.refusedConnection)) {
        exchange.status = HttpExchange::Status::NotSent;
        schedule(delay(2), [done = std::move(done), exchange] { done(exchange); });
        return;
    }
    exchange = runAtTarget(request);
    Duration time = chance(m_faults.slowTarget) ? delay(300) : delay(8);
    if (time >= timeout) {
        time = timeout;
        exchange = {};
    }
    schedule(time, [done = std::move(done), exchange] { done(exchange); });
}

HttpExchange CallSimulation::runAtTarget(const HttpRequest& request)
{
    ++m_runs[request.path];
    if (chance(m_faults.lostAnswer))
        return {};
    HttpExchange exchange { HttpExchange::Status::Answered, { 200, {}, answerFor(request.path) } };
    std::string id(request.header("X-Request-Id"));
    if (chance(m_faults.targetError))
        exchange.response.status = 500;
    if (chance(m_faults.crossedAnswer)) {
        id = "of-another-request";
        exchange.response.body = "answer to nobody";
    }
    exchange.response.headers.push_back({ "X-Request-Id", id });
    return exchange;
}

void CallSimulation::breakLink(size_t index)
{
    Host& host = m_hosts[index];
    if (!host.connected)
        return;
    host.connected = false;
    host.gate->entryGone(0);
    m_router.agentGone(host.name);
    schedule(Duration { 50 }, [&host] { host.connected = true; });
}

void CallSimulation::report(size_t index)
{
    Host& host = m_hosts[index];
    if (host.leaving)
        return;
    const HttpRequest announcement { "PUT", "/targets/service/" + host.name, {},
        R"({"address": "127.0.0.1:1", "slots": 8, "connections": 64})" };
    host.gate->handleAnnouncement(announcement);
    if (host.connected)
        m_router.updateTargets(host.name, "dc-" + std::to_string(index % 2), host.gate->targets());
}

void CallSimulation::injectFaults()
{
    if (chance(m_faults.brokenLink))
        breakLink(m_random() % m_hosts.size());
    Host& host = m_hosts[m_random() % m_hosts.size()];
    if (!host.leaving && chance(m_faults.leavingAgent) && &host != &m_hosts.front()) {
        host.leaving = true;
        host.gate->leave();
        schedule(delay(10), [this, &host] { m_router.agentLeaving(host.name); });
    }
}

} // namespace hemlocklead
