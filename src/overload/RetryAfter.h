#pragma once

#include "base/Clock.h"

#include <string_view>

namespace hemlocklead::overload {

/// Value of `Retry-After` for a job whose request makes sense again after `expectedWait`: the wait in whole seconds, at
/// least 1, and up to half of it or 1 s more, whichever is longer.
///
/// The addition depends on the job's id, so that callers who are refused together return at different times, and
/// changes with the time: while the expected wait is the same, a caller who follows the values gets at most two equal
/// ones in a row.
std::chrono::seconds retryAfter(Duration expectedWait, std::string_view job, Instant now);

/// Time to wait for the store in an outage that has lasted at least `outageAge`. With the values that retryAfter()
/// makes of it, a caller with four tries outlasts an outage of 4 s: three waits that begin within it end at least 1 s
/// after.
Duration outageWait(Duration outageAge);

} // namespace hemlocklead::overload
