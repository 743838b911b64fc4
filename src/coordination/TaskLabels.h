#pragma once

#include "state/Attempt.h"

#include <optional>

namespace hemlocklead {

/// What the worker keeps with a task so that a restarted agent can take it over.
struct TaskOrigin {
    uint32_t shard { 0 };
    TaskSpec spec; ///< Without the payload.
};

/// Labels of a task: shard, name, team, watch, urgent and resources.
Json taskLabels(uint32_t shard, const TaskSpec& spec);

/// Reads them back; empty when they are not the labels of a task that an agent started.
std::optional<TaskOrigin> parseTaskLabels(const Json& labels);

} // namespace hemlocklead
