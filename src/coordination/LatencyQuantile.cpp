#include "coordination/LatencyQuantile.h"

#include <algorithm>

namespace hemlocklead {

void LatencyQuantile::record(std::chrono::microseconds latency)
{
    if (m_samples.size() < maxSamples)
        m_samples.push_back(latency.count());
    else
        m_samples[m_recorded % maxSamples] = latency.count();
    ++m_recorded;
    if (m_recorded % refreshEvery == 0 || m_recorded == minSamples)
        refresh();
}

std::optional<Duration> LatencyQuantile::hedgeDelay() const
{
    const auto latency = p95();
    if (!latency)
        return std::nullopt;
    return std::max(minHedgeDelay, std::chrono::ceil<Duration>(*latency));
}

std::optional<std::chrono::microseconds> LatencyQuantile::quantile(int64_t value) const
{
    if (m_recorded < minSamples)
        return std::nullopt;
    return std::chrono::microseconds { value };
}

void LatencyQuantile::refresh()
{
    std::vector<int64_t> sorted = m_samples;
    std::ranges::sort(sorted);
    m_median = sorted[sorted.size() / 2];
    m_p95 = sorted[sorted.size() * 95 / 100];
}

} // namespace hemlocklead
