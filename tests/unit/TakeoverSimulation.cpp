#include "TakeoverSimulation.h"

#include <algorithm>

namespace hemlocklead {

using dispatch::AppendStatus;
using dispatch::HostAgent;

/// A connection of an entry to an agent. Each direction delivers its data in order.
struct TakeoverSimulation::Connection {
    uint64_t number { 0 };
    bool ownerOpen { true };
    bool agentOpen { true };
    std::weak_ptr<bool> agentAlive; ///< Of the process that accepted it.
    bool accepted { false };
    std::deque<Packet> toAgent;
    std::deque<Packet> toOwner;
};

class TakeoverSimulation::ProcessStore final : public dispatch::JournalService {
public:
    ProcessStore(TakeoverSimulation& simulation, const StoreAccess& access, ProcessTimers& process)
        : m_simulation(simulation)
        , m_access(access)
        , m_process(process)
    {
    }

    void append(std::vector<dispatch::JournalRecord> records, std::optional<dispatch::AppendFence> fence,
        Duration timeout, std::function<void(AppendStatus)> done) override
    {
        const StoreAccess access = m_access;
        if (access == StoreAccess::Refused)
            return m_process.after(storeDelay, [done = std::move(done)] { done(AppendStatus::NotDone); });
        if (access == StoreAccess::AnswersLost)
            m_process.after(timeout, [done] { done(AppendStatus::Unknown); });
        // An append that was sent is recorded also if the process has ended since.
        auto answer
            = [access, done = std::move(done), process = &m_process, alive = m_process.alive()](AppendStatus status) {
                  if (access == StoreAccess::Normal && !alive.expired())
                      process->after(storeDelay / 2, [done, status] { done(status); });
              };
        m_simulation.m_timers.after(storeDelay / 2,
            [journal = &m_simulation.m_journal, records = std::move(records), fence, timeout,
                answer = std::move(answer)] { journal->append(records, fence, timeout, answer); });
    }

    void newest(const std::string& after, Duration timeout, std::function<void(dispatch::NewestPage)> done) override
    {
        m_process.after(storeDelay, [this, after, timeout, done = std::move(done)] {
            if (m_access != StoreAccess::Normal)
                return done({});
            m_simulation.m_journal.newest(after, timeout, done);
        });
    }

    void read(uint64_t from, Duration wait, Duration timeout, std::function<void(dispatch::ReadResult)> done) override
    {
        m_process.after(storeDelay, [this, from, wait, timeout, done = std::move(done)] {
            if (m_access != StoreAccess::Normal)
                return done({});
            m_simulation.m_journal.read(from, wait, timeout, done);
        });
    }

private:
    TakeoverSimulation& m_simulation;
    const StoreAccess& m_access;
    ProcessTimers& m_process;
};

/// One process of an entry, put together as in DispatchEntry.
class TakeoverSimulation::EntryProcess final : dispatch::OrderSender {
public:
    EntryProcess(TakeoverSimulation& simulation, size_t entry, uint64_t incarnation)
        : timers(simulation.m_timers, simulation.m_clock)
        , store(simulation, simulation.m_entries[entry].access, timers)
        , registry(simulation.m_clock, counters)
        , follower(store, timers, simulation.m_clock, registry, {})
        , writer(store, timers, simulation.m_clock, {})
        , dispatcher(registry, follower, writer, *this, simulation.m_clock, wallClock, counters, {})
        , ownership(registry, follower, store, writer, simulation.m_clock, counters,
              { .entry = "entry-" + std::to_string(entry), .incarnation = incarnation },
              { [this](uint64_t epoch, bool formerStopped) { acquired(epoch, formerStopped); }, [this] { lost(); } })
        , m_simulation(simulation)
        , m_entry(entry)
    {
        registry.setListener(&dispatcher);
        dispatcher.setClosedDataCentres({});
        follower.start();
    }

    void tick()
    {
        if (timers.isPaused())
            return;
        if (m_simulation.m_entries[m_entry].mayClaim)
            ownership.tick();
        if (!ownership.isOwner())
            return;
        m_simulation.maintainLinks(m_entry);
        dispatcher.runCycle();
    }

    ProcessTimers timers;
    ProcessStore store;
    Counters counters;
    FixedWallClock wallClock;
    dispatch::JobRegistry registry;
    dispatch::JournalFollower follower;
    dispatch::JournalWriter writer;
    dispatch::Dispatcher dispatcher;
    dispatch::Ownership ownership;

private:
    void send(const std::string& host, HostOrders orders) override
    {
        m_simulation.sendOrders(m_entry, host, std::move(orders));
    }

