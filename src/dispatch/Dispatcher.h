#pragma once

#include "base/Counters.h"
#include "coordination/StartEjector.h"
#include "dispatch/HostChooser.h"
#include "dispatch/HostRegistry.h"
#include "dispatch/JobPlan.h"
#include "dispatch/JobRegistry.h"
#include "dispatch/JournalWriter.h"

#include <set>

namespace hemlocklead::dispatch {

/// Delivers orders to agents. A message to a host that is not connected is dropped.
class OrderSender {
public:
    virtual ~OrderSender() = default;
    virtual void send(const std::string& host, const HostOrders& orders) = 0;
};

/// Time of day, for scheduled jobs only. It may jump.
class WallClock {
public:
    virtual ~WallClock() = default;
    virtual int64_t unixMs() const = 0;
};

/// The owner's decisions: which task runs where, what an end means, when a run counts as lost.
///
/// Nothing is ordered before it is recorded, and no end is acknowledged before it is recorded, so that the next owner
/// knows every run that may exist.
class Dispatcher final : public JobRegistryListener {
public:
    struct Settings {
        Duration lease { 5000 }; ///< Runs on a host that hears nothing from an owner end after this.
        Duration leaseMargin { 400 }; ///< The worker's clock may be 2% slow, and timers fire late.
        Duration authority { 8000 }; ///< Leases are renewed this long after the last append that proved the ownership.
        Duration keepaliveInterval { 400 }; ///< Longest pause between two messages to a host.
        Duration maxReportAge { 1500 }; ///< A host that was not heard for longer gets no new runs.
        Duration stopRetryInterval { 600 }; ///< A stop is repeated until the run has ended.
        Duration retryDelay { 150 }; ///< Pause after a refused start, and after each failure of a lasting task.
        Duration overcommitDelay { 1500 }; ///< A job with nothing running overcommits a host after waiting this long.
        Duration slackMargin { 300 }; ///< A filling task stops waiting for a better host this long before its job must
                                      ///< go on: a start takes about 100 ms, a look 450 ms.
        double maxNewlyOverTarget { 0.7 }; ///< Serving tasks that a filling task may disturb while its job can wait.
        Duration retention { 180'000 }; ///< Ended jobs are forgotten after this.
        size_t maxCommitBytes { 1'000'000 }; ///< The store takes 2 MiB in one append.
    };

    Dispatcher(JobRegistry& registry, JournalWriter& writer, OrderSender& sender, const Clock& clock,
        const WallClock& wallClock, Counters& counters, Settings settings);
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Takes over all jobs. `formerStopped` says that the former owner renews no lease any more.
    void activate(bool formerStopped);

    /// Drops everything; another entry decides now.
    void deactivate();

    void hostConnected(const std::string& host);
    void hostDisconnected(const std::string& host);
    void hostReported(const std::string& host, const HostReport& report);

    /// Data centres in which nothing new starts.
    void setClosedDataCentres(std::set<std::string> closed);

    /// The terms of the present configuration, by queue. Jobs of queues that are gone keep theirs.
    void setQueuePolicies(const std::map<std::string, QueuePolicy>& policies);

    /// One pass: expiry of leases, placement, records, messages. Called every few tens of milliseconds.
    void runCycle();

    void jobAccepted(Job& job) override;
    void cancelRequested(Job& job) override;
    void hostChanged(const std::string& host) override;
    void registryReset() override;

private:
    /// An end that becomes durable with a commit.
    struct EndAck {
        std::string host;
        int64_t life;
        uint64_t number;
    };

    /// A run whose order goes out once it is durable.
    struct PendingStart {
        std::string host;
        TaskId task;
        uint32_t attempt;
    };

    /// What becomes true when a commit is durable.
    struct Commit {
        std::vector<std::pair<std::string, JobPhase>> jobs;
        std::vector<EndAck> acks;
        std::vector<PendingStart> starts;
    };

    void adoptRuns(Job& job);
    void markDirty(Job& job) { m_dirtyJobs.insert(job.id()); }

    // Reports.
    void workerLifeChanged(HostState& host, const HostReport& report);
    void applyRefusal(HostState& host, const RunRefusal& refusal);
    void applyEnd(HostState& host, const RunEnd& end);
    void taskEnded(Job& job, TaskState& task, const TaskId& id, const RunEnd& end, HostState& host);
    void taskFailed(Job& job, TaskState& task, const TaskId& id, HostState& host);
    void reconcile(HostState& host, const HostReport& report);
    void reconcileRun(HostState& host, const RunReport& row);
    PlacementContext placementContext() const;
    void markRunLost(HostState& host, const std::string& task, std::string_view reason);
    void markRunsLost(HostState& host, std::string_view reason);
    void evacuateDrainingHost(HostState& host);
    void learnInterference(HostState& host, const HostReport& report);
    void sendInterference(HostState& host);
    void finishIfDone(Job& job);
    void endJob(Job& job, JobPhase phase);
    void stopRuns(Job& job);
    void stopRun(HostState& host, HostRun& run);

    // Passes.
    void expireLeases();
    void placeJobs();
    const JobPlan& planOf(const Job& job);
    int latenessClass(Job& job, Instant now);
    BestEffortLimits bestEffortLimits(const Job& job, uint32_t step, Instant now);
    void placeJob(Job& job, const PlacementContext& context);
    void placeStep(Job& job, uint32_t occurrence, uint32_t step, const PlacementContext& context);
    bool isStepReady(const Job& job, const Occurrence& occurrence, uint32_t step) const;
    void openDueOccurrences(Job& job);
    PlacementConstraints constraintsOf(const Job& job, const StepState& state, const StepSpec& spec);
    void startTask(Job& job, const TaskId& id, TaskState& task, const HostState& host);
    void commit();
    void onCommitDurable(const Commit& commit);
    void queueStartOrder(const PendingStart& start);
    void removeExpiredJobs(std::vector<JournalRecord>& records);
    void sendOrders();
    static RunOrder makeRunOrder(const Job& job, const TaskId& id, const TaskState& task);

    JobRegistry& m_registry;
    JournalWriter& m_writer;
    OrderSender& m_sender;
    const Clock& m_clock;
    const WallClock& m_wallClock;
    Counters& m_counters;
    Settings m_settings;
    HostRegistry m_hosts;
    DisturbanceModel m_interference;
    DurationEstimator m_durations;
    std::map<std::string, JobPlan> m_plans; ///< Of open jobs, made when they are first placed.
    StartEjector m_ejector;
    std::set<std::string> m_closedDataCentres;
    std::map<std::string, QueuePolicy> m_policies;
    bool m_active { false };
    std::set<std::string> m_openJobs; ///< Jobs that have not ended.
    std::set<std::string> m_dirtyJobs; ///< Jobs whose record is behind.
    std::vector<EndAck> m_pendingAcks; ///< Ends that the next commit makes durable.
    std::vector<PendingStart> m_pendingStarts; ///< Runs that the next commit makes durable.
    std::map<std::string, Instant> m_endedJobs; ///< Jobs that wait to be forgotten.
};

} // namespace hemlocklead::dispatch
