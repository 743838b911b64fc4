#pragma once

#include "base/Clock.h"
#include "state/Resources.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead::dispatch {

/// One step of a job: `tasks` identical tasks that start once all steps in `after` are done.
struct StepSpec {
    uint32_t tasks { 1 };
    Resources resources; ///< Of one task.
    int64_t estimateMs { 0 }; ///< Declared duration of a task; often far off.
    std::vector<uint32_t> after; ///< Indices of the earlier steps that this step depends on.
    bool checkpoints { false }; ///< A run saves its progress, and the next run resumes from it.
    bool gang { false }; ///< Gang scheduling: the tasks make progress only while all of them run.
    bool sameRack { false }; ///< The tasks are slower if they run on more than one rack.
    std::string requiredLabel; ///< Hosts must have it; empty for no requirement.
    std::string dataRack; ///< Rack of the input data; tasks are slower on other racks.
    uint32_t maxPerHost { 0 }; ///< Maximum number of tasks of the step on one host; 0 for no limit.
    bool speculative { false }; ///< Speculative copies of a task may run at the same time.
    bool longRunning { false }; ///< Runs until the job is cancelled; restarted whenever it ends.
    std::string image; ///< Program; tasks of one image have similar durations and interference.
    int64_t tailTargetMs { 0 }; ///< Bound on the tail latency that a long-running task gives its own users.
    bool bestEffort { false }; ///< Uses only processor time that others leave idle; no processors are reserved.
    uint32_t maxUnavailable { 0 }; ///< Maximum number of long-running tasks that the owner's orders may make
                                   ///< unavailable at once; 0 for no limit.

    bool operator==(const StepSpec&) const = default;
};

/// A job as its caller submitted it.
struct JobSpec {
    std::string payload; ///< Passed to every task unchanged.
    std::vector<StepSpec> steps;
    uint32_t repeats { 0 }; ///< Number of occurrences of a scheduled job; 0 for a job that runs once, immediately.
    int64_t firstDueMs { 0 }; ///< Unix time of occurrence 0, milliseconds.
    int64_t intervalMs { 0 }; ///< Between the due times of two occurrences.

    bool operator==(const JobSpec&) const = default;

    uint32_t occurrences() const { return repeats == 0 ? 1 : repeats; }
};

/// How the jobs of a queue are scheduled, as configured.
struct QueuePolicy {
    std::string queue;
    std::string service; ///< Tasks run on hosts of this service.
    int64_t priority { 0 }; ///< Lower values are placed first.
    int64_t maxAttempts { 1 }; ///< Number of failed runs of one task that fails its job.
    double stretch { 1 }; ///< The objective is this multiple of the job's critical path, plus `allowance`.
    Duration allowance { 0 };
    bool needsAdvice { false }; ///< An external service decides which hosts may run a step.

    bool operator==(const QueuePolicy&) const = default;
};

/// Identifies one task.
struct TaskId {
    std::string job;
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };

    auto operator<=>(const TaskId&) const = default;

    /// `JOB.OCCURRENCE.STEP.INDEX`.
    std::string text() const;
};

/// Parses the result of `TaskId::text()`; empty if `text` has another format.
std::optional<TaskId> parseTaskId(std::string_view text);

void to_json(Json& json, const StepSpec& step);
void from_json(const Json& json, StepSpec& step);
void to_json(Json& json, const JobSpec& spec);
void from_json(const Json& json, JobSpec& spec);
void to_json(Json& json, const QueuePolicy& policy);
void from_json(const Json& json, QueuePolicy& policy);

/// The feature used by a valid job that the dispatcher does not support yet, or an empty string.
std::string unsupportedFeature(const QueuePolicy& policy, const JobSpec& spec);

/// Why the spec is invalid, or an empty string.
std::string validationError(const JobSpec& spec);

} // namespace hemlocklead::dispatch
