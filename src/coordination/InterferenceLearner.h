#pragma once

#include "base/Clock.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocklead {

/// A running task as the learner sees it. The usage lags behind.
struct TaskLoad {
    AttemptKey key;
    std::string name; ///< Catalogue entry.
    bool watch { false };
    int64_t cpuMilli { 0 }; ///< Used, not reserved.
    int64_t progressSinceCheckpoint { 0 };
    double throttle { 1 }; ///< Share of its speed that it may use now.
};

/// Step to protect a service, or to take an earlier step back.
struct InterferenceAction {
    enum class Kind : uint8_t { Throttle, Evict };

    Kind kind { Kind::Throttle };
    AttemptKey key;
    double factor { 1 }; ///< For `Throttle`.

    bool operator==(const InterferenceAction&) const = default;
};

/// Learns which tasks slow down the services on this host, and decides what to do about it (design section 6).
///
/// The slowdown of a service is its latency relative to the lowest level seen lately, less 1. It is shared out over the
/// running tasks by their processor usage. Usage reports lag, so a step is given time to show before the next one.
class InterferenceLearner {
public:
    /// Notes the latency of a service's target, in microseconds.
    void noteLatency(const std::string& service, int64_t latencyUs, Instant now);

    /// Learns from the running tasks and returns at most one step: throttle the worst task to 0.5, then to 0.25, then
    /// evict the can-wait task with least progress since its checkpoint; watches only when no can-wait task is left.
    /// Takes throttling back, one task and one factor at a time, once latency has recovered.
    std::optional<InterferenceAction> decide(const std::vector<TaskLoad>& tasks, Instant now);

    /// Score of the pair; 0 when nothing is known.
    double score(const std::string& service, const std::string& task) const;

    /// Pairs whose score has changed noticeably since the last call.
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
    double blame(const TaskLoad& task) const;
    std::optional<InterferenceAction> tighten(const std::vector<TaskLoad>& tasks) const;
    static std::optional<InterferenceAction> relax(const std::vector<TaskLoad>& tasks);

    std::map<std::string, Service> m_services;
    std::map<std::pair<std::string, std::string>, Score> m_scores; ///< By service and task name.
    std::optional<Instant> m_learnedAt;
    std::optional<Instant> m_actedAt;
};

} // namespace hemlocklead
