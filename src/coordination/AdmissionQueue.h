#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace hemlocklead {

/// Admission control for the requests of one catalogue entry: limits the requests in flight and queues further ones in
/// order of deadline.
class AdmissionQueue {
public:
    struct Limits {
        int64_t maxInFlight { 256 };
        int64_t maxQueued { 512 };
    };

    enum class Decision : uint8_t {
        Admitted,
        Queued,
        QueueFull,
        TooLate, ///< Cannot meet its deadline.
    };

    /// Admits, queues or rejects request `id`. `expected` is the expected duration of one request.
    Decision offer(uint64_t id, Instant deadline, Instant now, Duration expected, const Limits& limits);

    /// Ends an admitted request.
    void release();

    /// Admits the queued request with the earliest deadline if fewer than `maxInFlight` are in flight.
    std::optional<uint64_t> admitNext(const Limits& limits);

    /// Removes and returns the queued requests that can no longer meet their deadline.
    std::vector<uint64_t> shed(Instant now, Duration expected);

    /// Removes a queued request whose caller has disconnected.
    void remove(uint64_t id, Instant deadline);

    int64_t inFlight() const { return m_inFlight; }
    int64_t queued() const { return static_cast<int64_t>(m_queue.size()); }

private:
    Duration expectedWait(Instant deadline, Duration expected, int64_t maxInFlight) const;

    int64_t m_inFlight { 0 };
    std::map<std::pair<Instant, uint64_t>, uint64_t> m_queue; ///< By deadline, then id.
};

} // namespace hemlocklead
