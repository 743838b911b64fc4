#pragma once

#include "state/Resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace hemlocklead {

/// Names one attempt of one task of a job.
struct AttemptKey {
    std::string job;
    uint32_t index { 0 }; ///< Task of the job, from 0.
    uint32_t attempt { 0 }; ///< Number of the attempt, from 1.

    bool operator==(const AttemptKey&) const = default;

    // Spelled out, because clang-tidy reports the literal 0 inside a defaulted comparison as a null pointer.
    auto operator<=>(const AttemptKey& other) const
    {
        return std::tie(job, index, attempt) <=> std::tie(other.job, other.index, other.attempt);
    }

    /// `JOB.INDEX.ATTEMPT`, the id of the task on the worker.
    std::string taskId() const;
};

/// Reads `JOB.INDEX.ATTEMPT`; fails with `InvalidRequest`.
Result<AttemptKey> parseTaskId(std::string_view id);

/// Why an attempt ended.
enum class EndReason : uint8_t {
    Finished, ///< Ran to its end; there is a result.
    Failed, ///< The task itself failed.
    Evicted, ///< Stopped by the scheduler; resumes from its checkpoint.
    Refused, ///< The agent proved that it was not started.
    Lost, ///< Its lease ran out or its host failed; resumes from its last checkpoint.
    Cancelled, ///< Stopped because its job was cancelled.
};

NLOHMANN_JSON_SERIALIZE_ENUM(EndReason,
    { { EndReason::Failed, "failed" }, { EndReason::Finished, "finished" }, { EndReason::Evicted, "evicted" },
        { EndReason::Refused, "refused" }, { EndReason::Lost, "lost" }, { EndReason::Cancelled, "cancelled" } })

/// What a task runs; the same for all tasks of a job.
struct TaskSpec {
    std::string name; ///< Catalogue entry.
    std::string team;
    std::string payload; ///< Handed to the worker as it is.
    Resources resources;
    bool watch { false }; ///< A standing watch: runs until cancelled, evicted last.
    bool urgent { false };

    bool operator==(const TaskSpec&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AttemptKey, job, index, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskSpec, name, team, payload, resources, watch, urgent)

} // namespace hemlocklead
