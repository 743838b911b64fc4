#pragma once

#include "coordination/AttemptRunner.h"
#include "coordination/InterferenceLearner.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Polls the worker's task list, reconciles the attempts and the ledger with it, and adopts tasks that a previous agent
/// process started.
class WorkerMonitor {
public:
    struct Settings {
        Duration workerLease { 6000 }; ///< Longest lease given to the worker (W).
        Duration poll { 500 }; ///< Between two reads of the task list.
    };

    WorkerMonitor(const Clock& clock, const Settings& settings, WorkerService& worker, AttemptTable& table,
        ReservationLedger& ledger, AttemptRunner& runner);

    /// Requests the task list when a read is due.
    void tick();

    /// Makes a read due at the next `tick`.
    void pollSoon() { m_pollSoon = true; }

    /// Whether a task list was requested a worker lease or more after the rebuild of the ledger and has been applied.
    /// From then on no start call of a previous agent process on this host can take effect. The ledger grants nothing
    /// before, since such a call would commit the host beyond its capacity.
    bool isSettled() const { return m_ledger.isReady(); }

    /// Running attempts with their usage from the last task list.
    std::vector<TaskLoad> loads() const;

private:
    void readCapacity();
    void readList();
    void apply(const std::vector<WorkerTask>& tasks, Instant listedAt);
    void applyTask(const WorkerTask& task, Instant listedAt);
    void applyAbsent(Instant listedAt);
    HeldAttempt* adopt(const WorkerTask& task, Instant listedAt);
    void holdUnmanagedTask(const WorkerTask& task);
    void updateLedgerReadiness(Instant listedAt);

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
    std::optional<Instant> m_rebuiltAt; ///< Time at which the ledger was first rebuilt from a task list.
    std::set<std::string> m_listed; ///< Task ids in the last list.
    std::set<std::string> m_unmanagedTasks; ///< Running tasks in the ledger that have no live attempt.
    std::map<std::string, int64_t> m_cpuMilli; ///< CPU usage by task id.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) }; ///< Callbacks hold it weakly.
};

} // namespace hemlocklead
