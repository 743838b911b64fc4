#include "entry/JobView.h"

#include <array>

namespace hemlocklead {

namespace {

    // A response that a peer forwards must fit into a frame of 4 MiB, including the JSON escapes.
    constexpr size_t maxResultBytes = 1024 * 1024;
    constexpr size_t resultEntryOverheadBytes = 64;

    constexpr std::array taskPhases { TaskPhase::Waiting, TaskPhase::Assigned, TaskPhase::Finished, TaskPhase::Failed,
        TaskPhase::Cancelled };

} // namespace

bool JobFilter::matches(const JobState& job) const
{
    return (team.empty() || job.spec.task.team == team) && (phase.empty() || Json(job.phase) == Json(phase));
}

Json jobSummary(const JobState& job, std::string_view unplaceable)
{
    std::array<uint32_t, taskPhases.size()> counts {};
    uint64_t attempts = 0;
    uint64_t failures = 0;
    uint64_t evictions = 0;
    for (const TaskState& task : job.tasks) {
        ++counts.at(static_cast<size_t>(task.phase));
        attempts += task.lastAttempt;
        failures += task.failures;
        evictions += task.evictions;
    }
    Json byPhase = Json::object();
    for (const TaskPhase phase : taskPhases)
        byPhase[Json(phase).get<std::string>()] = counts.at(static_cast<size_t>(phase));
    Json summary { { "job", job.spec.id }, { "name", job.spec.task.name }, { "team", job.spec.task.team },
        { "phase", job.phase }, { "tasks", job.spec.tasks }, { "task_phases", byPhase }, { "attempts", attempts },
        { "failures", failures }, { "evictions", evictions }, { "watch", job.spec.task.watch },
        { "urgent", job.spec.task.urgent }, { "resources", job.spec.task.resources },
        { "accepted_at_unix_ms", job.spec.acceptedAtUnixMs }, { "ended_at_unix_ms", job.endedAtUnixMs } };
    if (!unplaceable.empty())
        summary["unplaceable"] = unplaceable;
    return summary;
}

Json jobResults(const JobState& job, uint32_t from)
{
    Json results = Json::array();
    Json next;
    size_t bytes = 0;
    for (uint32_t index = from; index < job.tasks.size(); ++index) {
        const TaskState& task = job.tasks[index];
        bytes += task.result.size() + resultEntryOverheadBytes;
        if (bytes > maxResultBytes && !results.empty()) {
            next = index;
            break;
        }
        results.push_back({ { "index", index }, { "phase", task.phase }, { "result", task.result } });
    }
    return { { "job", job.spec.id }, { "phase", job.phase }, { "results", results }, { "next", next } };
}

} // namespace hemlocklead
