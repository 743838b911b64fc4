#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hemlocklead::overload {

/// The unfinished work of one job that competes for room. Times count from now.
struct RoomDemand {
    int64_t priority { 0 }; ///< Lower values come first.
    uint64_t order { 0 }; ///< Order of acceptance.
    Duration timeLeft { 0 }; ///< Until the objective; negative once it is missed.
    Duration usefulTimeLeft { 0 }; ///< Until the end of the job is worth nothing to its caller.
    Duration criticalPath { 0 }; ///< Longest chain of work that waits.
    double coreSeconds { 0 }; ///< All unfinished work.
    bool hasBegun { false };
    Duration deferredFor { 0 }; ///< How long the job has been in another class than `InTime`.
};

/// What the end of a job is still worth to its caller. Jobs of one priority get room in this order.
enum class RoomClass : uint8_t {
    InTime, ///< Can end within its objective.
    Late, ///< Misses its objective, or gives way to jobs that can meet theirs; is still worth something.
    Expired, ///< Is worth nothing to its caller any more.
};
constexpr size_t roomClassCount = 3;

/// A job that has been deferred for this long is treated as one in time, so that accepted work ends however long an
/// overload lasts. Only the one that has been deferred longest is, until it ends.
constexpr Duration maxDeferral { 30'000 };

/// Time in which the work is done at `cores` core-seconds a second, at most about 30 years so that it stays in range.
Duration timeFor(double coreSeconds, double cores);

/// Classifies jobs that compete for room in which `cores` core-seconds of their work are done a second; without a value
/// the room does not limit them. The result has the order of `demands`.
///
/// Selects the jobs that can end in time, in the order of their deadlines. When the selected work does not fit before a
/// deadline, one selected job gives way: of the lowest priority one that has not begun, and of these the one with the
/// most work. That leaves the fewest callers late (the rule of Moore and Hodgson), and a younger job gives way before
/// an older one that needs as much.
std::vector<RoomClass> planRoom(const std::vector<RoomDemand>& demands, std::optional<double> cores);

} // namespace hemlocklead::overload
