#include "agent/CallService.h"

#include "agent/CallGate.h"

namespace hemlocklead {

namespace {

    /// Upper bound on the delay with which queued calls and announcements expire.
    constexpr Duration tickInterval { 50 };

    SlotGate::Settings gateSettings(const AgentSettings& settings)
    {
        return { settings.queuePerTarget, settings.announcementTtl };
    }

} // namespace

class CallService::Core {
public:
    Core(EventLoop& loop, const Clock& clock, const AgentSettings& settings, const AgentControl& control,
        EntryLinks& links, Counters& counters, OnLatency onLatency)
        : m_loop(loop)
        , m_dataCentre(settings.dataCentre)
        , m_control(control)
        , m_links(links)
        , m_gate(gateSettings(settings), clock, makePorts(std::move(onLatency)), counters)
        , m_tickTimer(loop)
        , m_drainTimeout(loop)
    {
        m_tickTimer.startRepeating(tickInterval, [this] { tick(); });
    }

    CallGate& gate() { return m_gate; }

    void drain(Duration timeout, std::function<void()> done)
    {
        m_gate.leave();
        m_onDrained = std::move(done);
        m_drainTimeout.startOnce(timeout, [this] { finishDrain(); });
        m_draining = true;
    }

private:
    CallGate::Ports makePorts(OnLatency onLatency)
    {
        CallGate::Ports ports;
        ports.reply = [this](size_t entry, const CallReply& reply) { m_links.send(entry, reply); };
        ports.send
            = [this](const SlotGate::Target& target, HttpRequest request, Duration timeout, HttpClient::Callback done) {
                  clientFor(target).send(std::move(request), timeout, std::move(done));
              };
        ports.closeIdle = [this](uint64_t target) {
            if (const auto found = m_clients.find(target); found != m_clients.end())
                found->second->closeIdle();
        };
        ports.targetsChanged = [this] { m_links.keepaliveNow(); };
        ports.onLatency = [call = std::move(onLatency)](const std::string& service, int64_t latencyUs) {
            if (call)
                call(service, latencyUs);
        };
        ports.isOut = [this] { return m_control.state().isOut(m_dataCentre); };
        return ports;
    }

    HttpClient& clientFor(const SlotGate::Target& target)
    {
        std::unique_ptr<HttpClient>& client = m_clients[target.id];
        if (!client) {
            const SlotGate::Announcement& announcement = target.announcement;
            const Address address
                = orElse([&] { return parseAddress(announcement.address); }, [](const Error&) { return Address {}; });
            client = std::make_unique<HttpClient>(m_loop, address, static_cast<size_t>(announcement.connections));
        }
        return *client;
    }

    void tick()
    {
        m_gate.tick();
        std::erase_if(m_clients, [this](const auto& item) { return !m_gate.knowsTarget(item.first); });
        if (m_draining && m_gate.inProgress() == 0)
            finishDrain();
    }

    void finishDrain()
    {
        m_draining = false;
        m_drainTimeout.cancel();
        const std::function<void()> done = std::move(m_onDrained);
        m_onDrained = nullptr;
        if (done)
            done();
    }

    EventLoop& m_loop;
    std::string m_dataCentre;
    const AgentControl& m_control;
    EntryLinks& m_links;
    CallGate m_gate;
    std::map<uint64_t, std::unique_ptr<HttpClient>> m_clients; ///< By target id.
    Timer m_tickTimer;
    Timer m_drainTimeout;
    std::function<void()> m_onDrained;
    bool m_draining { false };
};

CallService::CallService(EventLoop& loop, const Clock& clock, const AgentSettings& settings,
    const AgentControl& control, EntryLinks& links, Counters& counters, OnLatency onLatency)
    : m_core(std::make_shared<Core>(loop, clock, settings, control, links, counters, std::move(onLatency)))
{
}

CallService::~CallService() = default;

HttpResponse CallService::handleAnnouncement(const HttpRequest& request)
{
    return m_core->gate().handleAnnouncement(request);
}

void CallService::drain(Duration timeout, std::function<void()> done) { m_core->drain(timeout, std::move(done)); }

void CallService::fillKeepalive(size_t, Keepalive& keepalive) { keepalive.targets = m_core->gate().targets(); }

void CallService::entryMessage(size_t entry, const Message& message)
{
    if (const auto* call = std::get_if<Call>(&message))
        m_core->gate().call(entry, *call);
    else if (const auto* cancel = std::get_if<CallCancel>(&message))
        m_core->gate().cancel(entry, cancel->id);
}

void CallService::entryGone(size_t entry) { m_core->gate().entryGone(entry); }

} // namespace hemlocklead
