#include "state/RecordFields.h"
#include "state/ShardState.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    void setTextUnlessEmpty(Json& json, const char* name, const std::string& value)
    {
        if (!value.empty())
            json[name] = value;
    }

    void setNumberUnlessZero(Json& json, const char* name, uint32_t value)
    {
        if (value > 0)
            json[name] = value;
    }

    /// Omits fields with default values to keep snapshots small, since they hold thousands of tasks.
    Json taskJson(const TaskState& task)
    {
        Json json { { "phase", task.phase } };
        setNumberUnlessZero(json, "last", task.lastAttempt);
        setNumberUnlessZero(json, "failures", task.failures);
        setNumberUnlessZero(json, "evictions", task.evictions);
        setTextUnlessEmpty(json, "host", task.lastHost);
        setTextUnlessEmpty(json, "checkpoint", task.checkpoint);
        setTextUnlessEmpty(json, "result", task.result);
        // An open attempt is always the last attempt, on the last host, so a flag is enough.
        if (task.open)
            json["open"] = true;
        return json;
    }

    Json jobJson(const JobState& job)
    {
        Json tasks = Json::array();
        for (const TaskState& task : job.tasks)
            tasks.push_back(taskJson(task));
        return Json { { "spec", job.spec }, { "phase", job.phase }, { "ended_at", job.endedAtUnixMs },
            { "tasks", std::move(tasks) } };
    }

    TaskState parseTask(const Json& json)
    {
        TaskState task;
        task.phase = json.at("phase").get<TaskPhase>();
        task.lastAttempt = json.value("last", 0U);
        task.failures = json.value("failures", 0U);
        task.evictions = json.value("evictions", 0U);
        task.lastHost = json.value("host", std::string());
        task.checkpoint = json.value("checkpoint", std::string());
        task.result = json.value("result", std::string());
        if (json.value("open", false))
            task.open = OpenAttempt { task.lastAttempt, task.lastHost };
        return task;
    }

    uint32_t countRemaining(const JobState& job)
    {
        const auto isRemaining = [](const TaskState& task) {
            return task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Assigned;
        };
        return static_cast<uint32_t>(std::ranges::count_if(job.tasks, isRemaining));
    }

    bool isConsistent(const TaskState& task)
    {
        if (task.phase == TaskPhase::Assigned)
            return task.open.has_value();
        return !task.open || task.phase == TaskPhase::Cancelled;
    }

    JobState parseJob(const Json& json)
    {
        JobState job;
        job.spec = json.at("spec").get<JobSpec>();
        job.phase = json.at("phase").get<JobPhase>();
        job.endedAtUnixMs = json.at("ended_at").get<int64_t>();
        const Json& tasks = json.at("tasks");
        job.tasks.reserve(tasks.size());
        for (const Json& task : tasks)
            job.tasks.push_back(parseTask(task));
        job.remaining = countRemaining(job);
        return job;
    }

    Result<JobState> parseConsistentJob(const Json& json)
    {
        JobState job;
        try {
            job = parseJob(json);
        } catch (const Json::exception& error) {
            return fail(ErrorKind::InvalidRequest, error.what());
        }
        if (job.spec.id.empty() || job.spec.tasks != job.tasks.size() || !std::ranges::all_of(job.tasks, isConsistent))
            return fail(ErrorKind::InvalidRequest, "inconsistent job state: " + job.spec.id);
        return job;
    }

} // namespace

Json ShardState::toJson() const
{
    Json jobs = Json::array();
    for (const auto& [id, job] : m_jobs)
        jobs.push_back(jobJson(job));
    return Json { { "nextOffset", m_nextOffset },
        { "claim", { { "epoch", m_claim.epoch }, { "entry", m_claim.entry }, { "address", m_claim.address } } },
        { "jobs", std::move(jobs) } };
}

Result<ShardState> parseShardState(const Json& json)
{
    if (!json.is_object())
        return fail(ErrorKind::InvalidRequest, "shard state is not an object");
    const auto nextOffset = numberField(json, "nextOffset");
    const auto claim = json.find("claim");
    const auto jobs = json.find("jobs");
    if (!nextOffset || claim == json.end() || !claim->is_object() || jobs == json.end() || !jobs->is_array())
        return fail(ErrorKind::InvalidRequest, "shard state lacks a valid nextOffset, claim or jobs");
    const auto epoch = numberField(*claim, "epoch");
    if (!epoch)
        return fail(ErrorKind::InvalidRequest, "shard state lacks a valid claim epoch");
    ShardState state;
    state.m_nextOffset = *nextOffset;
    state.m_claim = { *epoch, textOrEmpty(*claim, "entry"), textOrEmpty(*claim, "address") };
    for (const Json& entry : *jobs) {
        BOOST_LEAF_AUTO(job, parseConsistentJob(entry));
        state.m_jobs.insert_or_assign(job.spec.id, std::move(job));
    }
    return state;
}

} // namespace hemlocklead
