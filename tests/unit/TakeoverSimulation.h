#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/HostAgent.h"
#include "dispatch/Ownership.h"
#include "support/FixedWallClock.h"
#include "support/MemoryJournal.h"
#include "support/ModelWorker.h"

#include <array>
#include <deque>
#include <list>
#include <memory>
#include <random>

namespace hemlocklead {

/// Two entries with the real owner code, two hosts with the real agent code and model workers, and a store and
/// connections with faults, on one manual clock. Checks each start of a run against all others.
class TakeoverSimulation {
public:
    static constexpr size_t entryCount = 2;
    static constexpr size_t hostCount = 2;

    enum class StoreAccess : uint8_t {
        Normal,
        Refused, ///< Nothing is recorded or read.
        AnswersLost, ///< Appends are recorded, but not answered; reads fail.
    };

    TakeoverSimulation(uint64_t seed, double clockRate);
    ~TakeoverSimulation();
    TakeoverSimulation(const TakeoverSimulation&) = delete;
    TakeoverSimulation& operator=(const TakeoverSimulation&) = delete;

    /// Submits a job of that many tasks that take `taskTime` each; 0 for tasks that last.
    void submit(const std::string& job, uint32_t tasks, Duration taskTime);
    void cancel(const std::string& job);

    void run(Duration time);

    /// Advances the time until `condition` holds, by at most `limit`. Returns whether it holds.
    bool runUntil(Duration limit, const std::function<bool()>& condition);

    bool isOwner(size_t entry) const;
    bool mayClaim(size_t entry) const { return m_entries[entry].mayClaim; }
    void allowClaims(size_t entry) { m_entries[entry].mayClaim = true; }
    void setStoreAccess(size_t entry, StoreAccess access) { m_entries[entry].access = access; }
    void setAgentStoreAccess(size_t host, StoreAccess access) { m_hosts[host].access = access; }
    void restartEntry(size_t entry);

    /// The process stands still for `time`. What it is sent meanwhile waits.
    void pauseEntry(size_t entry, Duration time);
    void pauseAgent(size_t host, Duration time);

    /// Reports of the host that the entry has read, on all of its connections.
    uint64_t reportsRead(size_t entry, size_t host) const { return m_links[entry][host].reportsRead; }

    /// Stops or resumes the delivery of data in the two directions between an entry and an agent. Data that was sent
    /// meanwhile is delivered later, also if the sender has closed the connection since.
    void setLink(size_t entry, size_t host, bool toAgent, bool toOwner);

    /// Ends the agent's process; its connections are closed, its calls to the worker are still carried out.
    void endAgent(size_t host);
    void startAgent(size_t host);
    bool hasAgent(size_t host) const { return m_hosts[host].agent != nullptr; }

    /// The new incarnation announces itself for the first time after `firstAnnouncement`.
    void restartWorker(size_t host, Duration firstAnnouncement = Duration { 0 });

    /// With `faulty`, some calls to workers are carried out late and are not answered.
    void setWorkerCallsFaulty(bool faulty) { m_lateCalls = { faulty ? 40u : 0u, Duration { 3000 } }; }

    /// One call to a worker in `oneIn` is not answered, and is carried out at any time within `longestDelay`, by
    /// whichever incarnation runs then. 0 for none.
    void setLateCalls(uint64_t oneIn, Duration longestDelay) { m_lateCalls = { oneIn, longestDelay }; }

    void healAll();

    /// Whether the jobs have ended and no run is left.
    bool hasEnded(const std::vector<std::string>& jobs) const;

    /// The broken rules, with the time of each.
    const std::vector<std::string>& violations() const { return m_violations; }

    /// The events so far, a line each.
    std::string trace() const;
    void note(const std::string& event);

    std::mt19937_64& random() { return m_random; }
    size_t starts() const { return m_starts; }

private:
    /// The store as one process reaches it.
    class ProcessStore;
    class EntryProcess;
    class AgentProcess;
    struct Connection;

    using TaskAttempt = std::pair<std::string, uint32_t>;

    struct Packet {
        Instant due;
        std::function<void()> deliver;
    };

    struct Link {
        bool toAgentUp { true };
        bool toOwnerUp { true };
        std::shared_ptr<Connection> connection; ///< The one that the owner uses; null without one.
        std::list<std::shared_ptr<Connection>> connections; ///< All that have data under way.
        uint64_t number { 0 }; ///< Of the newest connection, as in HostLinks.
        uint64_t reportsRead { 0 };
        Instant lastReportAt {};
        Instant openedAt {};
    };

    struct Entry {
        std::unique_ptr<EntryProcess> process;
        StoreAccess access { StoreAccess::Normal };
        uint64_t incarnation { 0 };
        bool mayClaim { false };
    };

    struct LateCalls {
        uint64_t oneIn { 0 };
        Duration longestDelay { 0 };
    };

    struct Host {
        std::string name;
        std::unique_ptr<ModelWorker> worker;
        std::unique_ptr<AgentProcess> agent;
        StoreAccess access { StoreAccess::Normal }; ///< Of its agent.
        int agents { 0 }; ///< Number of agent processes so far.
        Instant announcedAt {};
    };

    void step();
    void append(const std::string& key, const std::string& value);
    void startEntry(size_t entry);

    // The owner's side of the connections, as in HostLinks.
    void maintainLinks(size_t entry);
    void openConnection(size_t entry, size_t host);
    void dropConnection(size_t entry, size_t host);
    void closeLinks(size_t entry);
    void sendOrders(size_t entry, const std::string& host, HostOrders orders);
    void deliver(size_t entry, size_t host);

    // Rules.
    void runStarted(size_t host, const std::string& task, uint32_t attempt);
    void endAcknowledged(size_t host, const RunEnd& end, bool lapsed);
    void breakRule(const std::string& what);

    static constexpr Duration networkDelay { 3 };
    static constexpr Duration storeDelay { 4 };
    static constexpr Duration tickInterval { 25 };
    static constexpr Duration announceInterval { 500 };

    ManualClock m_clock;
    ManualTimers m_timers { m_clock };
    Instant m_startedAt { m_clock.now() };
    std::mt19937_64 m_random;
    MemoryJournal m_journal;
    std::array<Entry, entryCount> m_entries;
    std::array<Host, hostCount> m_hosts;
    std::array<std::array<Link, hostCount>, entryCount> m_links;
    LateCalls m_lateCalls;
    size_t m_starts { 0 };
    std::vector<std::string> m_trace;
    std::vector<std::string> m_violations;
    std::map<TaskAttempt, size_t> m_doneRuns; ///< Runs whose end `done` is not acknowledged yet, with their host.
    std::set<TaskAttempt> m_restarted; ///< Of these, those whose task has been started again.
    std::set<std::string> m_doneTasks; ///< Tasks whose end `done` was acknowledged.
};

} // namespace hemlocklead
