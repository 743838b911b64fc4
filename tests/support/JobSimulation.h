#pragma once

#include "entry/ShardOwner.h"
#include "support/ChaosLog.h"
#include "support/MemoryLog.h"
#include "support/ModelAgent.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlocklead {

/// Control view that is always current.
class ModelControl final : public ControlView {
public:
    const ControlState& state() const override { return m_state; }
    Duration age() const override { return Duration { 20 }; }
    bool isServing() const override { return true; }

    void publish(const std::string& name, const CatalogueEntry& entry)
    {
        const CatalogueItem* item = m_state.item(name);
        fold(catalogueSetRecord(name, item ? item->version : 0, entry));
    }

    void setOut(const std::string& dataCentre, bool out)
    {
        const auto found = m_state.dataCentres().find(dataCentre);
        fold(dataCentreSetRecord(
            dataCentre, found == m_state.dataCentres().end() ? 0 : found->second.version, out, "operations"));
    }

private:
    void fold(const Json& record)
    {
        m_state.fold(m_state.nextOffset(), record);
        m_state.advanceTo(m_state.nextOffset() + 1);
    }

    ControlState m_state;
};

/// Reads each record of the shard stream as soon as it is in the log, and counts the applied `finished`
/// ends of each task.
class LogAuditor final : public StreamFold {
public:
    LogAuditor(LogStore& store, const Clock& clock)
        : m_log(store)
        , m_stream({ "shard-0", Duration { 1 } }, m_log, clock, *this, m_counters)
    {
    }

    void readAll()
    {
        m_stream.tick();
        while (m_log.pending() > 0)
            m_log.run();
    }

    const ShardState& state() const { return m_fold.state(); }
    const std::map<std::pair<std::string, uint64_t>, int>& finished() const { return m_finished; }

    FoldResult fold(uint64_t offset, const Json& record) override
    {
        const FoldResult result = m_fold.fold(offset, record);
        if (result == FoldResult::Applied && record["kind"] == "ended" && record["reason"] == "finished")
            ++m_finished[{ record["job"].get<std::string>(), record["index"].get<uint64_t>() }];
        return result;
    }
    void advanceTo(uint64_t nextOffset) override { m_fold.advanceTo(nextOffset); }
    uint64_t nextOffset() const override { return m_fold.nextOffset(); }
    Json snapshot() const override { return m_fold.snapshot(); }
    Result<void> load(const Json& snapshot) override { return m_fold.load(snapshot); }

private:
    MemoryLog m_log;
    Counters m_counters;
    ShardFold m_fold;
    LogStream m_stream;
    std::map<std::pair<std::string, uint64_t>, int> m_finished;
};

/// Simulates entries with the real owner code for one shard, model agents, and a network and a log with faults, on one
/// manual clock.
class JobSimulation {
public:
    static constexpr Duration step { 10 };

    /// Durations of design section 14 divided by 5, which keeps schedules with several takeovers short.
    static EntrySettings shortSettings()
    {
        EntrySettings settings;
        settings.shards = 1;
        settings.startFreshness = Duration { 400 };
        settings.shardAuthority = Duration { 1000 };
        settings.attemptLease = Duration { 4000 };
        settings.driftMargin = Duration { 200 };
        settings.workerLease = Duration { 1200 };
        settings.ownerTimeout = Duration { 600 };
        settings.snapshotInterval = Duration { 3000 };
        return settings;
    }

    JobSimulation(uint64_t seed, size_t entries, size_t agents, EntrySettings owners = shortSettings())
        : m_random(seed)
        , m_ownerSettings(std::move(owners))
    {
        m_control.publish("compile", CatalogueEntry { "product", "registers", "", WorkClass::CanWait, {} });
        for (size_t i = 0; i < agents; ++i)
            addAgent(entries);
        for (size_t i = 0; i < entries; ++i)
            addEntry();
        m_links.resize(entries * agents);
        for (size_t entry = 0; entry < entries; ++entry) {
            for (size_t agent = 0; agent < agents; ++agent)
                connect(entry, agent);
        }
    }

    ModelControl& control() { return m_control; }
    std::mt19937_64& random() { return m_random; }
    Instant now() const { return m_clock.now(); }
    const std::set<std::string>& violations() const { return m_violations; }
    const std::set<std::string>& accepted() const { return m_accepted; }
    size_t starts() const { return m_starts; }
    size_t ownershipGains() const { return m_ownershipGains; }

