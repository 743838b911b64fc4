#pragma once

#include "dispatch/JobSpec.h"
#include "dispatch/SmoothedUse.h"
#include "protocol/DispatchMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// One run on a host as the owner accounts for it.
struct HostRun {
    enum class Stage : uint8_t {
        AwaitingCommit, ///< To be recorded with the next commit; no order was sent.
        Committing, ///< Its record is on the way to the store; no order was sent.
        Ordered, ///< Ordered on the present connection.
        Adopted, ///< Ordered earlier, on another connection or by another owner.
    };

    TaskId task;
    uint32_t attempt { 0 };
    Stage stage { Stage::Adopted };
    uint64_t sequence { 0 }; ///< Of the order on the present connection.
    Resources reserved; ///< Without processors for a task that fills.
    int64_t usageMilli { 0 }; ///< Expected processor use at full pace.
    int64_t speedPercent { 100 }; ///< Share of its speed that the agent lets it use, in percent.
    bool bestEffort { false };
    bool longRunning { false };
    std::string image;
    bool seen { false }; ///< The worker has listed it.
    Instant seenAt {}; ///< When it was listed first.
    std::optional<Instant> fullRunOrderedAt; ///< When this owner ordered it, for a run that resumes from no checkpoint.
    bool stopping { false };
    Instant stopSentAt {};

    /// Whether its order went out, so that it may be on the worker.
    bool isOrdered() const { return stage == Stage::Ordered || stage == Stage::Adopted; }
};

/// The serving tasks of one image on a host.
struct LatencyCriticalGroup {
    uint32_t tasks { 0 };
    DisturbanceModel::Forecast forecast; ///< Of their headroom beside the filling tasks on the host.
};

/// A worker host as the owner sees it.
struct HostState {
    /// Share of their declared processors that lasting tasks use on average. Owners declare the peak.
    static constexpr double longRunningUsageShare = 0.5;

    std::string name;
    bool connected { false };
    bool reported { false }; ///< A report has come over the present connection.
    Instant reportedAt {};
    Instant leaseEnd {}; ///< Every lease on the host's worker has ended after this.
    HostReport last; ///< The last report, without its lists.
    Resources reserved;
    int64_t usageMilli { 0 }; ///< Expected use of all runs but the lasting ones.
    int64_t longRunningMilli { 0 }; ///< Declared processors of the lasting ones.
    std::map<std::string, LatencyCriticalGroup> latencyCriticalGroups; ///< By serving image.
    bool forecastsAreStale { true };
    SmoothedUse bestEffortUsage;
    std::optional<Instant>
        bestEffortRefusedAt; ///< When the agent last refused a filling task for a serving one's sake.
    std::map<std::pair<std::string, std::string>, double> sentInterference; ///< To the agent, by pair of images.
    uint64_t endsApplied { 0 }; ///< Of the present life.
    uint64_t endsDurable { 0 };
    uint64_t nextSequence { 1 };
    std::map<std::string, HostRun> runs; ///< By the text of the task's id.
    HostOrders outbox; ///< Orders for the next message.
    Instant orderedAt {}; ///< When the last message was sent.

    Resources free() const { return last.capacity - reserved; }

    /// Processor time that the running tasks are expected to leave, thousandths of a core.
    int64_t idleMilli() const
    {
        const auto longRunning = static_cast<int64_t>(static_cast<double>(longRunningMilli) * longRunningUsageShare);
        return last.capacity.cpuMilli - usageMilli - longRunning;
    }

    /// Works `disturbed` out again after a change.
    void refreshForecasts(const DisturbanceModel& model);

    /// Whether the agent holds filling tasks for what they do to serving ones, or has just refused one for that.
    bool pausesBestEffort(Instant now) const;

    /// Processors that the filling tasks use at their present pace.
    CoresByImage bestEffortCores() const;

    /// Sets the pace of a run and what it uses.
    void setSpeed(HostRun& run, int64_t speedPercent);

    bool outboxIsEmpty() const
    {
        return outbox.starts.empty() && outbox.stops.empty() && outbox.known.empty() && outbox.disturbances.empty()
            && outbox.acknowledgedEnds >= endsDurable;
    }
};

/// The hosts and the resources that runs take on them.
class HostRegistry {
public:
    HostState& host(const std::string& name);
    HostState* find(const std::string& name);
    std::map<std::string, HostState>& hosts() { return m_hosts; }
    const std::map<std::string, HostState>& hosts() const { return m_hosts; }
    void clear() { m_hosts.clear(); }

    /// Accounts for a run of a task of `step`; replaces one of the same task.
    HostRun& add(HostState& host, const TaskId& task, uint32_t attempt, const StepSpec& step, HostRun::Stage stage);

    /// Frees what the run took.
    void remove(HostState& host, const std::string& task);

private:
    std::map<std::string, HostState> m_hosts;
};

} // namespace hemlocklead::dispatch
