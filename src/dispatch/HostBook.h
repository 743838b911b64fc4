#pragma once

#include "dispatch/JobSpec.h"
#include "dispatch/SmoothedUsage.h"
#include "protocol/DispatchMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// One run on a host as the owner accounts for it.
struct HostRun {
    enum class Stage : uint8_t {
        Recording, ///< To be recorded with the next commit; no order was sent.
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
    int64_t pace { 100 }; ///< Share of its speed that the agent lets it use, in percent.
    bool fills { false };
    bool lasting { false };
    std::string image;
    bool seen { false }; ///< The worker has listed it.
    Instant seenAt {}; ///< When it was listed first.
    std::optional<Instant> wholeSince; ///< When this owner ordered it, for a run that resumes from no checkpoint.
    bool stopping { false };
    Instant stopSentAt {};

    /// Whether its order went out, so that it may be on the worker.
    bool isOrdered() const { return stage == Stage::Ordered || stage == Stage::Adopted; }
};

/// The serving tasks of one image on a host.
struct Disturbed {
    uint32_t tasks { 0 };
    InterferenceModel::Forecast forecast; ///< Of their headroom beside the filling tasks on the host.
};

/// A worker host as the owner sees it.
struct HostView {
    /// Share of their declared processors that lasting tasks use on average. Owners declare the peak.
    static constexpr double lastingUsage = 0.5;

    std::string name;
    bool connected { false };
    bool reported { false }; ///< A report has come over the present connection.
    Instant reportedAt {};
    Instant leaseEnd {}; ///< Every lease on the host's worker has ended after this.
    HostReport last; ///< The last report, without its lists.
    Resources reserved;
    int64_t usageMilli { 0 }; ///< Expected use of all runs but the lasting ones.
    int64_t lastingMilli { 0 }; ///< Declared processors of the lasting ones.
    std::map<std::string, Disturbed> disturbed; ///< By serving image.
    bool disturbedIsStale { true };
    SmoothedUsage fillingUse;
    std::optional<Instant> fillingRefusedAt; ///< When the agent last refused a filling task for a serving one's sake.
    std::map<std::pair<std::string, std::string>, double> toldDisturbances; ///< To the agent, by pair of images.
    uint64_t endsApplied { 0 }; ///< Of the present life.
    uint64_t endsDurable { 0 };
    uint64_t nextSequence { 1 };
    std::map<std::string, HostRun> runs; ///< By the text of the task's id.
    HostOrders outbox; ///< Orders for the next message.
    Instant orderedAt {}; ///< When the last message was sent.

    Resources free() const { return last.capacity - reserved; }

    /// Processor time that the running tasks are expected to leave, thousandths of a core.
    int64_t leftoverMilli() const
    {
        const auto lasting = static_cast<int64_t>(static_cast<double>(lastingMilli) * lastingUsage);
        return last.capacity.cpuMilli - usageMilli - lasting;
    }

    /// Works `disturbed` out again after a change.
    void refreshDisturbed(const InterferenceModel& model);

    /// Whether the agent holds filling tasks for what they do to serving ones, or has just refused one for that.
    bool holdsFilling(Instant now) const;

    /// Processors that the filling tasks use at their present pace.
    CoresByImage fillingCores() const;

    /// Sets the pace of a run and what it uses.
    void setPace(HostRun& run, int64_t pace);

    bool outboxIsEmpty() const
    {
        return outbox.starts.empty() && outbox.stops.empty() && outbox.known.empty() && outbox.disturbances.empty()
            && outbox.acknowledgedEnds >= endsDurable;
    }
};

/// The hosts and the resources that runs take on them.
class HostBook {
public:
    HostView& host(const std::string& name);
    HostView* find(const std::string& name);
    std::map<std::string, HostView>& hosts() { return m_hosts; }
    const std::map<std::string, HostView>& hosts() const { return m_hosts; }
    void clear() { m_hosts.clear(); }

    /// Accounts for a run of a task of `step`; replaces one of the same task.
    HostRun& add(HostView& host, const TaskId& task, uint32_t attempt, const StepSpec& step, HostRun::Stage stage);

    /// Frees what the run took.
    void remove(HostView& host, const std::string& task);

private:
    std::map<std::string, HostView> m_hosts;
};

} // namespace hemlocklead::dispatch