    void setFaulty(bool faulty)
    {
        m_faulty = faulty;
        for (Entry& entry : m_entries)
            entry.log->setFaulty(faulty);
    }

    void run(Duration duration)
    {
        for (const Instant end = now() + duration; now() < end;)
            runStep();
    }

    void runStep()
    {
        m_clock.advance(step);
        for (Entry& entry : m_entries)
            entry.log->runEffects();
        m_auditor.readAll();
        deliver();
        for (Agent& agent : m_agents) {
            agent.model->workerStep(now());
            if (now() >= agent.pausedUntil)
                agent.model->step(now());
        }
        for (Entry& entry : m_entries)
            stepEntry(entry);
        checkRunning();
    }

    /// Entry that owns the shard and has authority, or nullopt.
    std::optional<size_t> owner() const
    {
        for (size_t i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i].owner && m_entries[i].owner->hasAuthority())
                return i;
        }
        return std::nullopt;
    }
    const ShardEnvironment& environment(size_t entry) const { return *m_entries[entry].environment; }
    ShardOwner* ownerAt(size_t entry) { return m_entries[entry].owner.get(); }

    void submit(const std::string& id, uint32_t tasks, bool urgent = false)
    {
        const TaskSpec task { "compile", "registers", "payload", { 1000, 1024, 0 }, false, urgent };
        if (const auto entry = owner())
            ownerAt(*entry)->submit(JobSpec { id, task, tasks, 50, m_clock.now().time_since_epoch().count() },
                [this, id](ShardOwner::Outcome outcome) {
                    if (outcome == ShardOwner::Outcome::Done)
                        m_accepted.insert(id);
                });
    }

    void cancel(const std::string& id)
    {
        if (const auto entry = owner())
            ownerAt(*entry)->cancel(id, [](ShardOwner::Outcome) {});
    }

    void pauseEntry(size_t entry, Duration duration) { m_entries[entry].pausedUntil = now() + duration; }
    void pauseAgent(size_t agent, Duration duration) { m_agents[agent].pausedUntil = now() + duration; }
    void setLogSilent(size_t entry, bool silent) { m_entries[entry].log->setSilent(silent); }
    void setLogDown(size_t entry, bool down) { m_entries[entry].log->setDown(down); }

    void killEntry(size_t entry)
    {
        m_entries[entry].owner.reset();
        m_entries[entry].log->dropAnswers();
        m_entries[entry].pausedUntil = {};
        for (size_t agent = 0; agent < m_agents.size(); ++agent)
            disconnect(entry, agent);
    }

    void startEntry(size_t entry)
    {
        if (m_entries[entry].owner)
            return;
        *m_entries[entry].hosts = HostTable();
        m_entries[entry].owner = std::make_unique<ShardOwner>(0, *m_entries[entry].environment);
    }

    void restartAgent(size_t agent)
    {
        m_agents[agent].model->restart(now());
        for (size_t entry = 0; entry < m_entries.size(); ++entry) {
            const bool wasConnected = isConnected(entry, agent);
            disconnect(entry, agent);
            if (wasConnected)
                connect(entry, agent);
        }
    }

    void disconnect(size_t entry, size_t agent)
    {
        Link& link = m_links[entry * m_agents.size() + agent];
        ++link.number;
        if (!std::exchange(link.up, false))
            return;
        m_entries[entry].hosts->handleDisconnected(m_agents[agent].model->host(), now());
        if (m_entries[entry].owner)
            m_entries[entry].owner->agentGone(m_agents[agent].model->host());
    }

    void connect(size_t entry, size_t agent)
    {
        Link& link = m_links[entry * m_agents.size() + agent];
        if (link.up || !m_entries[entry].owner)
            return;
        link.up = true;
        m_entries[entry].hosts->handleConnected(m_agents[agent].model->hello(), now());
        m_agents[agent].model->handleConnected(entry);
    }

    bool isConnected(size_t entry, size_t agent) const { return m_links[entry * m_agents.size() + agent].up; }

    /// Ends all faults: restarts dead entries, resumes paused processes, and restores the logs and all connections.
    void endFaults()
    {
        setFaulty(false);
        for (size_t entry = 0; entry < m_entries.size(); ++entry) {
            startEntry(entry);
            m_entries[entry].pausedUntil = {};
            m_entries[entry].log->setDown(false);
            for (size_t agent = 0; agent < m_agents.size(); ++agent)
                connect(entry, agent);
        }
        for (Agent& agent : m_agents)
            agent.pausedUntil = {};
    }

    /// The state of the shard according to the log.
    const ShardState& state() const { return m_auditor.state(); }

    /// Whether every job has ended and no attempt is open.
    bool isAllDone() const
    {
        return std::ranges::none_of(state().jobs(), [](const auto& named) {
            const auto isOpen = [](const TaskState& task) { return task.open.has_value(); };
            return named.second.phase == JobPhase::Active || std::ranges::any_of(named.second.tasks, isOpen);
        });
    }

    /// Accepted jobs that are missing from the log, tasks with a missing or repeated `finished` end, and results of
    /// another attempt.
    std::set<std::string> auditOutcomes() const
    {
        std::set<std::string> problems;
        for (const std::string& id : m_accepted) {
            if (!state().job(id))
                problems.insert("lost: " + id);
        }
        for (const auto& [id, job] : state().jobs()) {
            for (uint32_t index = 0; index < job.tasks.size(); ++index) {
                const TaskState& task = job.tasks[index];
                const auto count = m_auditor.finished().find({ id, index });
                const int finished = count == m_auditor.finished().end() ? 0 : count->second;
                const AttemptKey last { id, index, task.lastAttempt };
                const bool isFinished = task.phase == TaskPhase::Finished;
                // If an attempt was open when its job was cancelled, its end is recorded but does not change the task.
                const bool isCountCorrect
                    = task.phase == TaskPhase::Cancelled ? finished <= 1 : finished == (isFinished ? 1 : 0);
                if (!isCountCorrect || (isFinished && task.result != last.taskId()))
                    problems.insert("ended wrongly: " + last.taskId());
            }
        }
        return problems;
    }

