#pragma once

#include "base/Clock.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocklead {

/// Load of a running task. The usage comes from reports that lag behind.
struct TaskLoad {
    AttemptKey key;
    std::string name; ///< Catalogue entry.
    bool watch { false };
    int64_t cpuMilli { 0 }; ///< Measured usage, not the reservation.
    int64_t progressSinceCheckpoint { 0 };
    double throttle { 1 }; ///< Fraction of full speed at which the task is allowed to run, from 0 to 1.
};

/// Action that protects a service, or reverts an earlier throttling.
struct InterferenceAction {
    enum class Kind : uint8_t { Throttle, Evict };

    Kind kind { Kind::Throttle };
    AttemptKey key;
    double factor { 1 }; ///< New throttle of the task; used by `Throttle` only.

    bool operator==(const InterferenceAction&) const = default;
};

/// Learns which tasks slow down the services on this host, and decides which task to throttle or evict (design
/// section 6).
///
/// The slowdown of a service is its latency divided by its recent lowest level, minus 1. It is attributed to the
/// running tasks in proportion to their processor usage. Because usage reports lag, actions are separated by a minimum
/// interval in which the effect of the last one becomes visible.
class InterferenceLearner {
public:
    /// Records a latency sample of a target of the service, in microseconds.
    void noteLatency(const std::string& service, int64_t latencyUs, Instant now);

    /// Updates the scores from the running tasks and returns at most one action. While a service is slowed down, tasks
    /// that affect it are throttled to 0.5, then to 0.25, the one with the highest impact first; then the one with the
    /// least progress since its checkpoint is evicted. Watches are affected only if no can-wait task is left. Once
    /// latency has recovered, throttling is reverted, one task and one factor at a time.
    std::optional<InterferenceAction> decide(const std::vector<TaskLoad>& tasks, Instant now);

    /// Learned slowdown of the service by the task; 0 for an unknown pair.
    double score(const std::string& service, const std::string& task) const;

    /// Returns the pairs whose score has changed by at least `minReportedChange` since it was last returned.
    std::vector<InterferenceReport> takeChanged();

private:
    struct Service {
        double latencyUs { 0 };
        double baselineUs { 0 };
        Instant notedAt;
    };

    struct Score {
        double value { 0 };
        double reported { 0 };
    };

    double slowdown(const Service& service, Instant now) const;
    double worstSlowdown(Instant now) const;
    void learn(const std::vector<TaskLoad>& tasks, Instant now);
    /// Highest score of the task over all services.
    double highestScore(const TaskLoad& task) const;
    std::optional<InterferenceAction> throttleOrEvict(const std::vector<TaskLoad>& tasks) const;
    static std::optional<InterferenceAction> restoreSpeed(const std::vector<TaskLoad>& tasks);

    std::map<std::string, Service> m_services;
    std::map<std::pair<std::string, std::string>, Score> m_scores; ///< By service and task name.
    std::optional<Instant> m_learnedAt;
    std::optional<Instant> m_actedAt;
};

} // namespace hemlocklead
