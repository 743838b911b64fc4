#include "dispatch/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlocklead::dispatch {

namespace {

    /// Higher headroom gives no further information about the load.
    constexpr double maxHeadroom = 8;

    /// A tail latency of ten times its target shows only that the headroom is used up.
    constexpr double minHeadroom = 0.1;

    /// Variance of one measurement: tasks of one image differ by about a third of the headroom at the target.
    constexpr double measurementVariance = 0.1;

    /// A change of the users' load can shift the baseline by about 1, the headroom at the target, within five seconds.
    constexpr double baselineVariancePerSecond = 0.16;

    /// The headroom per core of a pair changes within seconds by about a fifth of the prior.
    constexpr double pairVariancePerSecond = 0.0004;

    /// Delay of the baseline that the trend is computed from. Forecasts look half as far ahead.
    constexpr double trendSeconds = 2;
    constexpr double forecastSeconds = 1;

    /// The baseline variance grows for at most this long between two observations; after it a new measurement already
    /// outweighs the old baseline.
    constexpr double maxGapSeconds = 5;

    const InterferenceModel::Pair defaultPair;

    double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    /// The variance of a pair that has not been observed for `time`.
    double grownPairVariance(double variance, Duration time)
    {
        return std::min(variance + pairVariancePerSecond * seconds(time), defaultPair.variance);
    }

} // namespace

double InterferenceModel::Forecast::overTargetProbability() const
{
    const double deviation = std::sqrt(variance + measurementVariance);
    return 0.5 * std::erfc((headroom - 1) / deviation / std::sqrt(2.0));
}

const InterferenceModel::Pair& InterferenceModel::pair(
    const std::string& latencyCritical, const std::string& bestEffort) const
{
    const auto found = m_images.find(latencyCritical);
    if (found == m_images.end())
        return defaultPair;
    const auto pair = found->second.pairs.find(bestEffort);
    return pair == found->second.pairs.end() ? defaultPair : pair->second;
}

void InterferenceModel::advance(ServiceState& service, Instant now)
{
    const double elapsed = seconds(now - std::exchange(service.observedAt, now));
    const double weight = 1 - std::exp(-elapsed / trendSeconds);
    service.smoothedBaseline += weight * (service.baseline - service.smoothedBaseline);
    service.baselineVariance += baselineVariancePerSecond * std::min(elapsed, maxGapSeconds);
}

void InterferenceModel::advance(ImageState& image, Instant now)
{
    const Duration elapsed = now - std::exchange(image.observedAt, now);
    for (auto& [bestEffort, pair] : image.pairs)
        pair.variance = grownPairVariance(pair.variance, elapsed);
}

void InterferenceModel::observe(const Service& service, double tailRatio, const CoresByImage& usage, Instant now)
{
    if (tailRatio <= 0)
        return;
    const double headroom = std::min(1 / tailRatio, maxHeadroom);
    ImageState& image = m_images.try_emplace(service.image, ImageState { {}, now }).first->second;
    advance(image, now);
    const auto [found, isNew] = m_services.try_emplace(service);
    ServiceState& state = found->second;
    if (isNew) {
        double baseline = headroom;
        for (const auto& [bestEffort, cores] : usage) {
            if (const auto known = image.pairs.find(bestEffort); known != image.pairs.end())
                baseline += known->second.headroomPerCore * cores;
        }
        baseline = std::min(baseline, maxHeadroom);
        state = { baseline, maxHeadroom, baseline, now };
    }
    advance(state, now);
    double expected = state.baseline;
    double variance = state.baselineVariance + measurementVariance;
    for (const auto& [bestEffort, cores] : usage) {
        const Pair& pair = image.pairs[bestEffort];
        expected -= pair.headroomPerCore * cores;
        variance += pair.variance * cores * cores;
    }
    if (headroom <= minHeadroom && expected <= minHeadroom)
        return;
    const double innovation = headroom - expected;
    state.baseline = std::clamp(state.baseline + innovation * state.baselineVariance / variance, 0.0, maxHeadroom);
    state.baselineVariance -= state.baselineVariance * state.baselineVariance / variance;
    for (const auto& [bestEffort, cores] : usage) {
        Pair& pair = image.pairs[bestEffort];
        const double gain = pair.variance * cores / variance;
        pair.headroomPerCore = std::max(pair.headroomPerCore - innovation * gain, 0.0);
        pair.variance -= gain * pair.variance * cores;
    }
}

InterferenceModel::Forecast InterferenceModel::forecast(const Service& service, const CoresByImage& usage) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return { maxHeadroom / 2, maxHeadroom };
    const ServiceState& state = found->second;
    const double trend = (state.baseline - state.smoothedBaseline) / trendSeconds;
    Forecast forecast { state.baseline + trend * forecastSeconds, state.baselineVariance };
    for (const auto& [bestEffort, cores] : usage)
        forecast = withTask(forecast, service.image, bestEffort, cores);
    return forecast;
}

void InterferenceModel::removeJob(const std::string& job)
{
    std::erase_if(m_services, [&](const auto& entry) { return entry.first.job == job; });
}

InterferenceModel::Forecast InterferenceModel::withTask(
    Forecast before, const std::string& latencyCritical, const std::string& bestEffort, double cores) const
{
    const Pair& known = pair(latencyCritical, bestEffort);
    return { before.headroom - known.headroomPerCore * cores, before.variance + known.variance * cores * cores };
}

void InterferenceModel::exportTo(learning::LearnedState& state, Instant now) const
{
    for (const auto& [latencyCritical, image] : m_images) {
        for (const auto& [bestEffort, pair] : image.pairs) {
            const double variance = grownPairVariance(pair.variance, now - image.observedAt);
            if (variance < defaultPair.variance || pair.headroomPerCore != defaultPair.headroomPerCore)
                state.pairs.push_back({ latencyCritical, bestEffort, pair.headroomPerCore, variance });
        }
    }
    for (const auto& [service, known] : m_services) {
        ServiceState current = known;
        advance(current, now);
        state.baselines.push_back({ service.job, service.image, current.baseline, current.baselineVariance });
    }
}

void InterferenceModel::importPairs(const std::vector<learning::PairEstimate>& pairs, Duration age, Instant now)
{
    for (const learning::PairEstimate& row : pairs) {
        ImageState& image = m_images.try_emplace(row.latencyCritical, ImageState { {}, now }).first->second;
        advance(image, now);
        Pair& pair = image.pairs[row.bestEffort];
        const double variance = grownPairVariance(row.variance, age);
        if (variance <= pair.variance)
            pair = { row.headroomPerCore, variance };
    }
}

void InterferenceModel::importBaselines(
    const std::vector<learning::BaselineEstimate>& baselines, Duration age, Instant now)
{
    for (const learning::BaselineEstimate& row : baselines) {
        const double headroom = std::min(row.headroom, maxHeadroom);
        const double variance = std::min(row.variance + baselineVariancePerSecond * seconds(age), maxHeadroom);
        m_services.insert_or_assign({ row.job, row.image }, ServiceState { headroom, variance, headroom, now });
    }
}

} // namespace hemlocklead::dispatch
