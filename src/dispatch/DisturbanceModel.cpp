#include "dispatch/DisturbanceModel.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    /// Headroom above this says no more of the load.
    constexpr double mostHeadroom = 8;

    /// A tail ten times over its target tells only that the headroom is used up.
    constexpr double leastHeadroom = 0.1;

    /// Variance of one figure: tasks of one image differ by about a third of the target's headroom.
    constexpr double figureVariance = 0.1;

    /// Users' load may use up the headroom between two targets within some five seconds.
    constexpr double quietVariancePerSecond = 0.16;

    /// What a pair takes changes within seconds, by about a fifth of the prior.
    constexpr double pairVariancePerSecond = 0.0004;

    /// Delay of the trend's reference. Forecasts reach half as far as that.
    constexpr double trendSeconds = 2;
    constexpr double forecastSeconds = 1;

    /// Figures of an image that was not seen for longer count from the start.
    constexpr double mostGapSeconds = 5;

    const DisturbanceModel::Pair unknownPair;

} // namespace

double DisturbanceModel::Forecast::overProbability() const
{
    const double deviation = std::sqrt(variance + figureVariance);
    return 0.5 * std::erfc((headroom - 1) / deviation / std::sqrt(2.0));
}

const DisturbanceModel::Pair& DisturbanceModel::pair(const std::string& serving, const std::string& filling) const
{
    const auto found = m_serving.find(serving);
    if (found == m_serving.end())
        return unknownPair;
    const auto pair = found->second.pairs.find(filling);
    return pair == found->second.pairs.end() ? unknownPair : pair->second;
}

void DisturbanceModel::advance(Serving& serving, Instant now)
{
    const double seconds = std::chrono::duration<double>(now - serving.observedAt).count();
    serving.observedAt = now;
    const double share = 1 - std::exp(-seconds / trendSeconds);
    serving.delayedQuiet += share * (serving.quiet - serving.delayedQuiet);
    serving.quietVariance += quietVariancePerSecond * std::min(seconds, mostGapSeconds);
    for (auto& [filling, pair] : serving.pairs) {
        const double grown = pair.variance + pairVariancePerSecond * seconds;
        pair.variance = std::min(grown, priorTaken * priorTaken);
    }
}

void DisturbanceModel::observe(const std::string& servingImage, double tailRatio, const CoresByImage& use, Instant now)
{
    if (tailRatio <= 0)
        return;
    const double headroom = std::min(1 / tailRatio, mostHeadroom);
    const auto [found, isNew] = m_serving.try_emplace(servingImage);
    Serving& serving = found->second;
    if (isNew) {
        serving.quiet = headroom;
        serving.delayedQuiet = headroom;
        serving.quietVariance = mostHeadroom;
        serving.observedAt = now;
    }
    advance(serving, now);
    double expected = serving.quiet;
    double variance = serving.quietVariance + figureVariance;
    for (const auto& [filling, cores] : use) {
        const Pair& pair = serving.pairs[filling];
        expected -= pair.taken * cores;
        variance += pair.variance * cores * cores;
    }
    if (headroom <= leastHeadroom && expected <= leastHeadroom)
        return;
    const double surprise = headroom - expected;
    serving.quiet = std::clamp(serving.quiet + surprise * serving.quietVariance / variance, 0.0, mostHeadroom);
    serving.quietVariance -= serving.quietVariance * serving.quietVariance / variance;
    for (const auto& [filling, cores] : use) {
        Pair& pair = serving.pairs[filling];
        const double gain = pair.variance * cores / variance;
        pair.taken = std::max(pair.taken - surprise * gain, 0.0);
        pair.variance -= gain * pair.variance * cores;
    }
}

DisturbanceModel::Forecast DisturbanceModel::forecast(const std::string& servingImage, const CoresByImage& use) const
{
    const auto found = m_serving.find(servingImage);
    if (found == m_serving.end())
        return { mostHeadroom / 2, mostHeadroom };
    const Serving& serving = found->second;
    const double trend = (serving.quiet - serving.delayedQuiet) / trendSeconds;
    Forecast forecast { serving.quiet + trend * forecastSeconds, serving.quietVariance };
    for (const auto& [filling, cores] : use)
        forecast = withTask(forecast, servingImage, filling, cores);
    return forecast;
}

DisturbanceModel::Forecast DisturbanceModel::withTask(
    Forecast before, const std::string& serving, const std::string& filling, double cores) const
{
    const Pair& known = pair(serving, filling);
    return { before.headroom - known.taken * cores, before.variance + known.variance * cores * cores };
}

} // namespace hemlocklead::dispatch
