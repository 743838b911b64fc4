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

/// One step of a job: `tasks` equal tasks that start once all earlier steps in `after` are done.
struct StepSpec {
    uint32_t tasks { 1 };
    Resources resources; ///< Of one task.
    int64_t estimateMs { 0 }; ///< Declared duration of a task; often far off.
    std::vector<uint32_t> after;
    bool checkpoints { false }; ///< A run saves its progress, and the next run resumes from it.
    bool gang { false }; ///< The tasks work only while all of them run.
    bool sameRack { false }; ///< Slower when the tasks run on more than one rack.
    std::string requiredLabel;
    std::string dataRack; ///< Rack of the input; slower elsewhere.
    uint32_t maxPerHost { 0 }; ///< Most tasks of the step on one host; 0 for no limit.
    bool speculative { false }; ///< Copies may run at the same time.
    bool longRunning { false }; ///< Runs until the job is cancelled and is restarted however it ends.
    std::string image; ///< Program; tasks of one image behave alike.
    int64_t tailTargetMs { 0 }; ///< Bound on the tail latency that a lasting task gives its own users.
    bool bestEffort { false }; ///< Uses only processor time that others leave; its processors are not reserved.
    uint32_t maxUnavailable { 0 }; ///< Lasting tasks that may be away at once through our orders; 0 for no limit.

    bool operator==(const StepSpec&) const = default;
};

/// A job as its caller handed it in.
struct JobSpec {
    std::string payload; ///< Passed to every task unchanged.
    std::vector<StepSpec> steps;
    uint32_t repeats { 0 }; ///< Occurrences of a scheduled job; 0 for a job that runs once, at once.
    int64_t firstDueMs { 0 }; ///< Unix time of occurrence 0, milliseconds.
    int64_t intervalMs { 0 };

    bool operator==(const JobSpec&) const = default;

    uint32_t occurrences() const { return repeats == 0 ? 1 : repeats; }
};

/// What the configuration says of a queue's jobs.
struct QueuePolicy {
    std::string queue;
    std::string service; ///< Hosts of this service run the tasks.
    int64_t priority { 0 }; ///< 0 comes first.
    int64_t maxAttempts { 1 }; ///< Failed runs of one task that end its job.
    double stretch { 1 }; ///< The objective is this many times the job's longest chain of work, plus `allowance`.
    Duration allowance { 0 };
    bool needsAdvice { false }; ///< A service of its own decides which hosts may run a step.

    bool operator==(const QueuePolicy&) const = default;
};

/// Name of one task.
struct TaskId {
    std::string job;
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };

    auto operator<=>(const TaskId&) const = default;

    /// `JOB.OCCURRENCE.STEP.INDEX`.
    std::string text() const;
};

/// Parses `TaskId::text`; nothing when the text is no such name.
std::optional<TaskId> parseTaskId(std::string_view text);

void to_json(Json& json, const StepSpec& step);
void from_json(const Json& json, StepSpec& step);
void to_json(Json& json, const JobSpec& spec);
void from_json(const Json& json, JobSpec& spec);
void to_json(Json& json, const QueuePolicy& policy);
void from_json(const Json& json, QueuePolicy& policy);

/// A part of a valid job that the dispatcher does not handle yet, or an empty string.
std::string unsupportedFeature(const QueuePolicy& policy, const JobSpec& spec);

/// Why the spec cannot be accepted, or an empty string.
std::string validationError(const JobSpec& spec);

} // namespace hemlocklead::dispatch
