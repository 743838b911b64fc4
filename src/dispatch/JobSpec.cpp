#include "dispatch/JobSpec.h"

#include <charconv>

namespace hemlocklead::dispatch {

namespace {

    /// Limits that prevent a single malformed job from exhausting the memory of every entry.
    constexpr uint32_t maxTasks = 10'000;
    constexpr uint32_t maxOccurrences = 10'000;

    template <typename T> void putIfSet(Json& json, const char* key, const T& value)
    {
        if (value != T {})
            json[key] = value;
    }

    std::optional<uint32_t> parseNumber(std::string_view text)
    {
        uint32_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

} // namespace

std::string TaskId::text() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' + std::to_string(index);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    uint32_t numbers[3];
    for (int i = 2; i >= 0; --i) {
        const size_t dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const std::optional<uint32_t> number = parseNumber(text.substr(dot + 1));
        if (!number)
            return std::nullopt;
        numbers[i] = *number;
        text = text.substr(0, dot);
    }
    return TaskId { std::string(text), numbers[0], numbers[1], numbers[2] };
}

void to_json(Json& json, const StepSpec& step)
{
    json = Json::object();
    json["tasks"] = step.tasks;
    putIfSet(json, "cpu", step.resources.cpuMilli);
    putIfSet(json, "memory", step.resources.memoryMib);
    putIfSet(json, "accelerators", step.resources.accelerators);
    putIfSet(json, "estimate", step.estimateMs);
    putIfSet(json, "after", step.after);
    putIfSet(json, "checkpoints", step.checkpoints);
    putIfSet(json, "gang", step.gang);
    putIfSet(json, "same_rack", step.sameRack);
    putIfSet(json, "label", step.requiredLabel);
    putIfSet(json, "data_rack", step.dataRack);
    putIfSet(json, "max_per_host", step.maxPerHost);
    putIfSet(json, "speculative", step.speculative);
    putIfSet(json, "lasting", step.longRunning);
    putIfSet(json, "image", step.image);
    putIfSet(json, "tail_target", step.tailTargetMs);
    putIfSet(json, "fills", step.bestEffort);
    putIfSet(json, "max_unavailable", step.maxUnavailable);
}

void from_json(const Json& json, StepSpec& step)
{
    step.tasks = json.value("tasks", 1u);
    step.resources = { json.value("cpu", int64_t { 0 }), json.value("memory", int64_t { 0 }),
        json.value("accelerators", int64_t { 0 }) };
    step.estimateMs = json.value("estimate", int64_t { 0 });
    step.after = json.value("after", std::vector<uint32_t>());
    step.checkpoints = json.value("checkpoints", false);
    step.gang = json.value("gang", false);
    step.sameRack = json.value("same_rack", false);
    step.requiredLabel = json.value("label", std::string());
    step.dataRack = json.value("data_rack", std::string());
    step.maxPerHost = json.value("max_per_host", 0u);
    step.speculative = json.value("speculative", false);
    step.longRunning = json.value("lasting", false);
    step.image = json.value("image", std::string());
    step.tailTargetMs = json.value("tail_target", int64_t { 0 });
    step.bestEffort = json.value("fills", false);
    step.maxUnavailable = json.value("max_unavailable", 0u);
}

void to_json(Json& json, const JobSpec& spec)
{
    json = { { "payload", spec.payload }, { "steps", spec.steps } };
    putIfSet(json, "repeats", spec.repeats);
    putIfSet(json, "first_due", spec.firstDueMs);
    putIfSet(json, "interval", spec.intervalMs);
}

void from_json(const Json& json, JobSpec& spec)
{
    spec.payload = json.value("payload", std::string());
    spec.steps = json.at("steps").get<std::vector<StepSpec>>();
    spec.repeats = json.value("repeats", 0u);
    spec.firstDueMs = json.value("first_due", int64_t { 0 });
    spec.intervalMs = json.value("interval", int64_t { 0 });
}

void to_json(Json& json, const QueuePolicy& policy)
{
    json = { { "queue", policy.queue }, { "service", policy.service }, { "priority", policy.priority },
        { "attempts", policy.maxAttempts }, { "stretch", policy.stretch }, { "allowance", policy.allowance } };
}

void from_json(const Json& json, QueuePolicy& policy)
{
    policy.queue = json.at("queue").get<std::string>();
    policy.service = json.at("service").get<std::string>();
    policy.priority = json.value("priority", int64_t { 0 });
    policy.maxAttempts = json.value("attempts", int64_t { 1 });
    policy.stretch = json.value("stretch", 1.0);
    policy.allowance = json.value("allowance", Duration { 0 });
}

std::string unsupportedFeature(const QueuePolicy& policy, const JobSpec& spec)
{
    if (policy.needsAdvice)
        return "queues with advice";
    for (const StepSpec& step : spec.steps) {
        if (step.gang)
            return "gangs";
    }
    return {};
}

std::string validationError(const JobSpec& spec)
{
    if (spec.steps.empty())
        return "a job needs at least one step";
    if (spec.repeats > maxOccurrences)
        return "too many occurrences";
    uint64_t tasks = 0;
    for (size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec& step = spec.steps[i];
        tasks += step.tasks;
        if (step.tasks == 0 || tasks > maxTasks)
            return "the number of tasks is out of range";
        if (!step.resources.isNonNegative())
            return "resources must not be negative";
        for (const uint32_t earlier : step.after) {
            if (earlier >= i)
                return "a step may only wait for earlier steps";
        }
    }
    return {};
}

} // namespace hemlocklead::dispatch
