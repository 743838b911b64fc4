#include "state/ShardState.h"

#include "state/RecordFields.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    /// The task and the attempt number that an attempt record refers to.
    struct TaskLookup {
        TaskState* task { nullptr };
        uint32_t attempt { 0 };
    };

    /// Looks up the task of an attempt record; the task is null when a field is invalid or the job has no such index.
    TaskLookup findTask(JobState& job, const Json& record)
    {
        const auto index = uint32Field(record, "index");
        const auto attempt = uint32Field(record, "attempt");
        if (!index || !attempt || *index >= job.tasks.size())
            return {};
        return { &job.tasks[*index], *attempt };
    }

    bool hasAttemptFields(const Json& record)
    {
        return nameField(record, "job") && uint32Field(record, "index") && uint32Field(record, "attempt");
    }

    bool isOpen(const TaskLookup& found)
    {
        return found.task && found.task->open && found.task->open->attempt == found.attempt;
    }

    void updateCheckpoint(TaskState& task, const Json& record)
    {
        const std::string* token = nameField(record, "token");
        if (token)
            task.checkpoint = *token;
    }

    /// Phase of a task that is not cancelled, after an attempt ended for `reason`.
    TaskPhase phaseAfter(const TaskState& task, const JobSpec& spec, EndReason reason)
    {
        if (reason == EndReason::Finished)
            return TaskPhase::Finished;
        const bool mayRetry = spec.task.watch || task.failures < spec.maxAttempts;
        return reason == EndReason::Failed && !mayRetry ? TaskPhase::Failed : TaskPhase::Waiting;
    }

    bool hasFailedTask(const JobState& job)
    {
        return std::ranges::find(job.tasks, TaskPhase::Failed, &TaskState::phase) != job.tasks.end();
    }

    void countEndedTask(JobState& job, int64_t unixMs)
    {
        --job.remaining;
        if (job.remaining > 0)
            return;
        job.phase = hasFailedTask(job) ? JobPhase::Failed : JobPhase::Finished;
        job.endedAtUnixMs = unixMs;
    }

    void endAttempt(JobState& job, TaskState& task, EndReason reason, const Json& record)
    {
        task.open.reset();
        if (task.phase == TaskPhase::Cancelled)
            return;
        updateCheckpoint(task, record);
        task.failures += reason == EndReason::Failed ? 1 : 0;
        task.evictions += reason == EndReason::Evicted ? 1 : 0;
        task.phase = phaseAfter(task, job.spec, reason);
        if (task.phase == TaskPhase::Waiting)
            return;
        task.result = textOrEmpty(record, "result");
        countEndedTask(job, unixMsField(record));
    }

    /// Reason of an `ended` record; nullopt when it is missing or unknown to this version.
    std::optional<EndReason> endReasonField(const Json& record)
    {
        const auto found = record.find("reason");
        if (found == record.end())
            return std::nullopt;
        const auto reason = found->get<EndReason>();
        return Json(reason) == *found ? std::optional(reason) : std::nullopt;
    }

    /// Job spec of an `accepted` record; nullopt when it is malformed or a number is out of range.
    std::optional<JobSpec> jobSpecField(const Json& record)
    {
        const auto found = record.find("spec");
        if (found == record.end() || !found->is_object())
            return std::nullopt;
        const auto tasks = numberField(*found, "tasks", maxTasksPerJob);
        if (!tasks || *tasks == 0 || !uint32Field(*found, "maxAttempts"))
            return std::nullopt;
        auto spec = orElse(
            [&]() -> Result<std::optional<JobSpec>> {
                BOOST_LEAF_AUTO(parsed, fromJson<JobSpec>(*found));
                return parsed;
            },
            [](const Error&) { return std::optional<JobSpec>(); });
        if (!spec || !spec->task.resources.isNonNegative())
            return std::nullopt;
        return spec;
    }

} // namespace

/// How records of one kind are folded.
struct ShardState::FoldRule {
    std::string_view kind;
    FoldFunction fold;
    bool needsOwner; ///< The record is void unless its epoch is current and the shard has an owner.
};

const ShardState::FoldRule ShardState::foldRules[] = {
    { "claim", &ShardState::foldClaim, false },
    { "release", &ShardState::foldRelease, true },
    { "accepted", &ShardState::foldAccepted, true },
    { "assigned", &ShardState::foldAssigned, true },
    { "checkpoint", &ShardState::foldCheckpoint, true },
    { "ended", &ShardState::foldEnded, true },
    { "cancelled", &ShardState::foldCancelled, true },
    { "forgotten", &ShardState::foldForgotten, true },
};

