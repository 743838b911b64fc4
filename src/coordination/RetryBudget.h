#pragma once

#include <cstdint>

namespace hemlocklead {

/// Token bucket that limits retries and hedges to a share of the requests.
class RetryBudget {
public:
    /// Allows `percent` retries per 100 requests. `burst` is the initial number of tokens and the capacity of the
    /// bucket; with 0 percent the bucket is always empty.
    explicit RetryBudget(int64_t percent, int64_t burst = 10);

    /// Adds the share of a token that one new request earns.
    void noteRequest();

    /// Takes one token. False when there is none.
    bool take();

private:
    static constexpr int64_t unitsPerToken = 100; ///< A request earns `percent` units.

    int64_t m_percent;
    int64_t m_maxUnits;
    int64_t m_units;
};

} // namespace hemlocklead
