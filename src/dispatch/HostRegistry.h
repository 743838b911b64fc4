#pragma once

#include "dispatch/JobSpec.h"
#include "dispatch/SmoothedUsage.h"
#include "protocol/DispatchMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// One run on a host, with the resources that the owner accounts for it.
struct HostRun {
    enum class Stage : uint8_t {
        AwaitingCommit, ///< Recorded with the next commit; not ordered yet.
        Committing, ///< Its record is being appended; not ordered yet.
        Ordered, ///< Ordered on the current connection.
        Adopted, ///< Ordered earlier, on another connection or by another owner.
    };

    TaskId task;
    uint32_t attempt { 0 };
    Stage stage { Stage::Adopted };
    uint64_t sequence { 0 }; ///< Of its order on the current connection.
    Resources reserved; ///< Without processors for a best-effort task.
    int64_t usageMilli { 0 }; ///< Expected processor use at full speed, thousandths of a core.
    int64_t speedPercent { 100 }; ///< Speed that the agent allows it; 0 while paused.
    bool wasSlowed { false }; ///< The agent has allowed it less than full speed at some time.
    bool bestEffort { false };
    bool longRunning { false };
    std::string image;
    bool seen { false }; ///< The worker has reported it as running.
    Instant seenAt {}; ///< When it was first reported as running.
    bool described { false }; ///< Its description has been sent on the current connection.
    int64_t tailPerMille { 0 }; ///< Last reported tail latency, thousandths of its target; 0 while unknown.
    std::optional<Instant> fullRunOrderedAt; ///< When this owner ordered the run, if it starts without a checkpoint.
    std::optional<Instant> pausedSince; ///< Since when the agent has reported it as paused.
    bool stopping { false };
    Instant stopSentAt {};

    Service service() const { return { task.job, image }; }

    /// Whether its last reported tail latency is over the target.
    bool isOverTarget() const
    {
        constexpr int64_t atTargetPerMille = 1000;
        return tailPerMille > atTargetPerMille;
    }

    /// Whether the run has been ordered and so may exist on the worker.
    bool isOrdered() const { return stage == Stage::Ordered || stage == Stage::Adopted; }
};

/// The tasks of one service on a host.
struct LatencyCriticalGroup {
    uint32_t tasks { 0 };
    double overByOwnLoad { 0 }; ///< Probability that a task is over its target even without best-effort tasks.
    double interferenceWeight { 1 }; ///< See interferenceWeight().
    InterferenceModel::Forecast forecast; ///< Of their headroom next to the best-effort tasks on the host.
};

/// The owner's state of a worker host.
struct HostState {
    /// Share of their declared processors that long-running tasks use on average: the declared value is the peak.
    static constexpr double longRunningUsageShare = 0.5;

    std::string name;
    bool connected { false };
    bool reported { false }; ///< A report has arrived on the current connection.
    Instant reportedAt {};
    Instant clockReadAt {}; ///< When the newest reading of the worker's clock arrived; leases count from a reading.
    Instant leaseEnd {}; ///< All leases on the host's worker have expired after this.
    HostReport last; ///< The last report, without its lists.
    /// Newest incarnation of the worker of which a complete list of runs has arrived; 0 without one. The orders, the
    /// ends and the readings of the clock that are accounted for are those of this incarnation.
    int64_t life { 0 };
    /// Late calls that were meant for earlier incarnations may have extended the lease of this one until then.
    Instant inheritedLeaseEnd {};
    /// Incarnation of the worker that refuses the calls of all former owners; 0 if none is known to. As long as this is
    /// not known, a former owner may extend leases and order starts there through another process of the agent.
    int64_t fencedLife { 0 };
    Resources reserved;
    Resources longRunningReserved; ///< The part of `reserved` that long-running tasks hold.
    /// Kept from younger long-running tasks, for older ones that do not fit yet. Set anew in each scheduling cycle.
    Resources held;
    std::string heldFor; ///< Job of the oldest task that `held` contains room for.
    bool isHeldFromShortTasks { false }; ///< Short tasks may not use what is held either.
    int64_t usageMilli { 0 }; ///< Expected use of all runs but the long-running ones, thousandths of a core.
    int64_t longRunningMilli { 0 }; ///< Declared processors of the long-running ones, thousandths of a core.
    std::map<Service, LatencyCriticalGroup> latencyCriticalGroups;
    bool forecastsAreStale { true }; ///< `latencyCriticalGroups` must be recomputed.
    double speed { 1 }; ///< Estimate of learning::HostSpeeds, above 0; 1 unless the host counts as slow.
    SmoothedUsage bestEffortUsage;
    std::optional<Instant> bestEffortRefusedAt; ///< Last refusal that protected latency-critical tasks.
    /// Last values sent to the agent, by latency-critical and best-effort image.
    std::map<std::pair<std::string, std::string>, double> sentInterference;
    uint64_t endsApplied { 0 }; ///< Highest number of an applied end, of the worker's current incarnation.
    uint64_t endsDurable { 0 }; ///< Highest number of an end that is recorded.
    uint64_t nextSequence { 1 };
    std::map<std::string, HostRun> runs; ///< By TaskId::text().
    HostOrders outbox; ///< Content of the next message.
    Instant orderedAt {}; ///< When the last message was sent.

