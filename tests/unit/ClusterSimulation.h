#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/Ownership.h"
#include "support/FixedWallClock.h"
#include "support/ManualTimers.h"
#include "support/MemoryJournal.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// A cluster of hosts with jobs, scheduled by the real dispatcher. The hosts and their agents are a model
/// without network: a run begins with its order, and a stopped run ends after `stopTime`.
class ClusterSimulation final : private dispatch::OrderSender {
public:
    struct Settings {
        uint32_t hosts { 58 };
        uint32_t dataCentres { 4 };
        Resources capacity { 64'000, 256'000, 0 }; ///< Of one host.
        Duration reportInterval { 500 };
        Duration cycle { 25 }; ///< Between two scheduling cycles.
        Duration stopTime { 400 };
    };

    /// What the users of a job's tasks received.
    struct Service {
        int64_t cpuMilli { 0 }; ///< Declared processors of all tasks, thousandths of a core.
        Duration offered { 0 }; ///< Time of all tasks since the job was submitted.
        Duration received { 0 }; ///< The part of it in which they ran.
        uint32_t stops { 0 }; ///< Runs that the owner stopped.
        /// Longest time for which a task had no run and, all along, room for it twice over.
        Duration longestWaitWithRoom { 0 };
        uint32_t mostAway { 0 }; ///< Most tasks without a run at any stop of one, that one not counted.
    };

    explicit ClusterSimulation(Settings settings);

    /// Submits a job of one step. Its runs end by themselves after `runTime`, or never without one.
    void submit(const std::string& job, const dispatch::StepSpec& step, std::optional<Duration> runTime = std::nullopt);

    /// Advances the time in scheduling cycles.
    void run(Duration time);

    /// The data centre is lost: its hosts are gone with all that runs there.
    void loseDataCentre(uint32_t dataCentre);

    /// The data centre is cut off, and the leases of all that runs there lapse.
    void cutOffDataCentre(uint32_t dataCentre);

    /// The hosts of a lost data centre are back with new workers, those of one that was cut off with the ends of the
    /// lapsed runs. Nothing runs there.
    void restoreDataCentre(uint32_t dataCentre);

    /// All workers restart at once, and the data centre is closed to new runs.
    void restartWorkersWithClosedDataCentre(uint32_t dataCentre);

    /// Hosts on which a task of 16 cores fits send no reports for `time`; their runs go on.
    void silenceFreeHosts(Duration time);

    const std::map<std::string, Service>& services() const { return m_services; }

    /// Number of the job's tasks that run.
    uint32_t running(const std::string& job) const;

    /// Whether the task of the job's step runs.
    bool isRunning(const std::string& job, uint32_t index) const;

private:
    struct Host {
        std::string name;
        std::string dataCentre;
        int64_t life { 1 };
        bool lost { false };
        Instant silentUntil {};
        std::map<std::string, RunOrder> runs; ///< By task.
        std::map<std::string, RunOrder> lapsed; ///< By task: runs of which the owner has not heard since a cut.
        std::map<std::string, Instant> ending; ///< By task: when its run ends by itself.
        std::map<std::string, Instant> stopping; ///< By task: when its run ends because it is stopped.
        std::vector<RunEnd> ends;
        uint64_t endsReported { 0 };
        uint64_t settledOrders { 0 };
    };

    void send(const std::string& host, HostOrders orders) override;
    void report(Host& host);
    void endRuns(Host& host, std::map<std::string, Instant>& due, const std::string& reason);
    Resources freeOn(const Host& host) const;
    void account();
    void accountWaits(const std::string& job);
    std::string dataCentreName(uint32_t dataCentre) const { return "dc-" + std::to_string(dataCentre); }

    Settings m_settings;
    ManualClock m_clock;
    ManualTimers m_timers { m_clock };
    MemoryJournal m_journal;
    Counters m_counters;
    FixedWallClock m_wallClock;
    dispatch::JobRegistry m_registry;
    dispatch::JournalFollower m_follower;
    dispatch::JournalWriter m_writer;
    dispatch::Dispatcher m_dispatcher;
    dispatch::Ownership m_ownership;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, dispatch::StepSpec> m_jobs;
    std::map<std::string, Duration> m_runTimes; ///< Of the jobs whose runs end by themselves.
    std::map<std::string, Duration> m_waits; ///< By task: for how long it has waited with room for it.
    std::map<std::string, Service> m_services;
    Instant m_reportAt {};
};

} // namespace hemlocklead
