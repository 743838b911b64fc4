#pragma once

#include "coordination/AttemptRunner.h"
#include "coordination/InterferenceLearner.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Reads the worker's task list, brings attempts and ledger in line with it, and takes over tasks of a former process.
class WorkerMonitor {
public:
    struct Settings {
        Duration workerLease { 6000 }; ///< W
        Duration poll { 500 };
    };

    WorkerMonitor(const Clock& clock, const Settings& settings, WorkerService& worker, AttemptTable& table,
        ReservationLedger& ledger, AttemptRunner& runner);

    /// Reads the list when that is due.
    void tick();

    /// Makes a read due now.
    void pollSoon() { m_pollSoon = true; }

    /// Whether the worker's list was read once the worker lease had passed since the rebuild. A start call of a former
    /// process on this host can have no effect from then on. The ledger grants nothing before: such a call would
    /// commit the host beyond its capacity.
    bool isSettled() const { return m_ledger.isReady(); }

    /// Running tasks with the usage of the last list.
    std::vector<TaskLoad> loads() const;

private:
    void readCapacity();
    void readList();
    void apply(const std::vector<WorkerTask>& tasks, Instant listedAt);
    void applyTask(const WorkerTask& task, Instant listedAt);
    void applyAbsent(Instant listedAt);
    HeldAttempt* adopt(const WorkerTask& task, Instant listedAt);
    void holdForeign(const WorkerTask& task);
    void noteRebuilt(Instant listedAt);

    const Clock& m_clock;
    Settings m_settings;
    WorkerService& m_worker;
    AttemptTable& m_table;
    ReservationLedger& m_ledger;
    AttemptRunner& m_runner;

    bool m_reading { false };
    bool m_pollSoon { true };
    Instant m_readAt;
    std::optional<Resources> m_capacity;
    Instant m_capacityAt;
    std::optional<Instant> m_rebuiltAt;
    std::set<std::string> m_listed; ///< Ids of the last list.
    std::set<std::string> m_foreign; ///< Ids held in the ledger for tasks that are no live attempts.
    std::map<std::string, int64_t> m_cpuMilli; ///< Usage by task id.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace hemlocklead