    void acquired(uint64_t epoch, bool formerStopped)
    {
        m_simulation.note("entry-" + std::to_string(m_entry) + " owns the jobs, epoch " + std::to_string(epoch)
            + (formerStopped ? ", former owner stopped" : ""));
        dispatcher.activate(formerStopped);
        m_simulation.maintainLinks(m_entry);
    }

    void lost()
    {
        m_simulation.note("entry-" + std::to_string(m_entry) + " has lost the ownership");
        dispatcher.deactivate();
        m_simulation.closeLinks(m_entry);
        follower.restart();
    }

    TakeoverSimulation& m_simulation;
    size_t m_entry;
};

/// One process of an agent, which handles connections as DispatchAgent does.
class TakeoverSimulation::AgentProcess final : dispatch::ReportSender {
public:
    AgentProcess(TakeoverSimulation& simulation, size_t host)
        : timers(simulation.m_timers, simulation.m_clock)
        , store(simulation, simulation.m_hosts[host].access, timers)
        , port(
              *simulation.m_hosts[host].worker, simulation.m_timers, timers, [&simulation] { return fate(simulation); })
        , agent(port, *this, store, timers, simulation.m_clock, counters, { .host = simulation.m_hosts[host].name })
        , m_simulation(simulation)
        , m_host(host)
        , m_number(++simulation.m_hosts[host].agents)
    {
        agent.start();
    }

    void received(size_t entry, const std::shared_ptr<Connection>& connection, const HostOrders& orders)
    {
        if (!connection->agentOpen)
            return;
        if (agent.isStale(orders))
            return close(entry, connection);
        if (m_owner.lock() != connection) {
            m_owner = connection;
            m_ownerEntry = entry;
            agent.handleOwnerConnected();
        }
        const uint64_t former = agent.epochSeen();
        agent.handleOrders(orders);
        if (agent.epochSeen() != former) {
            m_simulation.note(m_simulation.m_hosts[m_host].name + " agent " + std::to_string(m_number)
                + " accepts epoch " + std::to_string(orders.epoch) + " of entry-" + std::to_string(entry));
        }
    }

    /// The agent's end of the connection is closed; the owner learns it from a packet.
    void close(size_t entry, const std::shared_ptr<Connection>& connection)
    {
        connection->agentOpen = false;
        if (m_owner.lock() == connection)
            m_owner.reset();
        notifyOwnerOfClose(m_simulation, entry, m_host, connection);
    }

    static void notifyOwnerOfClose(
        TakeoverSimulation& simulation, size_t entry, size_t host, const std::shared_ptr<Connection>& connection)
    {
        connection->toOwner.push_back(
            { simulation.m_clock.now() + networkDelay, [&simulation, entry, host, connection] {
                 Link& link = simulation.m_links[entry][host];
                 if (link.connection == connection)
                     simulation.dropConnection(entry, host);
             } });
    }

    ProcessTimers timers;
    ProcessStore store;
    Counters counters;
    ModelWorkerPort port;
    HostAgent agent;

private:
    static ModelWorkerPort::Fate fate(TakeoverSimulation& simulation)
    {
        const LateCalls& late = simulation.m_lateCalls;
        if (late.oneIn == 0 || simulation.m_random() % late.oneIn != 0)
            return {};
        return { Duration { simulation.m_random() % static_cast<uint64_t>(late.longestDelay.count()) }, false };
    }

    void send(const HostReport& report) override
    {
        const std::shared_ptr<Connection> connection = m_owner.lock();
        if (!connection || !connection->agentOpen)
            return;
        connection->toOwner.push_back({ m_simulation.m_clock.now() + networkDelay,
            [simulation = &m_simulation, entry = m_ownerEntry, host = m_host, connection, report] {
                Link& link = simulation->m_links[entry][host];
                if (link.connection != connection)
                    return;
                link.lastReportAt = simulation->m_clock.now();
                ++link.reportsRead;
                EntryProcess& owner = *simulation->m_entries[entry].process;
                owner.dispatcher.hostReported(simulation->m_hosts[host].name, report);
            } });
    }

