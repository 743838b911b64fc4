#include "entry/RequestService.h"

#include "entry/CallRouter.h"

#include <random>

namespace hemlocklead {

namespace {

    /// Granularity of deadlines, delayed retries and hedges.
    constexpr Duration tickInterval { 2 };

} // namespace

class RequestService::Core {
public:
    Core(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
        AgentHub& agents, Counters& counters)
        : m_control(control)
        , m_agents(agents)
        , m_router(
              { settings.dataCentre, settings.retryBudgetPercent, settings.hedging, std::random_device {}() }, clock,
              [this]() -> const ControlState& { return m_control.state(); },
              [this](std::string_view host, const Message& message) { return m_agents.send(host, message); }, counters)
        , m_timer(loop)
    {
    }

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
    {
        if (!m_control.isServing()) {
            responder->reply(errorResponse({ ErrorKind::NotReady, "the configuration has not been loaded" }));
            return;
        }
        // Valid below unless the serial is 0: the exchange in progress owns the responder through its callback.
        HttpResponder* responderPointer = responder.get();
        const uint64_t serial = m_router.handle(std::move(request),
            [responder = std::move(responder)](const HttpResponse& response) { responder->reply(response); });
        if (serial == 0)
            return;
        responderPointer->onDisconnect([this, serial] { m_router.callerGone(serial); });
        if (!m_ticking)
            startTicking();
    }

    void agentMessage(const std::string& host, const Message& message)
    {
        if (const auto* reply = std::get_if<CallReply>(&message))
            m_router.handleReply(host, *reply);
        else if (const auto* keepalive = std::get_if<Keepalive>(&message))
            updateTargets(host, *keepalive);
        else if (std::holds_alternative<Leaving>(message))
            m_router.agentLeaving(host);
    }

    CallRouter& router() { return m_router; }

private:
    void updateTargets(const std::string& host, const Keepalive& keepalive)
    {
        if (const AgentView* view = m_agents.find(host))
            m_router.updateTargets(host, view->identity.dataCentre, keepalive.targets);
    }

    void startTicking()
    {
        m_ticking = true;
        m_timer.startRepeating(tickInterval, [this] { tick(); });
    }

    void tick()
    {
        m_router.tick();
        if (m_router.inFlight() > 0)
            return;
        m_timer.cancel();
        m_ticking = false;
    }

    const ControlView& m_control;
    AgentHub& m_agents;
    CallRouter m_router;
    Timer m_timer;
    bool m_ticking { false };
};

RequestService::RequestService(EventLoop& loop, const Clock& clock, const EntrySettings& settings,
    const ControlView& control, AgentHub& agents, Counters& counters)
    : m_core(std::make_shared<Core>(loop, clock, settings, control, agents, counters))
{
}

RequestService::~RequestService() = default;

void RequestService::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    m_core->handle(std::move(request), std::move(responder));
}

size_t RequestService::inFlight() const { return m_core->router().inFlight(); }

Json RequestService::status() const { return m_core->router().status(); }

void RequestService::agentConnected(const std::string&) { }

void RequestService::agentGone(const std::string& host) { m_core->router().agentGone(host); }

void RequestService::agentMessage(const std::string& host, const Message& message)
{
    m_core->agentMessage(host, message);
}

} // namespace hemlocklead