    /// Whether only this owner can act on the worker, according to the reports so far. A worker that has not answered
    /// the agent's present process has no known incarnation, and is the one known before.
    bool isFenced() const { return fencedLife != 0 && (last.life == 0 || last.life == fencedLife); }

    /// Whether the worker can be given orders, as far as the reports show.
    bool acceptsOrders() const { return life != 0 && last.life == life; }

    /// Whether the worker is known to run at `now`: the last report is no older than `maxReportAge`.
    bool isInTouch(Instant now, Duration maxReportAge) const
    {
        return connected && reported && !last.silent && now - reportedAt <= maxReportAge;
    }

    /// Whether the absence of a run from a report shows that it does not exist. Agents of earlier builds do not say
    /// whether the worker refuses former owners.
    bool showsAbsence() const { return isFenced() || !last.fencesEpochs; }

    Resources free() const { return last.capacity - reserved; }

    /// Resources that a new task may reserve. Negative while runs use what is held for other tasks.
    Resources available() const { return free() - held; }

    /// Resources that a new task could reserve once all runs but the long-running ones have ended.
    Resources availableAfterShortRuns() const { return last.capacity - longRunningReserved - held; }

    /// Processor time that the current runs are expected to leave unused, thousandths of a core.
    int64_t idleMilli() const
    {
        const auto longRunning = static_cast<int64_t>(static_cast<double>(longRunningMilli) * longRunningUsageShare);
        return last.capacity.cpuMilli - usageMilli - longRunning;
    }

    /// Recomputes `latencyCriticalGroups` if runs or their speeds have changed. `weightOf` gives the weight of a job.
    void refreshForecasts(
        const InterferenceModel& model, const std::function<double(const std::string& job)>& weightOf);

    /// Whether the agent has paused best-effort tasks to protect latency-critical ones, would pause any that started
    /// now, or has just refused one for that reason.
    bool pausesBestEffort(Instant now) const;

    /// Processors that the best-effort tasks use at their current speed, by image.
    CoresByImage bestEffortCores() const;

    /// Whether a best-effort task uses processors there.
    bool runsBestEffort() const;

    /// Sets the speed of a run and updates the host's expected use.
    void setSpeed(HostRun& run, int64_t speedPercent);

    bool outboxIsEmpty() const
    {
        return outbox.starts.empty() && outbox.stops.empty() && outbox.known.empty() && outbox.disturbances.empty()
            && outbox.pauses.empty() && outbox.acknowledgedEnds >= endsDurable;
    }
};

/// All hosts, with the runs on them and the resources that these use.
class HostRegistry {
public:
    HostState& host(const std::string& name);
    HostState* find(const std::string& name);
    std::map<std::string, HostState>& hosts() { return m_hosts; }
    const std::map<std::string, HostState>& hosts() const { return m_hosts; }
    void clear() { m_hosts.clear(); }

    /// The run of the task on the host, or null if none is accounted for.
    const HostRun* findRun(const std::string& host, const TaskId& task) const;

    /// Adds a run of a task of `step` and its resources; replaces an earlier run of the same task.
    HostRun& add(HostState& host, const TaskId& task, uint32_t attempt, const StepSpec& step, HostRun::Stage stage);

    /// Removes the run of the task and frees its resources.
    void remove(HostState& host, const std::string& task);

private:
    std::map<std::string, HostState> m_hosts;
};

} // namespace hemlocklead::dispatch
