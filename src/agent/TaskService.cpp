#include "agent/TaskService.h"

#include "coordination/TaskAgent.h"

namespace hemlocklead {

namespace {

    TaskAgent::Settings taskAgentSettings(const AgentSettings& settings, uint64_t incarnation)
    {
        return { settings.dataCentre,
            { incarnation, settings.startFreshness, settings.workerLease, settings.driftMargin },
            settings.reservationTtl, settings.workerPoll, settings.throttling };
    }

} // namespace

/// Connects `TaskAgent` to the links to entries and to the timers of the event loop.
class TaskService::Core {
public:
    Core(EventLoop& loop, const Clock& clock, const AgentSettings& settings, const AgentControl& control,
        EntryLinks& links, WorkerService& worker, Counters& counters)
        : m_clock(clock)
        , m_links(links)
        , m_agent(clock, taskAgentSettings(settings, links.incarnation()), control.state(), worker, counters,
              [this](std::optional<size_t> entry, const Message& message) { send(entry, message); })
        , m_tickTimer(loop)
    {
    }

    void start()
    {
        m_agent.tick();
        m_tickTimer.startRepeating(TaskAgent::tickInterval, [this] { tick(); });
    }

    void drain(Duration timeout, std::function<void()> done)
    {
        m_drainDeadline = m_clock.now() + timeout;
        m_onDrained = std::move(done);
        m_agent.drain();
    }

    TaskAgent& agent() { return m_agent; }

private:
    void tick()
    {
        m_agent.tick();
        if (m_agent.isSettled() && !m_settledReported) {
            m_settledReported = true;
            m_links.keepaliveNow();
        }
        if (!m_onDrained || (!m_agent.isDrained() && m_clock.now() < m_drainDeadline))
            return;
        const std::function<void()> done = std::move(m_onDrained);
        m_onDrained = nullptr;
        done();
    }

    void send(std::optional<size_t> entry, const Message& message)
    {
        if (entry)
            m_links.send(*entry, message);
        else
            m_links.sendToAll(message);
    }

    const Clock& m_clock;
    EntryLinks& m_links;
    TaskAgent m_agent;
    Timer m_tickTimer;
    bool m_settledReported { false }; ///< Entries were notified that reservations are granted.
    Instant m_drainDeadline;
    std::function<void()> m_onDrained; ///< Set while draining.
};

TaskService::TaskService(EventLoop& loop, const Clock& clock, const AgentSettings& settings,
    const AgentControl& control, EntryLinks& links, WorkerService& worker, Counters& counters)
    : m_core(std::make_shared<Core>(loop, clock, settings, control, links, worker, counters))
{
}

TaskService::~TaskService() = default;

void TaskService::start() { m_core->start(); }

void TaskService::noteLatency(const std::string& service, int64_t latencyUs)
{
    m_core->agent().noteLatency(service, latencyUs);
}

void TaskService::drain(Duration timeout, std::function<void()> done) { m_core->drain(timeout, std::move(done)); }

void TaskService::fillKeepalive(size_t entry, Keepalive& keepalive) { m_core->agent().fillKeepalive(entry, keepalive); }

void TaskService::entryMessage(size_t entry, const Message& message) { m_core->agent().entryMessage(entry, message); }

void TaskService::entryGone(size_t entry) { m_core->agent().entryGone(entry); }

} // namespace hemlocklead
