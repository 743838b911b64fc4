#pragma once

#include "base/Clock.h"

#include <map>
#include <string>

namespace hemlocklead::dispatch {

/// Processors that filling tasks use on one host, by image.
using CoresByImage = std::map<std::string, double>;

/// How much filling tasks slow serving tasks down, learned from the tails of all hosts.
///
/// A tail grows as the inverse of the capacity that a serving task has left. So the model counts in headroom, the
/// target over the tail: 1 at the target, more below it. Each core of a filling image takes a share of its own from the
/// headroom that the image's users leave at that time, and both are followed by a Kalman filter without covariances.
class DisturbanceModel {
public:
    /// What one core of a filling image takes from the headroom of a serving one.
    struct Pair {
        double taken { priorTaken };
        double variance { priorTaken * priorTaken };
    };

    /// Headroom that is expected on a host.
    struct Forecast {
        double headroom { 0 };
        double variance { 0 };

        /// Probability that the tail is over its target.
        double overProbability() const;
    };

    /// Ten cores of an unknown image are expected to use up the whole headroom of a task at its target, so that images
    /// known to be harmless are preferred to unknown ones.
    static constexpr double priorTaken = 0.1;

    /// Learns from the tail of a serving task, in relation to its target, beside `use`.
    void observe(const std::string& serving, double tailRatio, const CoresByImage& use, Instant now);

    /// What to expect of a task of the image beside `use` within the next second.
    Forecast forecast(const std::string& serving, const CoresByImage& use) const;

    /// The forecast after one more task of `cores` of the image.
    Forecast withTask(Forecast before, const std::string& serving, const std::string& filling, double cores) const;

    const Pair& pair(const std::string& serving, const std::string& filling) const;

private:
    /// A serving image: the headroom of its tasks where nothing disturbs them. It follows their users' load.
    struct Serving {
        double quiet { 0 };
        double quietVariance { 0 };
        double delayedQuiet { 0 }; ///< Follows `quiet` with a delay; the difference is its trend.
        Instant observedAt {};
        std::map<std::string, Pair> pairs;
    };

    void advance(Serving& serving, Instant now);

    std::map<std::string, Serving> m_serving;
};

} // namespace hemlocklead::dispatch
