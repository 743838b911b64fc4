#pragma once

#include "base/Clock.h"
#include "dispatch/HarmTable.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// A task that serves its own users beside others.
struct ServingTask {
    std::string task;
    std::string image;
    double tailRatio { 0 }; ///< Tail latency in relation to its target; lags by about half a second. 0 while unknown.
};

/// A task that fills the processor time that others leave.
struct FillingTask {
    std::string task;
    std::string image;
    double cores { 0 }; ///< Used at full pace.
};

/// Share of its speed that a filling task may use from now on.
struct PaceOrder {
    std::string task;
    int64_t percent { 100 };

    bool operator==(const PaceOrder&) const = default;
};

/// Learns which filling tasks disturb which serving ones, and holds them still before a serving task has been over its
/// target for too long.
///
/// Filling tasks run at full speed otherwise: a slower one disturbs for longer, and what decides is where it is placed.
class PaceControl {
public:
    struct Settings {
        Duration patience { 1900 }; ///< A task over its target for longer holds its likely offenders. Users bear it
                                    ///< for 4 s; figures lag by half a second, and a pause shows after another.
        Duration secondStep { 700 }; ///< Later every filling task is held: the offender is another one.
        double likely { 0.25 }; ///< Probability from which a pair counts as a likely offender.
        Duration lag { 500 }; ///< The worker's figures cover this time.
        Duration warmUp { 3000 }; ///< A serving task that has just begun is slow by itself.
    };

    explicit PaceControl(Settings settings);

    /// Learns from the state of the host and returns the paces that change.
    std::vector<PaceOrder> update(
        const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling, Instant now);

    /// The pace in force, in percent.
    int64_t pace(const std::string& task) const;

    /// The pace of the task is not known; it is ordered again.
    void forget(const std::string& task) { m_held.erase(task); }

    HarmTable& harm() { return m_harm; }

private:
    struct Watched {
        Instant firstSeen {};
        std::optional<Instant> overSince; ///< Since when the tail has been over its target.
    };

    using CoresByImage = std::map<std::string, double>;

    void dropAbsent(const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling);
    void smoothUse(const std::vector<FillingTask>& filling, Instant now);
    void watch(const ServingTask& task, Instant now);
    void learn(const ServingTask& task);
    bool isToBeHeld(const FillingTask& filler, const std::vector<ServingTask>& serving, Instant now) const;

    Settings m_settings;
    HarmTable m_harm;
    std::map<std::string, Watched> m_watched; ///< By serving task.
    std::map<std::string, bool> m_held; ///< By filling task; absent ones run at full pace.
    CoresByImage m_use; ///< Smoothed as the figures are.
    Instant m_updatedAt {};
};

} // namespace hemlocklead::dispatch
