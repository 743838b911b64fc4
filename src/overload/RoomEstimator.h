#pragma once

#include "base/Clock.h"

#include <optional>

namespace hemlocklead::overload {

/// Measures how much work the room for one kind of work lets through while it is scarce.
///
/// Counts work that has ended rather than processors in use: tasks that are paused, slowed down or run on slow hosts
/// occupy room without getting ahead.
class RoomEstimator {
public:
    struct Settings {
        Duration smoothing { 2000 }; ///< About the time that a batch task takes.
        Duration minLack { 1000 }; ///< A shorter wait for a host is ordinary queueing.
        Duration maxGap { 1000 }; ///< Room that nothing has lacked for longer is not scarce.
    };

    explicit RoomEstimator(Settings settings);

    /// Adds a task that has ended with success, by the estimate of its work.
    void noteWorkDone(double coreSeconds) { m_done += coreSeconds; }

    /// A task that could run has found no host.
    void noteLack(Instant now);

    /// Updates the rate. Called at least every few hundred milliseconds.
    void update(Instant now);

    /// Core-seconds of work done a second, or nothing while the room is not scarce or has not been watched for long
    /// enough.
    std::optional<double> cores(Instant now) const;

private:
    Settings m_settings;
    double m_done { 0 }; ///< Since the last update.
    double m_rate { 0 };
    Duration m_age { 0 }; ///< Time that the rate covers, at most the smoothing.
    std::optional<Instant> m_updatedAt;
    std::optional<Instant> m_lackedSince;
    Instant m_lackedAt {};
};

} // namespace hemlocklead::overload
