#include "entry/JobSubmission.h"

#include "entry/JobId.h"
#include "state/ShardOf.h"

#include <algorithm>
#include <array>

namespace hemlocklead {

namespace {

    constexpr std::array<std::string_view, 6> submissionFields { "name", "team", "tasks", "payload", "resources",
        "idempotency_key" };
    constexpr std::array<std::string_view, 3> resourceFields { "cpuMilli", "memoryMib", "accelerators" };
    constexpr int64_t maxAmount = 1'000'000'000'000; ///< Lets the sum over all tasks of a job fit into 64 bits.

    boost::leaf::error_id invalid(std::string_view field, std::string_view problem)
    {
        return fail(ErrorKind::InvalidRequest, std::string(field) + ": " + std::string(problem));
    }

    /// String of at most `maxBytes` bytes; empty if the field is missing.
    Result<std::string> textField(const Json& body, const char* field, size_t maxBytes)
    {
        const auto found = body.find(field);
        if (found == body.end())
            return std::string();
        if (!found->is_string())
            return invalid(field, "must be a text");
        auto text = found->get<std::string>();
        if (text.size() > maxBytes)
            return invalid(field, "longer than " + std::to_string(maxBytes) + " bytes");
        return text;
    }

    /// Integer from `low` to `high`, inclusive.
    Result<int64_t> numberField(const Json& value, const std::string& field, int64_t low, int64_t high)
    {
        const bool tooLarge = value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(high);
        const bool fits = value.is_number_integer() && !tooLarge && value.get<int64_t>() >= low;
        if (!fits)
            return invalid(field, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return value.get<int64_t>();
    }

    Result<Resources> resourcesField(const Json& body, const Resources& fallback)
    {
        const auto found = body.find("resources");
        if (found == body.end())
            return fallback;
        if (!found->is_object())
            return invalid("resources", "must be an object");
        for (const auto& [name, amount] : found->items()) {
            if (std::ranges::find(resourceFields, name) == resourceFields.end())
                return invalid("resources." + name, "unknown field");
            BOOST_LEAF_CHECK(numberField(amount, "resources." + name, 0, maxAmount));
        }
        Resources resources = fallback;
        resources.cpuMilli = found->value("cpuMilli", fallback.cpuMilli);
        resources.memoryMib = found->value("memoryMib", fallback.memoryMib);
        resources.accelerators = found->value("accelerators", fallback.accelerators);
        return resources;
    }

    /// Fails if a single task exceeds the quota, since the job could never run. A quota of 0 means no limit.
    Result<void> checkQuota(const Resources& resources, const Resources& quota)
    {
        const auto exceeds = [](int64_t amount, int64_t limit) { return limit > 0 && amount > limit; };
        if (exceeds(resources.cpuMilli, quota.cpuMilli) || exceeds(resources.memoryMib, quota.memoryMib)
            || exceeds(resources.accelerators, quota.accelerators))
            return invalid("resources", "one task is over the team's quota");
        return {};
    }

    Result<const CatalogueEntry*> governingEntry(const ControlState& control, const std::string& name)
    {
        if (name.empty())
            return invalid("name", "missing");
        const CatalogueItem* item = control.item(name);
        const CatalogueEntry* entry = item ? item->governing() : nullptr;
        if (!entry)
            return fail(ErrorKind::NotFound, "name: the catalogue has no entry " + name);
        if (entry->workClass == WorkClass::AnswerNow)
            return invalid("name", "is of class answer-now; jobs are can-wait or standing watch");
        return entry;
    }

    Result<void> checkFields(const Json& body)
    {
        if (!body.is_object())
            return invalid("body", "must be an object");
        for (const auto& [name, value] : body.items()) {
            if (std::ranges::find(submissionFields, name) == submissionFields.end())
                return invalid(name, "unknown field");
        }
        return {};
    }

    Result<TaskSpec> parseTask(const Json& body, const std::string& name, const CatalogueEntry& entry)
    {
        BOOST_LEAF_AUTO(team, textField(body, "team", entry.team.size()));
        if (!team.empty() && team != entry.team)
            return invalid("team", "the governing entry is of team " + entry.team);
        BOOST_LEAF_AUTO(payload, textField(body, "payload", maxPayloadBytes));
        BOOST_LEAF_AUTO(resources, resourcesField(body, entry.limits.perTask));
        BOOST_LEAF_CHECK(checkQuota(resources, entry.limits.teamQuota));
        return TaskSpec { name, entry.team, payload, resources, entry.workClass == WorkClass::StandingWatch,
            entry.limits.urgent };
    }

} // namespace

Result<JobSubmission> parseSubmission(
    std::string_view body, const ControlState& control, uint32_t shards, int64_t unixMs, std::string_view chosenId)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    BOOST_LEAF_CHECK(checkFields(json));
    BOOST_LEAF_AUTO(name, textField(json, "name", maxIdempotencyKeyBytes));
    BOOST_LEAF_AUTO(entry, governingEntry(control, name));
    BOOST_LEAF_AUTO(tasks, numberField(json.value("tasks", Json(1)), "tasks", 1, maxTasksPerSubmission));
    BOOST_LEAF_AUTO(key, textField(json, "idempotency_key", maxIdempotencyKeyBytes));
    BOOST_LEAF_AUTO(task, parseTask(json, name, *entry));

    JobSubmission submission;
    submission.shard = shardOf(entry->team, shards);
    submission.maxQueuedTasks = entry->limits.maxQueuedTasks;
    submission.spec.id
        = key.empty() ? randomJobId(submission.shard) : keyedJobId(submission.shard, entry->team, name, key);
    if (key.empty() && shardOfJobId(chosenId) == submission.shard)
        submission.spec.id = chosenId;
    submission.spec.task = task;
    submission.spec.tasks = static_cast<uint32_t>(tasks);
    submission.spec.maxAttempts = static_cast<uint32_t>(std::clamp<int64_t>(entry->limits.maxAttempts, 1, 1'000'000));
    submission.spec.acceptedAtUnixMs = unixMs;
    return submission;
}

} // namespace hemlocklead
