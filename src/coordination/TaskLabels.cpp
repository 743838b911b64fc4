#include "coordination/TaskLabels.h"

namespace hemlocklead {

Json taskLabels(uint32_t shard, const TaskSpec& spec)
{
    return { { "shard", shard }, { "name", spec.name }, { "team", spec.team }, { "watch", spec.watch },
        { "urgent", spec.urgent }, { "resources", spec.resources } };
}

std::optional<TaskOrigin> parseTaskLabels(const Json& labels)
{
    if (!labels.is_object() || !labels.contains("shard") || !labels.contains("name"))
        return {};
    return orElse(
        [&]() -> Result<std::optional<TaskOrigin>> {
            TaskOrigin origin;
            BOOST_LEAF_ASSIGN(origin.shard, fromJson<uint32_t>(labels["shard"]));
            BOOST_LEAF_ASSIGN(origin.spec, fromJson<TaskSpec>(labels));
            return std::optional(std::move(origin));
        },
        [](const Error&) { return std::optional<TaskOrigin>(); });
}

} // namespace hemlocklead
