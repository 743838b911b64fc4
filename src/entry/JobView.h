#pragma once

#include "state/ShardState.h"

#include <string>
#include <string_view>

namespace hemlocklead {

/// Which jobs a list shows; empty fields match all.
struct JobFilter {
    std::string team;
    std::string phase;

    bool matches(const JobState& job) const;
};

/// One job without its tasks: counts by phase, attempts, evictions. `unplaceable` is the reason, or empty.
Json jobSummary(const JobState& job, std::string_view unplaceable);

/// Results of the tasks from index `from` on, as many as fit one answer; `next` is null after the last.
Json jobResults(const JobState& job, uint32_t from);

} // namespace hemlocklead
