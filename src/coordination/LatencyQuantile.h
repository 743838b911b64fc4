#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hemlocklead {

/// Median and 95th percentile of a service's most recent latencies, and the hedge delay derived from them.
class LatencyQuantile {
public:
    void record(std::chrono::microseconds latency);

    /// Nullopt while fewer than `minSamples` are recorded.
    std::optional<std::chrono::microseconds> median() const { return quantile(m_median); }
    std::optional<std::chrono::microseconds> p95() const { return quantile(m_p95); }

    /// Time after which an unanswered request is hedged: the p95, at least `minHedgeDelay`; nullopt while fewer than
    /// `minSamples` are recorded.
    std::optional<Duration> hedgeDelay() const;

private:
    static constexpr size_t maxSamples = 512;
    static constexpr size_t minSamples = 20;
    static constexpr size_t refreshEvery = 16; ///< Samples between two recalculations.
    /// Shorter delays are below the interval of the tick that starts hedges.
    static constexpr Duration minHedgeDelay { 2 };

    std::optional<std::chrono::microseconds> quantile(int64_t value) const;
    void refresh();

    std::vector<int64_t> m_samples; ///< Ring buffer, in microseconds.
    size_t m_recorded { 0 };
    int64_t m_median { 0 };
    int64_t m_p95 { 0 };
};

} // namespace hemlocklead