private:
    struct Entry {
        EntrySettings settings;
        std::unique_ptr<ChaosLog> log;
        std::unique_ptr<HostTable> hosts;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<ShardEnvironment> environment;
        std::unique_ptr<ShardOwner> owner; ///< Null while the process is not running.
        Instant pausedUntil;
        Instant heardAt; ///< Time of its last ping, as the other entries receive it.
        bool wasOwner { false };
    };
    struct Agent {
        std::unique_ptr<ModelAgent> model;
        Instant pausedUntil;
    };
    struct Link {
        bool up { false };
        uint64_t number { 0 }; ///< Grows with each disconnect; messages of an older connection are dropped.
    };
    struct InFlightMessage {
        Instant at;
        size_t entry;
        size_t agent;
        uint64_t link;
        bool toAgent;
        Message message;
    };

    void addAgent(size_t entries)
    {
        const size_t index = m_agents.size();
        m_agents.push_back(
            { std::make_unique<ModelAgent>(
                  "h" + std::to_string(index), index % 2 ? "sohar" : "muscat", m_agentSettings, entries, m_random,
                  [this, index](size_t entry, const Message& message) { post(entry, index, false, message); },
                  [this](const Start& start) { checkStart(start); },
                  [this](const std::string& name) { return m_control.state().isOut(name); }),
                {} });
    }

    void addEntry()
    {
        const size_t index = m_entries.size();
        Entry& entry = m_entries.emplace_back();
        entry.settings = m_ownerSettings;
        entry.settings.name = "e" + std::to_string(index);
        entry.log = std::make_unique<ChaosLog>(m_store, m_clock, m_random);
        entry.hosts = std::make_unique<HostTable>();
        entry.counters = std::make_unique<Counters>();
        entry.environment = std::make_unique<ShardEnvironment>(
            ShardEnvironment { entry.settings, m_clock, m_control, *entry.log, *entry.hosts, *entry.counters,
                [this, index](
                    const std::string& host, const Message& message) { return sendToAgent(index, host, message); },
                [this] { return m_clock.now().time_since_epoch().count(); }, [](uint32_t) { return uint64_t { 0 }; },
                [this, index] { return others(index); } });
        entry.owner = std::make_unique<ShardOwner>(0, *entry.environment);
    }

    std::vector<LiveEntry> others(size_t self) const
    {
        std::vector<LiveEntry> list;
        for (size_t i = 0; i < m_entries.size(); ++i) {
            if (i != self)
                list.push_back({ m_entries[i].settings.name, m_entries[i].heardAt });
        }
        return list;
    }

    bool sendToAgent(size_t entry, const std::string& host, const Message& message)
    {
        for (size_t agent = 0; agent < m_agents.size(); ++agent) {
            if (m_agents[agent].model->host() == host && isConnected(entry, agent)) {
                post(entry, agent, true, message);
                return true;
            }
        }
        return false;
    }

    /// While faults are on, messages may be delayed, reordered, lost or duplicated.
    void post(size_t entry, size_t agent, bool toAgent, const Message& message)
    {
        if (!isConnected(entry, agent) || (m_faulty && m_random() % 50 == 0))
            return;
        const uint64_t number = m_links[entry * m_agents.size() + agent].number;
        const int copies = m_faulty && m_random() % 20 == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool slow = m_faulty && m_random() % 20 == 0;
            const Duration delay { m_random() % (slow ? 5000 : 15) };
            m_inFlight.push_back({ now() + delay, entry, agent, number, toAgent, message });
        }
    }

    void deliver()
    {
        std::vector<InFlightMessage> due;
        std::vector<InFlightMessage> later;
        for (InFlightMessage& inFlight : m_inFlight) {
            const Instant readyAt
                = inFlight.toAgent ? m_agents[inFlight.agent].pausedUntil : m_entries[inFlight.entry].pausedUntil;
            (inFlight.at <= now() && readyAt <= now() ? due : later).push_back(std::move(inFlight));
        }
        m_inFlight = std::move(later);
        for (const InFlightMessage& inFlight : due) {
            if (m_links[inFlight.entry * m_agents.size() + inFlight.agent].number != inFlight.link)
                continue;
            if (inFlight.toAgent)
                m_agents[inFlight.agent].model->receive(inFlight.entry, inFlight.message, now());
            else
                receiveAtEntry(m_entries[inFlight.entry], m_agents[inFlight.agent].model->host(), inFlight.message);
        }
    }

    void receiveAtEntry(Entry& entry, const std::string& host, const Message& message)
    {
        if (entry.owner && entry.hosts->handleMessage(host, message, now()))
            entry.owner->agentMessage(host, message);
    }

    void stepEntry(Entry& entry)
    {
        if (!entry.owner || now() < entry.pausedUntil)
            return;
        entry.log->runAnswers();
        entry.owner->tick();
        entry.heardAt = now();
        const bool isOwner = entry.owner->isOwner();
        m_ownershipGains += isOwner && !entry.wasOwner ? 1 : 0;
        entry.wasOwner = isOwner;
    }

    void checkRunning()
    {
        std::set<std::pair<std::string, uint32_t>> running;
        for (const Agent& agent : m_agents) {
            for (const AttemptKey& key : agent.model->running()) {
                if (!running.emplace(key.job, key.index).second)
                    m_violations.insert("two attempts run: " + key.taskId());
            }
        }
    }

    void checkStart(const Start& start)
    {
        ++m_starts;
        if (!m_started.insert(start.key).second)
            m_violations.insert("attempt started twice: " + start.key.taskId());
        const JobState* job = m_auditor.state().job(start.key.job);
        const TaskState* task = job ? &job->tasks[start.key.index] : nullptr;
        if (!task || !task->open || task->open->attempt != start.key.attempt)
            m_violations.insert("started without an open attempt: " + start.key.taskId());
        else if (task->checkpoint != start.checkpoint)
            m_violations.insert("resumed from another checkpoint: " + start.key.taskId());
    }

    std::mt19937_64 m_random;
    EntrySettings m_ownerSettings;
    EntrySettings m_agentSettings { shortSettings() };
    ManualClock m_clock;
    LogStore m_store;
    LogAuditor m_auditor { m_store, m_clock };
    ModelControl m_control;
    std::deque<Entry> m_entries; ///< A deque, since environments refer to the settings: elements must not move.
    std::vector<Agent> m_agents;
    std::vector<Link> m_links;
    std::vector<InFlightMessage> m_inFlight;
    bool m_faulty { false };
    std::set<std::string> m_accepted;
    std::set<std::string> m_violations;
    std::set<AttemptKey> m_started;
    size_t m_starts { 0 };
    size_t m_ownershipGains { 0 };
};

} // namespace hemlocklead