    TakeoverSimulation& m_simulation;
    size_t m_host;
    int m_number;
    std::weak_ptr<Connection> m_owner;
    size_t m_ownerEntry { 0 };
};

TakeoverSimulation::TakeoverSimulation(uint64_t seed, double clockRate)
    : m_random(seed)
{
    for (size_t host = 0; host < hostCount; ++host) {
        m_hosts[host].name = "host-" + std::to_string(host + 1);
        m_hosts[host].worker = std::make_unique<ModelWorker>(m_clock, clockRate,
            ModelWorker::Callbacks {
                [this, host](const std::string& task, uint32_t attempt) { runStarted(host, task, attempt); },
                [this, host](const RunEnd& end) {
                    note(m_hosts[host].name + " ends " + end.task + '#' + std::to_string(end.attempt) + ' '
                        + end.reason);
                    if (end.reason == "done")
                        m_doneRuns[{ end.task, end.attempt }] = host;
                },
                [this, host](const RunEnd& end, bool lapsed) { endAcknowledged(host, end, lapsed); } });
        append(dispatch::hostKey(m_hosts[host].name), dispatch::hostValue({ "127.0.0.1:1", 1 }));
    }
    for (size_t entry = 0; entry < entryCount; ++entry) {
        m_entries[entry].incarnation = 100 + entry;
        startEntry(entry);
    }
    for (size_t host = 0; host < hostCount; ++host)
        startAgent(host);
}

TakeoverSimulation::~TakeoverSimulation()
{
    // Packets refer to their connection.
    for (auto& links : m_links) {
        for (Link& link : links) {
            for (const auto& connection : link.connections) {
                connection->toAgent.clear();
                connection->toOwner.clear();
            }
        }
    }
}

void TakeoverSimulation::append(const std::string& key, const std::string& value)
{
    m_journal.append({ { key, value, 0 } }, std::nullopt, Duration { 0 }, [](AppendStatus) {});
}

void TakeoverSimulation::submit(const std::string& job, uint32_t tasks, Duration taskTime)
{
    dispatch::QueuePolicy policy;
    policy.queue = "queue";
    policy.service = "service";
    policy.maxAttempts = 2;
    policy.stretch = 2;
    dispatch::StepSpec step;
    step.tasks = tasks;
    step.resources = { 600, 100, 0 };
    step.longRunning = taskTime == Duration { 0 };
    dispatch::JobSpec spec;
    spec.payload = std::to_string(taskTime.count());
    spec.steps = { step };
    append(dispatch::jobKey(job), dispatch::jobValue(policy, spec));
}

void TakeoverSimulation::cancel(const std::string& job)
{
    append(dispatch::cancelKey(job), "{}");
    note("cancel of " + job);
}

void TakeoverSimulation::run(Duration time)
{
    for (Duration passed { 0 }; passed < time; passed += Duration { 1 })
        step();
}

bool TakeoverSimulation::runUntil(Duration limit, const std::function<bool()>& condition)
{
    for (Duration passed { 0 }; passed < limit && !condition(); passed += tickInterval)
        run(tickInterval);
    return condition();
}

void TakeoverSimulation::step()
{
    m_timers.run(Duration { 1 });
    for (size_t entry = 0; entry < entryCount; ++entry) {
        for (size_t host = 0; host < hostCount; ++host)
            deliver(entry, host);
    }
    for (Host& host : m_hosts) {
        host.worker->step();
        if (host.agent && !host.agent->timers.isPaused() && m_clock.now() - host.announcedAt >= announceInterval) {
            host.announcedAt = m_clock.now();
            host.agent->agent.handleAnnouncement(host.worker->announce());
        }
    }
    if ((m_clock.now() - m_startedAt) % tickInterval == Duration { 0 }) {
        for (Entry& entry : m_entries)
            entry.process->tick();
    }
}

bool TakeoverSimulation::isOwner(size_t entry) const { return m_entries[entry].process->ownership.isOwner(); }

void TakeoverSimulation::startEntry(size_t entry)
{
    Entry& state = m_entries[entry];
    const uint64_t incarnation = state.incarnation;
    append(dispatch::entryKey("entry-" + std::to_string(entry)),
        dispatch::entryValue({ incarnation, 1, dispatch::recordFormatVersion }));
    state.process = std::make_unique<EntryProcess>(*this, entry, incarnation);
}

void TakeoverSimulation::restartEntry(size_t entry)
{
    note("restart of entry-" + std::to_string(entry));
    closeLinks(entry);
    m_entries[entry].process.reset();
    m_entries[entry].incarnation += 10;
    startEntry(entry);
}

void TakeoverSimulation::setLink(size_t entry, size_t host, bool toAgent, bool toOwner)
{
    m_links[entry][host].toAgentUp = toAgent;
    m_links[entry][host].toOwnerUp = toOwner;
}

void TakeoverSimulation::endAgent(size_t host)
{
    if (!m_hosts[host].agent)
        return;
    note("end of the agent of " + m_hosts[host].name);
    for (size_t entry = 0; entry < entryCount; ++entry) {
        for (const auto& connection : m_links[entry][host].connections) {
            if (!connection->accepted || !connection->agentOpen)
                continue;
            connection->agentOpen = false;
            AgentProcess::notifyOwnerOfClose(*this, entry, host, connection);
        }
    }
    m_hosts[host].agent.reset();
}

void TakeoverSimulation::startAgent(size_t host)
{
    if (m_hosts[host].agent)
        return;
    note("start of an agent of " + m_hosts[host].name);
    m_hosts[host].agent = std::make_unique<AgentProcess>(*this, host);
}

void TakeoverSimulation::restartWorker(size_t host, Duration firstAnnouncement)
{
    note("restart of the worker of " + m_hosts[host].name);
    m_hosts[host].worker->restart();
    std::erase_if(m_doneRuns, [host](const auto& done) { return done.second == host; });
    m_hosts[host].announcedAt = m_clock.now() + firstAnnouncement - announceInterval;
}

void TakeoverSimulation::healAll()
{
    note("heal");
    m_lateCalls = {};
    for (size_t entry = 0; entry < entryCount; ++entry) {
        setStoreAccess(entry, StoreAccess::Normal);
        allowClaims(entry);
        for (size_t host = 0; host < hostCount; ++host)
            setLink(entry, host, true, true);
    }
    for (size_t host = 0; host < hostCount; ++host) {
        setAgentStoreAccess(host, StoreAccess::Normal);
        startAgent(host);
    }
}

void TakeoverSimulation::maintainLinks(size_t entry)
{
    constexpr Duration reportTimeout { 2000 };
    constexpr Duration reconnectDelay { 300 };
    const Instant now = m_clock.now();
    for (size_t host = 0; host < hostCount; ++host) {
        Link& link = m_links[entry][host];
        if (link.connection && now - link.lastReportAt > reportTimeout)
            dropConnection(entry, host);
        if (!link.connection && now - link.openedAt >= reconnectDelay)
            openConnection(entry, host);
    }
}

void TakeoverSimulation::openConnection(size_t entry, size_t host)
{
    Link& link = m_links[entry][host];
    link.openedAt = m_clock.now();
    link.lastReportAt = link.openedAt;
    link.reportsRead = 0;
    link.connection = std::make_shared<Connection>();
    link.connection->number = ++link.number;
    link.connections.push_back(link.connection);
    EntryProcess& owner = *m_entries[entry].process;
    owner.dispatcher.hostConnected(m_hosts[host].name);
    HostOrders first;
    first.epoch = owner.writer.epoch();
    first.readsPackedReports = true;
    sendOrders(entry, m_hosts[host].name, std::move(first));
}

void TakeoverSimulation::dropConnection(size_t entry, size_t host)
{
    Link& link = m_links[entry][host];
    const std::shared_ptr<Connection> connection = std::exchange(link.connection, nullptr);
    connection->ownerOpen = false;
    connection->toAgent.push_back({ m_clock.now() + networkDelay, [this, entry, host, connection] {
                                       if (connection->agentOpen && m_hosts[host].agent)
                                           m_hosts[host].agent->close(entry, connection);
                                   } });
    if (m_entries[entry].process)
        m_entries[entry].process->dispatcher.hostDisconnected(m_hosts[host].name);
}

void TakeoverSimulation::closeLinks(size_t entry)
{
    for (size_t host = 0; host < hostCount; ++host) {
        Link& link = m_links[entry][host];
        if (link.connection)
            dropConnection(entry, host);
        link.number = 0;
        link.openedAt = {};
    }
}

void TakeoverSimulation::sendOrders(size_t entry, const std::string& host, HostOrders orders)
{
    const size_t index = host == m_hosts[0].name ? 0 : 1;
    Link& link = m_links[entry][index];
    if (!link.connection)
        return;
    orders.connection = link.connection->number;
    orders.reportsRead = link.reportsRead;
    link.connection->toAgent.push_back(
        { m_clock.now() + networkDelay, [this, entry, index, connection = link.connection, orders = std::move(orders)] {
             AgentProcess* agent = m_hosts[index].agent.get();
             if (!connection->accepted) {
                 connection->accepted = true;
                 connection->agentOpen = agent != nullptr;
                 if (agent)
                     connection->agentAlive = agent->timers.alive();
                 else
                     AgentProcess::notifyOwnerOfClose(*this, entry, index, connection);
             }
             if (agent && connection->agentOpen && !connection->agentAlive.expired())
                 agent->received(entry, connection, orders);
         } });
}

void TakeoverSimulation::pauseEntry(size_t entry, Duration time)
{
    note("pause of entry-" + std::to_string(entry) + " for " + std::to_string(time.count()) + " ms");
    m_entries[entry].process->timers.pause(time);
}

void TakeoverSimulation::pauseAgent(size_t host, Duration time)
{
    if (!m_hosts[host].agent)
        return;
    note("pause of the agent of " + m_hosts[host].name + " for " + std::to_string(time.count()) + " ms");
    m_hosts[host].agent->timers.pause(time);
}

void TakeoverSimulation::deliver(size_t entry, size_t host)
{
    Link& link = m_links[entry][host];
    const bool isAgentPaused = m_hosts[host].agent && m_hosts[host].agent->timers.isPaused();
    const bool isEntryPaused = m_entries[entry].process->timers.isPaused();
    const auto deliverDue = [this](std::deque<Packet>& packets) {
        while (!packets.empty() && packets.front().due <= m_clock.now()) {
            const Packet packet = std::move(packets.front());
            packets.pop_front();
            packet.deliver();
        }
    };
    for (const auto& connection : link.connections) {
        if (link.toAgentUp && !isAgentPaused)
            deliverDue(connection->toAgent);
        if (link.toOwnerUp && !isEntryPaused)
            deliverDue(connection->toOwner);
    }
    link.connections.remove_if([](const auto& connection) {
        return !connection->ownerOpen && connection->toAgent.empty() && connection->toOwner.empty();
    });
}

bool TakeoverSimulation::hasEnded(const std::vector<std::string>& jobs) const
{
    if (std::ranges::any_of(m_hosts, [](const Host& host) { return host.worker->runCount() > 0; }))
        return false;
    return std::ranges::all_of(jobs, [this](const std::string& id) {
        return std::ranges::all_of(m_entries, [&](const Entry& entry) {
            const dispatch::Job* job = entry.process->registry.find(id);
            return job && isFinal(job->publishedPhase());
        });
    });
}

void TakeoverSimulation::runStarted(size_t host, const std::string& task, uint32_t attempt)
{
    ++m_starts;
    const std::string run = task + '#' + std::to_string(attempt);
    note(m_hosts[host].name + " starts " + run);
    for (const Host& other : m_hosts) {
        if (other.worker && other.worker->runs(task))
            breakRule("two runs at once: " + run + " on " + m_hosts[host].name + " beside one on " + other.name);
    }
    if (m_doneTasks.contains(task))
        breakRule("start after an acknowledged end: " + run + " on " + m_hosts[host].name);
    for (const auto& [done, where] : m_doneRuns) {
        if (done.first == task)
            m_restarted.insert(done);
    }
}

void TakeoverSimulation::endAcknowledged(size_t host, const RunEnd& end, bool lapsed)
{
    if (end.reason != "done")
        return;
    note(m_hosts[host].name + " discards the end of " + end.task + '#' + std::to_string(end.attempt)
        + (lapsed ? ", lease expired since" : ""));
    m_doneRuns.erase({ end.task, end.attempt });
    // The platform does not count an end whose worker's lease has expired before it was acknowledged.
    if (lapsed)
        return;
    if (m_restarted.contains({ end.task, end.attempt }))
        breakRule("acknowledged the end of a task that was started again: " + end.task);
    m_doneTasks.insert(end.task);
}

void TakeoverSimulation::breakRule(const std::string& what)
{
    note("BROKEN " + what);
    m_violations.push_back(std::to_string((m_clock.now() - m_startedAt).count()) + " ms: " + what);
}

void TakeoverSimulation::note(const std::string& event)
{
    m_trace.push_back(std::to_string((m_clock.now() - m_startedAt).count()) + ' ' + event);
}

std::string TakeoverSimulation::trace() const
{
    std::string text;
    for (const std::string& line : m_trace)
        text += line + '\n';
    return text;
}

} // namespace hemlocklead
