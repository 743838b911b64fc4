#pragma once

#include "state/Attempt.h"

#include <optional>

namespace hemlocklead {

/// Data that the worker stores with a task, so that a restarted agent can adopt the running task.
struct TaskOrigin {
    uint32_t shard { 0 };
    TaskSpec spec; ///< Without the payload.
};

/// Encodes the labels of a task: shard, name, team, watch, urgent and resources.
Json taskLabels(uint32_t shard, const TaskSpec& spec);

/// Decodes the labels; returns nullopt if they are not those of a task that an agent started.
std::optional<TaskOrigin> parseTaskLabels(const Json& labels);

} // namespace hemlocklead
