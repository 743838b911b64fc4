#pragma once

#include "base/Clock.h"

#include <optional>

namespace hemlocklead::overload {

/// The backlog that a new job of a queue meets.
struct QueueLoad {
    Duration wait { 0 }; ///< Until a job that arrives now would begin.
    Duration drain { 0 }; ///< Until all unfinished work of its kind is done.

    bool operator==(const QueueLoad&) const = default;
};

/// What an entry knows when it decides on a job.
struct AdmissionRequest {
    std::optional<QueueLoad> load; ///< Empty if nothing is published for the queue.
    Duration loadAge { 0 }; ///< Since this entry read the load.
    Duration viewAge { 0 }; ///< Of the entry's view of the journal.
    Duration criticalPath { 0 }; ///< Time that the job takes without a wait.
    Duration usefulTime { 0 }; ///< A job that takes longer is worth nothing to its caller.
};

struct AdmissionDecision {
    bool accepted { true };
    Duration expectedEnd { 0 }; ///< From now.
    Duration retryIn { 0 }; ///< If rejected, the time after which a retry makes sense; see retryAfter().
};

/// An older view or load does not justify a rejection: the owner publishes a load every 2 s while there is a backlog.
constexpr Duration maxLoadAge { 3000 };

/// After which time it makes sense to submit a rejected job again: when the backlog is drained, within 10 s.
Duration backlogWait(const QueueLoad& load);

/// Rejects a job only if the backlog alone makes it worth nothing to its caller.
AdmissionDecision decideAdmission(const AdmissionRequest& request);

} // namespace hemlocklead::overload
