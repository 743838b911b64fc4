#pragma once

#include "base/Clock.h"
#include "dispatch/DisturbanceModel.h"

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

/// Holds filling tasks still before a serving task has been over its target for too long.
///
/// Filling tasks run at full speed otherwise: a slower one disturbs for longer, and what decides is where it is placed.
class PaceControl {
public:
    struct Settings {
        Duration bearable { 4000 }; ///< Users of a serving task bear a tail over its target for less than this.
        Duration reaction { 1500 }; ///< From the moment at which a tail passes its target to a look that shows it
                                    ///< (0.6 s), one more look until the time is checked, the order (0.1 s), margin.
        Duration decay { 500 }; ///< A tail falls to a third in this time once nothing disturbs it.
        Duration secondStep { 300 }; ///< All others are held this much after the likely offenders, if these did not
                                     ///< help: two looks while tasks are held.
        double likelyTaken { 0.25 }; ///< Headroom that a likely offender takes; less than between quiet and busy users.
    };

    explicit PaceControl(Settings settings);

    /// Takes the state of the host and returns the paces that change.
    std::vector<PaceOrder> update(
        const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling, Instant now);

    /// Whether a filling task stands still.
    bool isHolding() const;

    /// The pace in force, in percent.
    int64_t pace(const std::string& task) const;

    /// The pace of the task is not known; it is ordered again.
    void forget(const std::string& task) { m_held.erase(task); }

    /// Whether the task must stand still, or would have to if it started now.
    bool holds(const FillingTask& filler, Instant now) const;

    /// Each core of the filling image takes this headroom from the serving one; see DisturbanceModel.
    void setDisturbance(const std::string& serving, const std::string& filling, double takenPerCore);

private:
    void dropAbsent(const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling);
    void watch(const ServingTask& task, Instant now);
    double taken(const ServingTask& task, const FillingTask& filler) const;
    Duration patience(double tailRatio) const;

    Settings m_settings;
    std::map<std::pair<std::string, std::string>, double> m_takenPerCore; ///< By serving and filling image.
    std::vector<ServingTask> m_serving; ///< As last seen.
    std::map<std::string, std::optional<Instant>> m_overSince; ///< By serving task: since when it is over its target.
    std::map<std::string, bool> m_held; ///< By filling task; absent ones run at full pace.
};

} // namespace hemlocklead::dispatch
