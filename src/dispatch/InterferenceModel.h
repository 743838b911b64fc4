#pragma once

#include "base/Clock.h"
#include "learning/LearnedState.h"

#include <map>
#include <string>
#include <tuple>

namespace hemlocklead::dispatch {

/// Processor cores that best-effort tasks use on one host, by image.
using CoresByImage = std::map<std::string, double>;

/// The latency-critical tasks of one image that belong to one job. They share their users' load; jobs of the same image
/// have users of their own.
struct Service {
    std::string job;
    std::string image;

    bool operator==(const Service&) const = default;
    bool operator<(const Service& other) const { return std::tie(job, image) < std::tie(other.job, other.image); }
};

/// Estimates how much best-effort tasks slow latency-critical tasks down, from the tail latencies on all hosts.
///
/// Tail latency grows as the inverse of the capacity that a latency-critical task has left. The model therefore uses
/// the headroom, which is the target divided by the tail latency: 1 at the target, less above it. The baseline headroom
/// of a service depends on its users' load; each core of a best-effort image reduces it by an amount that is specific
/// to the pair of images. Both are tracked by a Kalman filter without covariances.
class InterferenceModel {
public:
    /// Headroom of a latency-critical image that one core of a best-effort image uses.
    struct Pair {
        double headroomPerCore { priorHeadroomPerCore };
        double variance { priorHeadroomPerCore * priorHeadroomPerCore };
    };

    /// Expected headroom on a host.
    struct Forecast {
        double headroom { 0 };
        double variance { 0 };

        /// Probability that the tail latency is over its target.
        double overTargetProbability() const;
    };

    /// Ten cores of an unknown image are expected to use up the whole headroom of a task at its target, so that images
    /// known not to interfere are preferred to unknown ones.
    static constexpr double priorHeadroomPerCore = 0.1;

    /// Updates the estimates from the tail latency of a latency-critical task, divided by its target, while best-effort
    /// tasks use `usage` on its host. Ignores a ratio of 0 or less, which is not a measurement.
    void observe(const Service& service, double tailRatio, const CoresByImage& usage, Instant now);

    /// Expected headroom of a task of the service within the next second while best-effort tasks use `usage`.
    Forecast forecast(const Service& service, const CoresByImage& usage) const;

    /// Discards what is known of the services of a job. What is known of images stays.
    void removeJob(const std::string& job);

    /// Discards what is known of all services.
    void removeServices() { m_services.clear(); }

    /// The forecast with one more task of the best-effort image that uses `cores`.
    Forecast withTask(
        Forecast before, const std::string& latencyCritical, const std::string& bestEffort, double cores) const;

    const Pair& pair(const std::string& latencyCritical, const std::string& bestEffort) const;

    /// Adds the estimates, with their variances as of `now`. Leaves out pairs of which nothing is known.
    void exportTo(learning::LearnedState& state, Instant now) const;

    /// Takes over estimates that are `age` old. Variances grow accordingly; of two estimates of a pair, the one with
    /// the lower variance is kept.
    void importPairs(const std::vector<learning::PairEstimate>& pairs, Duration age, Instant now);

    /// The same for services, replacing what is known of them. Their trend is measured anew.
    void importBaselines(const std::vector<learning::BaselineEstimate>& baselines, Duration age, Instant now);

private:
    /// The baseline is the headroom of the tasks without interference; it follows their users' load.
    struct ServiceState {
        double baseline { 0 };
        double baselineVariance { 0 };
        double smoothedBaseline { 0 }; ///< Follows `baseline` with a delay; the difference gives its trend.
        Instant observedAt {};
    };

    /// The pairs of a latency-critical image, by best-effort image.
    struct ImageState {
        std::map<std::string, Pair> pairs;
        Instant observedAt {};
    };

    static void advance(ServiceState& service, Instant now);
    static void advance(ImageState& image, Instant now);

    std::map<Service, ServiceState> m_services;
    std::map<std::string, ImageState> m_images; ///< By latency-critical image.
};

} // namespace hemlocklead::dispatch
