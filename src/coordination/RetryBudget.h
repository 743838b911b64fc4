#pragma once

#include <cstdint>

namespace hemlocklead {

/// Token bucket that bounds retries and hedges to a share of the requests.
class RetryBudget {
public:
    /// `percent` of requests may be repeated; `burst` whole tokens are there at the start and are the most that gather.
    explicit RetryBudget(int64_t percent, int64_t burst = 10);

    /// Adds the share of one new request.
    void noteRequest();

    /// Takes one token; false when there is none.
    bool take();

private:
    static constexpr int64_t unitsPerToken = 100;

    int64_t m_percent;
    int64_t m_most;
    int64_t m_units;
};

} // namespace hemlocklead
