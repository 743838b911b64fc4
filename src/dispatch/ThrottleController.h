#pragma once

#include "base/Clock.h"
#include "dispatch/InterferenceModel.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// A task that serves users under a latency target.
struct LatencyCriticalTask {
    std::string task;
    std::string image;
    double tailRatio { 0 }; ///< Tail latency divided by its target; lags by about half a second. 0 while unknown.
};

/// A task that uses the processor time left over by other tasks.
struct BestEffortTask {
    std::string task;
    std::string image;
    double cores { 0 }; ///< Used at full speed.
};

/// Sets the share of its full speed that a best-effort task may use until the next order.
struct ThrottleOrder {
    std::string task;
    int64_t percent { 100 };

    bool operator==(const ThrottleOrder&) const = default;
};

/// Pauses best-effort tasks on one host before a latency-critical task has been over its target for too long.
///
/// Tasks run either at full speed or not at all: a slower task interferes for longer, and interference is mainly
/// avoided by placement.
class ThrottleController {
public:
    struct Settings {
        /// Users of a latency-critical task tolerate a tail latency over its target for less than this.
        Duration maxTimeOverTarget { 4000 };

        /// From the moment at which a tail latency exceeds its target to a poll that shows it (0.6 s), one more poll
        /// until the time is checked, the order (0.1 s) and a margin.
        Duration reactionTime { 1500 };

        /// A tail latency falls to a third in this time once the interference has stopped.
        Duration tailDecayTime { 500 };

        /// Delay after which the other best-effort tasks are paused too, if pausing the likely antagonists (sources of
        /// the interference) did not help: two polls while tasks are paused.
        Duration unlikelyAntagonistDelay { 300 };

        /// A best-effort task that uses at least this much headroom is a likely antagonist. Less than the difference
        /// between low and high user load.
        double likelyAntagonistHeadroom { 0.25 };
    };

    explicit ThrottleController(Settings settings);

    /// Updates the state of the host and returns orders for the tasks whose speed changes.
    std::vector<ThrottleOrder> update(const std::vector<LatencyCriticalTask>& latencyCritical,
        const std::vector<BestEffortTask>& bestEffort, Instant now);

    /// Pauses the best-effort task until `until`, also while no latency-critical task is over its target. Takes effect
    /// with the next update. A time that has passed ends the pause.
    void pauseUntil(const std::string& task, Instant until);

    /// Whether a best-effort task is paused.
    bool isPausing() const;

    /// The last speed ordered for the task, in percent.
    int64_t speedPercent(const std::string& task) const;

    /// Discards the last order for the task, whose outcome is unknown. The task counts as running at full speed, so the
    /// next update pauses it again if it must.
    void forget(const std::string& task) { m_paused.erase(task); }

    /// Discards all orders and measurements: the tasks are gone.
    void forgetAll();

    /// Whether the task must be paused, or would have to be if it started now.
    bool mustPause(const BestEffortTask& bestEffortTask, Instant now) const;

    /// Whether a best-effort task that started now would have to be paused, as a likely antagonist at least.
    bool refusesBestEffort(Instant now) const;

    /// Sets the headroom of the latency-critical image that each core of the best-effort image uses; see
    /// InterferenceModel.
    void setInterference(const std::string& latencyCritical, const std::string& bestEffort, double headroomPerCore);

private:
    void removeAbsentTasks(
        const std::vector<LatencyCriticalTask>& latencyCritical, const std::vector<BestEffortTask>& bestEffort);
    bool isPauseOrdered(const std::string& task, Instant now) const;
    void updateTimeOverTarget(const LatencyCriticalTask& task, Instant now);
    double headroomUsed(const LatencyCriticalTask& task, const BestEffortTask& bestEffortTask) const;
    Duration pauseDelay(double tailRatio) const;

    /// How long the task has been over its target beyond the time that users tolerate; negative before that, nullopt
    /// while it is not over its target.
    std::optional<Duration> timeSincePauseDue(const LatencyCriticalTask& task, Instant now) const;

    Settings m_settings;
    /// By latency-critical and best-effort image.
    std::map<std::pair<std::string, std::string>, double> m_headroomPerCore;
    std::vector<LatencyCriticalTask> m_latencyCritical; ///< As of the last update.
    /// By latency-critical task: when it went over its target; empty while it is not.
    std::map<std::string, std::optional<Instant>> m_overSince;
    std::map<std::string, Instant> m_pausedUntil; ///< Ordered pauses, by best-effort task.
    std::map<std::string, bool> m_paused; ///< By best-effort task; absent tasks run at full speed.
};

} // namespace hemlocklead::dispatch
