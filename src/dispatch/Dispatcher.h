#pragma once

#include "base/Counters.h"
#include "coordination/StartEjector.h"
#include "dispatch/HostChooser.h"
#include "dispatch/HostRegistry.h"
#include "dispatch/JobPlan.h"
#include "dispatch/JobRegistry.h"
#include "dispatch/JournalWriter.h"
#include "dispatch/RoomSharing.h"
#include "dispatch/ServiceLevelMonitor.h"
#include "dispatch/WaitingStepLog.h"
#include "learning/HostSpeeds.h"
#include "learning/RecordSchedule.h"
#include "overload/InterferenceBound.h"
#include "overload/LoadSchedule.h"
#include "overload/RoomDivision.h"

#include <limits>
#include <set>
#include <span>
#include <unordered_map>

namespace hemlocklead::dispatch {

/// Sends orders to agents. Orders for a host without a connection are dropped.
class OrderSender {
public:
    virtual ~OrderSender() = default;
    virtual void send(const std::string& host, HostOrders orders) = 0;
};

/// Calendar time, used for scheduled jobs and for the age of a learned state. It may jump forwards or backwards.
class WallClock {
public:
    virtual ~WallClock() = default;
    virtual int64_t unixMs() const = 0;
};

/// The scheduler of the owner: places tasks on hosts, handles the ends of runs and declares runs lost.
///
/// A start is ordered, and an end is acknowledged, only after it has been recorded in the journal. The next owner
/// therefore knows every run that may exist. A start is also ordered only while the owner's view of the journal is
/// recent, since another entry may have acknowledged a cancellation of the job meanwhile.
class Dispatcher final : public JobRegistryListener {
public:
    struct Settings {
        Duration lease { 5000 }; ///< A host ends its runs when it has received no orders for this long.
        Duration leaseMargin { 400 }; ///< Covers a worker clock that is 2% slow, and late timers.
        /// The worker grants no longer lease than this. Late calls that were meant for a former incarnation may have
        /// asked for any.
        Duration maxLease { 6000 };
        Duration authority { 8000 }; ///< Leases are renewed this long after the last append that confirmed ownership.
        /// A host without a report for this long is recorded as one whose leases the owner does not extend. The last
        /// lease then ends soon, so a host that is back does not depend on the store for its next one.
        Duration listLeasesAfter { 3000 };
        /// Starts are ordered only while the view of the journal is no older than this. While the journal is idle, a
        /// read of it waits for up to a second.
        Duration maxViewAge { 1500 };
        /// A start order is valid until this long after the time as of which the owner has read the journal: the users'
        /// bound from an acknowledged cancellation to the last start, 3 s, less the 0.8 s that the agent's call may
        /// take.
        Duration startValidity { 2100 };
        Duration keepaliveInterval { 400 }; ///< Longest interval between two messages to a host.
        Duration maxReportAge { 1500 }; ///< A host whose last report is older gets no new runs.
        Duration stopRetryInterval { 600 }; ///< Interval at which a stop is repeated until the run has ended.
        Duration retryDelay { 150 }; ///< Before a task is placed again after a refused start.
        Duration overcommitDelay { 1500 }; ///< Best-effort tasks may overcommit a host once no task of their job has
                                           ///< ended for this long.
        Duration slackMargin { 300 }; ///< A best-effort task stops waiting for a better host this long before its slack
                                      ///< is used up: a start takes about 100 ms, a poll of the worker 450 ms.
        /// Expected number of latency-critical tasks on a host that best-effort tasks may push over their target. A
        /// task is placed beyond it only while its job has no slack left and has not missed its objective yet.
        double maxOverTarget { 0.45 };
        /// A late step of which no run works waits no longer than this for a host within the limit: accepted work is
        /// finished, and has something running within 3 s while there is capacity.
        Duration maxLateWait { 1500 };
        Duration maxHoldTime { 3000 }; ///< After this, short tasks may no longer use the room that is held for a
                                       ///< long-running task. Most short tasks end within it.
        /// A long-running task that has been without a run for longer may use what is held for others if it fits twice
        /// over: the users allow 3 s, of which a start takes up to 0.5 s. The last place that it fits in stays held.
        Duration maxTimeWithoutRun { 2000 };
        /// A long-running step with a task that has found no host for this long gets room from steps of which a larger
        /// share is placed.
        Duration minWaitForRoom { 2000 };
        /// A long-running task gets the memory of best-effort tasks after this: with the time that a stop takes, it
        /// still starts within the 3 s that the users allow.
        Duration minWaitForMemory { 1000 };
        /// Memory that was made free stays held for its receiver for as long.
        Duration maxMemoryTransferTime { 4000 };
        uint32_t maxStopsForRoom { 4 }; ///< Most runs that are being stopped at once to make room for one step.
        Duration moveTime { 1500 }; ///< Time that stopping a run and resuming it elsewhere takes. A best-effort run
                                    ///< with checkpoints that has been paused for as long is moved.
        /// Most runs that are being stopped at once for work that can still end in time. Each of them frees its host
        /// after `moveTime`, about as often as tasks end by themselves.
        uint32_t maxStopsForWorkInTime { 4 };
        uint32_t maxMoves { 6 }; ///< A task that has been moved as often stays on its host until it resumes.
        /// Divides scarce room by what a delay costs callers instead of by age; see overload::RoomDivision.
        bool divideRoomByCost { false };
        /// Gives slow hosts less work; see learning::HostSpeeds.
        bool placeByHostSpeed { false };
        /// Records what this owner has learned from the hosts' reports, and adopts what the former owner has recorded;
        /// see learning::LearnedState.
        bool keepLearnedState { false };
        /// Most tasks of a latency-critical job that best-effort work may slow at the same time, in percent, below 25;
        /// 0 for no bound. See overload::InterferenceBound.
        uint32_t maxInterferedPercent { 0 };
        /// Publishes the load by which entries decide on new jobs; requires `divideRoomByCost`.
        bool admissionByBacklog { false };
        Duration retention { 180'000 }; ///< How long ended jobs are kept.
        size_t maxCommitBytes { 1'000'000 }; ///< Soft limit; the store accepts 2 MiB in one append.
        size_t maxMessageBytes { 500'000 }; ///< Soft limit of one message to a host; a connection carries 4 MiB.
    };

    Dispatcher(JobRegistry& registry, const JournalFollower& follower, JournalWriter& writer, OrderSender& sender,
        const Clock& clock, const WallClock& wallClock, Counters& counters, Settings settings);
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Starts scheduling as the owner and adopts all jobs. With `formerStopped` the former owner no longer renews
    /// leases.
    void activate(bool formerStopped);

    /// Stops scheduling and drops all state: another entry is the owner.
    void deactivate();

    void hostConnected(const std::string& host);
    void hostDisconnected(const std::string& host);
    void hostReported(const std::string& host, const HostReport& report);

    /// Sets the data centres in which no new runs start. Nothing is placed before the first call.
    void setClosedDataCentres(std::set<std::string> closed);

    /// Applies the configured policies, by queue name. Jobs of removed queues keep their policy.
    void setQueuePolicies(const std::map<std::string, QueuePolicy>& policies);

    /// Runs one scheduling cycle: expires leases, places tasks, appends records, sends orders. Called every few tens of
    /// milliseconds.
    void runCycle();

    void jobAccepted(Job& job) override;
    void cancelRequested(Job& job) override;
    void hostChanged(const std::string& host) override;
    void registryReset() override;

private:
    /// The end of a run, acknowledged to its host once the commit is durable.
    struct EndAck {
        std::string host;
        int64_t life;
        uint64_t number;
    };

    /// A run that is ordered once the commit is durable.
    struct PendingStart {
        std::string host;
        TaskId task;
        uint32_t attempt;
    };

    /// The placement of the tasks of one step in one scheduling cycle.
    struct StepPlacement {
        Job* job { nullptr };
        uint32_t occurrence { 0 };
        uint32_t step { 0 };
        PlacementConstraints constraints;
        BestEffortLimits limits;
        std::vector<uint32_t> due; ///< Indices of the tasks to be placed, in this order.
        size_t next { 0 }; ///< In `due`; the tasks before it are placed.
        std::string placed; ///< Placed tasks with their hosts, as logged.
        double newlyOver { 0 }; ///< See newlyOverTarget().
        bool foundNoHost { false };

        const StepSpec& spec() const { return job->spec().steps[step]; }
        TaskId firstTask() const { return { job->id(), occurrence, step, 0 }; }
        StepState& state() const { return job->occurrence(occurrence).steps[step]; }
    };

    /// What takes effect once a commit is durable.
    struct Commit {
        std::vector<std::pair<std::string, JobPhase>> jobs;
        std::vector<EndAck> acks;
        std::vector<PendingStart> starts;
        std::optional<std::set<std::string>> listedHosts; ///< In the list of leases that it records.
    };

    void adoptRuns(Job& job);
    Instant adoptedLeaseEnd(bool formerStopped) const;
    std::set<std::string> hostsToList() const;
    void listLeases(std::vector<JournalRecord>& records, Commit& commit);
    void markDirty(Job& job) { m_dirtyJobs.insert(job.id()); }

    // Handling of host reports (DispatcherReports.cpp).
    void updateLeaseEnd(HostState& host);
    void workerLifeChanged(HostState& host, const HostReport& report);
    void applyRefusal(HostState& host, const RunRefusal& refusal);
    void applyEnd(HostState& host, const RunEnd& end);
    void noteRunBegan(Job& job);
    void taskEnded(Job& job, TaskState& task, const TaskId& id, const RunEnd& end, HostState& host);
    void taskFailed(Job& job, TaskState& task, const TaskId& id, HostState& host);
    void reconcile(HostState& host, const HostReport& report);
    void reconcileRun(HostState& host, const RunReport& row);
    PlacementContext placementContext() const;
    void moveIfPaused(HostState& host, HostRun& run, Job& job, const RunReport& row);
    void markRunLost(HostState& host, const std::string& task, std::string_view reason);
    void markRunsLost(
        HostState& host, std::string_view reason, uint64_t settledOrders = std::numeric_limits<uint64_t>::max());
    void evacuateDrainingHost(HostState& host);
    void learnInterference(HostState& host, const HostReport& report);
    void sendInterference(HostState& host);
    void finishIfDone(Job& job);
    void endJob(Job& job, JobPhase phase);
    void stopRuns(Job& job);
    void stopRun(HostState& host, HostRun& run);

    // Scheduling cycle.
    void expireLeases();
    void placeJobs();
    void refreshForecasts(HostState& host) const;
    const JobPlan& planOf(const Job& job);
    int latenessClass(Job& job, Instant now);
    bool hasWorkingRun(const StepState& state, const TaskId& firstTask) const;
    BestEffortLimits bestEffortLimits(Job& job, uint32_t occurrence, uint32_t step, Instant now);
    void placeJob(Job& job, const PlacementContext& context);
    void placeLongRunningSteps(std::span<Job* const> jobs, const PlacementContext& context);
    StepPlacement beginPlacement(Job& job, uint32_t occurrence, uint32_t step, const PlacementContext& context);
    bool placeNextTask(StepPlacement& placement, const PlacementContext& context);
    /// Indices of the tasks of the step to be placed, in the order in which room is given to them.
    std::vector<uint32_t> dueTasks(const Job& job, const StepSpec& spec, const StepState& state, Instant now) const;
    /// Chooses the host for the next task, or null if none qualifies.
    const HostState* chooseHostFor(const StepPlacement& placement, const PlacementContext& context);
    /// Whether the next task may use room that is held for other tasks.
    bool mayUseHeldRoom(const StepPlacement& placement, const PlacementContext& context) const;
    /// Since when the next task has been without a run; the end of time if there is none.
    Instant nextWithoutRunSince(const StepPlacement& placement) const;
    void finishPlacement(const StepPlacement& placement, const PlacementContext& context);
    bool isStepReady(const Job& job, const Occurrence& occurrence, uint32_t step) const;
    void openDueOccurrences(Job& job);
    PlacementConstraints constraintsOf(const Job& job, const StepState& state, const StepSpec& spec);
    void holdHosts(const StepPlacement& placement, const PlacementContext& context);
    /// Since when the task has had no run, as far as this owner knows.
    Instant withoutRunSince(const Job& job, const TaskState& task) const
    {
        return std::max({ task.lastRunAt, job.seenAt(), m_activeSince });
    }
    Duration longestTimeWithoutRun(const Job& job, const StepState& state, Instant now) const;

    // Division of scarce room among jobs that end (DispatcherOverload.cpp).
    /// A best-effort run that can resume elsewhere, of a job that gives way.
    struct StoppableRun {
        HostState* host { nullptr };
        HostRun* run { nullptr };
        Duration timeLeft { 0 }; ///< Until it would end by itself.
    };
    /// Priority, class, unfinished work and age; jobs with lower keys are placed first.
    using PlacementKey = std::tuple<int64_t, int, double, uint64_t>;
    PlacementKey placementKey(Job& job, Instant now);
    void planRoom();
    overload::RoomDemand roomDemandOf(Job& job, Instant now);
    void measureReservedShares();
    void logRoomPlan(Instant now);
    /// Whether best-effort work of the job gives way to work that can end in time.
    bool givesWay(const Job& job) const;
    void stopRunsForWorkInTime(const PlacementContext& context);
    std::vector<StoppableRun> stoppableRuns(const PlacementContext& context);
    void stopOneRunFor(const TaskId& firstTask, std::vector<StoppableRun>& candidates, const PlacementContext& context);
    void noteLackOfRoom(const Job& job, const TaskId& firstTask);
    void noteWorkDone(const StepSpec& step);

    // Speeds of hosts (DispatcherHostSpeeds.cpp).
    /// Learns from a run that has ended with success and started without a checkpoint.
    void learnDuration(const HostState& host, const HostRun& run, const StepSpec& step);
    void updateHostSpeeds();
    void forgetHostSpeeds();

    // Learned state that survives a change of owner (DispatcherLearning.cpp).
    void adoptLearnedState();
    void adoptFadingState(learning::LearnedState state, Duration age);
    void ignoreLearnedState(std::string_view reason);
    learning::LearnedState learnedState() const;
    bool hasOpenLongRunningJob() const;
    void recordLearnedState(std::vector<JournalRecord>& records);

    // Bound on the slowed tasks of each latency-critical job (DispatcherInterference.cpp).
    /// A pause that the owner has ordered.
    struct OrderedPause {
        std::string host;
        uint32_t attempt { 0 };
        Instant since {};
        Instant until {}; ///< Unless it is renewed.
    };
    /// A host in touch with its latency-critical tasks. The pausable runs are added only where a job is over its bound.
    struct BoundedHost {
        HostState* state { nullptr };
        CoresByImage cores; ///< Of best-effort tasks as if no ordered pause were in force.
        std::vector<HostRun*> runs;
    };
    using BoundGroups = std::vector<overload::InterferenceBound::Host>;
    void boundInterference();
    std::vector<overload::InterferenceBound::Job> indexLatencyCriticalJobs();
    CoresByImage coresWithoutPauses(const HostState& host) const;
    std::vector<overload::InterferenceBound::Group> measureGroups(
        const HostState& host, const CoresByImage& cores) const;
    void countTimeOverBound(Instant now);
    void addPausableRuns(BoundedHost& host, overload::InterferenceBound::Host& groups);
    void orderPauses(std::vector<BoundedHost>& hosts, BoundGroups& groups, Instant now);
    void orderPause(HostState& host, const HostRun& run, const overload::InterferenceBound::Pause& pause, Instant now);
    void endUnneededPauses(const std::set<std::string>& needed, Instant now);
    bool isPauseOrdered(const HostRun& run) const;
    std::vector<overload::InterferenceBound::Effect> boundEffects(const StepSpec& step, const HostState& host) const;
    std::function<double(const StepSpec& step, const HostState& host)> boundExcessFunction() const;

    // Load by which entries decide on new jobs (DispatcherLoad.cpp).
    void publishLoad(std::vector<JournalRecord>& records);
    overload::QueueLoads queueLoads();

    // Division of scarce room among long-running steps (DispatcherRoom.cpp).
    void shareRoom();
    void holdTransferredRoom();
    std::vector<SharingStep> sharingSteps() const;
    SharingStep sharingStep(const Job& job, uint32_t occurrence, uint32_t step) const;
    /// Whether a host that is out of touch for the moment may have room for a task of the step.
    bool mayFindRoomSoon(const StepSpec& step) const;
    /// Stops best-effort runs so that the next task gets their memory, if that is what it lacks.
    void takeMemory(const StepPlacement& placement, const PlacementContext& context);
    void dropEndedMemoryTransfers();
    bool mayStopForMemory(const HostRun& run) const;
    /// Whether the run is a best-effort one at work that may be stopped and resumed elsewhere from its checkpoint.
    bool canResumeElsewhere(const HostRun& run) const;
    /// The host on which memory has been made free for the next task, or null; ends the transfer.
    const HostState* hostWithTransferredMemory(const StepPlacement& placement, const PlacementContext& context);
    void makeRoom(SharingStep& needy, std::vector<SharingStep>& steps, const PlacementContext& context);
    void startTask(Job& job, const TaskId& id, TaskState& task, const HostState& host);
    void commit();
    void onCommitDurable(const Commit& commit);
    bool isViewFresh() const;
    void queueStartOrders();
    bool isReachable(const HostState& host) const;
    void queueStartOrder(const PendingStart& start);
    Duration startValidity(const HostState& host) const;
    void removeExpiredJobs(std::vector<JournalRecord>& records);
    void sendOrders();
    void sampleServiceLevels();
    static RunOrder makeRunOrder(const Job& job, const TaskId& id, const TaskState& task);

    JobRegistry& m_registry;
    const JournalFollower& m_follower;
    JournalWriter& m_writer;
    OrderSender& m_sender;
    const Clock& m_clock;
    const WallClock& m_wallClock;
    Counters& m_counters;
    Settings m_settings;
    HostRegistry m_hosts;
    InterferenceModel m_interference;
    DurationEstimator m_durations;
    learning::HostSpeeds m_hostSpeeds { learning::HostSpeeds::Settings {} };
    std::map<std::string, JobPlan> m_plans; ///< Of open jobs, by job id; computed on first use.
    overload::RoomDivision m_room;
    overload::LoadSchedule m_loadSchedule;
    std::vector<TaskId> m_waitingInTime; ///< First tasks of the best-effort steps in time without a host in this cycle.
    std::set<std::string> m_stoppedForWorkInTime; ///< Runs that are being stopped, by TaskId::text().
    std::map<std::string, double> m_reservedShares; ///< By service: share of its processors that is reserved.
    Instant m_roomLoggedAt {};
    overload::InterferenceBound m_bound;
    std::unordered_map<std::string, uint32_t> m_boundIndices; ///< In `m_bound`, by latency-critical job.
    std::map<std::string, OrderedPause> m_orderedPauses; ///< By TaskId::text().
    std::optional<Instant> m_boundMeasuredAt;
    StartEjector m_ejector;
    learning::RecordSchedule m_learnedSchedule;
    ServiceLevelMonitor m_serviceLevels;
    WaitingStepLog m_waitingSteps;
    /// The runs that are being stopped to make room, by TaskId::text().
    std::map<std::string, RoomTransfer> m_roomTransfers;
    std::map<std::string, MemoryTransfer> m_memoryTransfers; ///< By host.
    std::set<std::string> m_closedDataCentres;
    bool m_knowsClosedDataCentres { false };
    std::map<std::string, QueuePolicy> m_policies;
    bool m_active { false };
    Instant m_activeSince {};
    std::set<std::string> m_openJobs; ///< Jobs that have not ended.
    std::set<std::string> m_dirtyJobs; ///< Jobs whose state has changed since their last record.
    std::vector<EndAck> m_pendingAcks; ///< Acknowledged after the next commit.
    std::vector<PendingStart> m_pendingStarts; ///< Recorded with the next commit.
    std::vector<PendingStart> m_durableStarts; ///< Recorded, and ordered with the next message to their host.
    std::set<std::string> m_listedHosts; ///< Hosts in the newest list of leases or in the one that is being recorded.
    Instant m_formerLeasesEnd {}; ///< No earlier owner extends a lease beyond this.
    bool m_hasRecordedLeases { false }; ///< This owner's first list is recorded.
    std::map<std::string, Instant> m_endedJobs; ///< When each ended job ended, until its records are removed.
};

} // namespace hemlocklead::dispatch
