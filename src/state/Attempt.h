#pragma once

#include "state/Resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace hemlocklead {

/// Identifies one attempt of one task of a job.
struct AttemptKey {
    std::string job;
    uint32_t index { 0 }; ///< Index of the task within the job, from 0.
    uint32_t attempt { 0 }; ///< Number of the attempt, from 1.

    bool operator==(const AttemptKey&) const = default;

    // Not defaulted: clang-tidy reports the literal 0 inside a defaulted comparison as a null pointer.
    auto operator<=>(const AttemptKey& other) const
    {
        return std::tie(job, index, attempt) <=> std::tie(other.job, other.index, other.attempt);
    }

    /// `JOB.INDEX.ATTEMPT`, the id of the task on the worker.
    std::string taskId() const;
};

/// Parses `JOB.INDEX.ATTEMPT`; fails with `InvalidRequest` unless it is the canonical id of an attempt.
Result<AttemptKey> parseTaskId(std::string_view id);

/// Why an attempt ended.
enum class EndReason : uint8_t {
    Finished, ///< The task completed and has a result.
    Failed, ///< The task itself reported a failure.
    Evicted, ///< Stopped by the scheduler; the next attempt resumes from the checkpoint.
    Refused, ///< Proven by the agent not to have started.
    Lost, ///< Its lease expired or its host failed; the next attempt resumes from the last checkpoint.
    Cancelled, ///< Stopped because the job was cancelled.
};

NLOHMANN_JSON_SERIALIZE_ENUM(EndReason,
    { { EndReason::Failed, "failed" }, { EndReason::Finished, "finished" }, { EndReason::Evicted, "evicted" },
        { EndReason::Refused, "refused" }, { EndReason::Lost, "lost" }, { EndReason::Cancelled, "cancelled" } })

/// What each task of a job runs; all tasks of a job share it.
struct TaskSpec {
    std::string name; ///< Name of the catalogue entry.
    std::string team;
    std::string payload; ///< Passed to the worker unchanged.
    Resources resources; ///< Reservation of one task.
    bool watch { false }; ///< A standing watch: runs until it is cancelled, and is evicted last.
    bool urgent { false };

    bool operator==(const TaskSpec&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AttemptKey, job, index, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskSpec, name, team, payload, resources, watch, urgent)

} // namespace hemlocklead