FoldResult ShardState::fold(uint64_t, const Json& record)
{
    const std::string* kind = record.is_object() ? textField(record, "kind") : nullptr;
    if (!kind)
        return FoldResult::Malformed;
    const auto* found = std::ranges::find(foldRules, *kind, &FoldRule::kind);
    if (found == std::end(foldRules))
        return FoldResult::Unknown;
    const auto epoch = numberField(record, "epoch");
    if (!epoch)
        return FoldResult::Malformed;
    if (found->needsOwner && (*epoch != m_claim.epoch || m_claim.entry.empty()))
        return FoldResult::Conflict;
    return (this->*found->fold)(record);
}

FoldResult ShardState::foldClaim(const Json& record)
{
    const std::string* entry = nameField(record, "entry");
    const std::string* address = textField(record, "address");
    if (!entry || !address)
        return FoldResult::Malformed;
    const uint64_t epoch = *numberField(record, "epoch");
    if (epoch != m_claim.epoch + 1)
        return FoldResult::Conflict;
    m_claim = { epoch, *entry, *address };
    return FoldResult::Applied;
}

FoldResult ShardState::foldRelease(const Json&)
{
    m_claim.entry.clear();
    m_claim.address.clear();
    return FoldResult::Applied;
}

FoldResult ShardState::foldAccepted(const Json& record)
{
    const std::string* id = nameField(record, "job");
    auto spec = jobSpecField(record);
    if (!id || !spec || spec->id != *id)
        return FoldResult::Malformed;
    if (m_jobs.contains(*id))
        return FoldResult::Conflict;
    JobState job;
    job.remaining = spec->tasks;
    job.tasks.resize(spec->tasks);
    job.spec = std::move(*spec);
    m_jobs.emplace(*id, std::move(job));
    return FoldResult::Applied;
}

FoldResult ShardState::foldAssigned(const Json& record)
{
    const std::string* host = nameField(record, "agent");
    if (!hasAttemptFields(record) || !host)
        return FoldResult::Malformed;
    JobState* job = findJob(record);
    if (!job)
        return FoldResult::Conflict;
    const TaskLookup found = findTask(*job, record);
    if (!found.task || found.task->phase != TaskPhase::Waiting || found.attempt != found.task->lastAttempt + 1)
        return FoldResult::Conflict;
    found.task->phase = TaskPhase::Assigned;
    found.task->open = OpenAttempt { found.attempt, *host };
    found.task->lastAttempt = found.attempt;
    found.task->lastHost = *host;
    return FoldResult::Applied;
}

FoldResult ShardState::foldCheckpoint(const Json& record)
{
    const std::string* token = nameField(record, "token");
    if (!hasAttemptFields(record) || !token)
        return FoldResult::Malformed;
    JobState* job = findJob(record);
    const TaskLookup found = job ? findTask(*job, record) : TaskLookup {};
    if (!isOpen(found))
        return FoldResult::Conflict;
    found.task->checkpoint = *token;
    return FoldResult::Applied;
}

FoldResult ShardState::foldEnded(const Json& record)
{
    const auto reason = endReasonField(record);
    if (!hasAttemptFields(record) || !reason)
        return FoldResult::Malformed;
    JobState* job = findJob(record);
    const TaskLookup found = job ? findTask(*job, record) : TaskLookup {};
    if (!isOpen(found))
        return FoldResult::Conflict;
    endAttempt(*job, *found.task, *reason, record);
    return FoldResult::Applied;
}

FoldResult ShardState::foldCancelled(const Json& record)
{
    if (!nameField(record, "job"))
        return FoldResult::Malformed;
    JobState* job = findJob(record);
    if (!job || job->phase != JobPhase::Active)
        return FoldResult::Conflict;
    for (TaskState& task : job->tasks) {
        if (task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Assigned)
            task.phase = TaskPhase::Cancelled;
    }
    job->remaining = 0;
    job->phase = JobPhase::Cancelled;
    job->endedAtUnixMs = unixMsField(record);
    return FoldResult::Applied;
}

FoldResult ShardState::foldForgotten(const Json& record)
{
    if (!nameField(record, "job"))
        return FoldResult::Malformed;
    const JobState* job = findJob(record);
    if (!job || job->phase == JobPhase::Active)
        return FoldResult::Conflict;
    // A cancelled job may still have an open attempt. If it were removed now, the same job id could be accepted again
    // and run in two places.
    const bool hasOpenAttempt
        = std::ranges::any_of(job->tasks, [](const TaskState& task) { return task.open.has_value(); });
    if (hasOpenAttempt)
        return FoldResult::Conflict;
    m_jobs.erase(*nameField(record, "job"));
    return FoldResult::Applied;
}

JobState* ShardState::findJob(const Json& record)
{
    const std::string* id = nameField(record, "job");
    const auto found = id ? m_jobs.find(*id) : m_jobs.end();
    return found == m_jobs.end() ? nullptr : &found->second;
}

void ShardState::advanceTo(uint64_t nextOffset) { m_nextOffset = std::max(m_nextOffset, nextOffset); }

const JobState* ShardState::job(std::string_view id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

} // namespace hemlocklead
