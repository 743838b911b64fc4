#include "overload/RetryAfter.h"

#include <algorithm>
#include <xxhash.h>

namespace hemlocklead::overload {

namespace {

    /// The outage that a caller with four tries has to outlast.
    constexpr Duration expectedOutage { 4000 };

    /// Two such waits outlast the expected outage, and the third covers the time until the entry's view is up to date.
    constexpr Duration maxOutageWait { 2000 };

} // namespace

std::chrono::seconds retryAfter(Duration expectedWait, std::string_view job, Instant now)
{
    const int64_t lowest = std::max<int64_t>(1, std::chrono::ceil<std::chrono::seconds>(expectedWait).count());
    const int64_t width = std::max<int64_t>(2, lowest / 2 + 1);
    // The addition moves on once in the mean wait. Each wait but a mean one is followed by another addition at the
    // latest after a second wait of the same length.
    const int64_t periodMs = lowest * 1000 + (width - 1) * 500;
    const uint64_t period = static_cast<uint64_t>(now.time_since_epoch().count() / periodMs);
    const uint64_t hash = XXH3_64bits(job.data(), job.size());
    const uint64_t addition = (hash % static_cast<uint64_t>(width) + period) % static_cast<uint64_t>(width);
    return std::chrono::seconds { lowest + static_cast<int64_t>(addition) };
}

Duration outageWait(Duration outageAge)
{
    return std::clamp(expectedOutage - outageAge, Duration { 0 }, maxOutageWait);
}

} // namespace hemlocklead::overload
