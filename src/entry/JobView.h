#pragma once

#include "state/ShardState.h"

#include <string>
#include <string_view>

namespace hemlocklead {

/// Selects the jobs of a list. An empty field matches every job.
struct JobFilter {
    std::string team;
    std::string phase;

    bool matches(const JobState& job) const;
};

/// Summary of a job: task counts by phase, attempts, failures and evictions. `unplaceable` is the reason, or empty.
Json jobSummary(const JobState& job, std::string_view unplaceable);

/// Results of the tasks from index `from` on, as many as fit one response. `next` is the index to continue from; null
/// after the last task.
Json jobResults(const JobState& job, uint32_t from);

} // namespace hemlocklead
