#pragma once

#include "state/Attempt.h"
#include "state/ControlState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// The attempt of a task that has not ended yet.
struct OpenAttempt {
    uint32_t attempt { 0 };
    std::string host; ///< Host of the agent.

    bool operator==(const OpenAttempt&) const = default;
};

enum class TaskPhase : uint8_t {
    Waiting, ///< No open attempt.
    Assigned, ///< One open attempt.
    Finished,
    Failed, ///< Failed as often as the job allows.
    Cancelled,
};

NLOHMANN_JSON_SERIALIZE_ENUM(TaskPhase,
    { { TaskPhase::Waiting, "waiting" }, { TaskPhase::Assigned, "assigned" }, { TaskPhase::Finished, "finished" },
        { TaskPhase::Failed, "failed" }, { TaskPhase::Cancelled, "cancelled" } })

/// One task of a job.
struct TaskState {
    TaskPhase phase { TaskPhase::Waiting };
    std::optional<OpenAttempt> open; ///< Set in phase Assigned, and in phase Cancelled until the attempt has ended.
    uint32_t lastAttempt { 0 };
    uint32_t failures { 0 };
    uint32_t evictions { 0 };
    std::string lastHost; ///< Host of the last attempt.
    std::string checkpoint; ///< Token of the last checkpoint; empty when there is none.
    std::string result; ///< Set in phase Finished; the last error in phase Failed.

    bool operator==(const TaskState&) const = default;
};

enum class JobPhase : uint8_t {
    Active,
    Finished, ///< Every task finished.
    Failed, ///< Every task ended, at least one failed.
    Cancelled,
};

NLOHMANN_JSON_SERIALIZE_ENUM(JobPhase,
    { { JobPhase::Active, "active" }, { JobPhase::Finished, "finished" }, { JobPhase::Failed, "failed" },
        { JobPhase::Cancelled, "cancelled" } })

/// Most tasks of one job; a record with more is malformed, so that no single record can exhaust the memory.
constexpr uint32_t maxTasksPerJob = 100'000;

/// What the caller asked for, as recorded in `accepted`.
struct JobSpec {
    std::string id;
    TaskSpec task;
    uint32_t tasks { 1 };
    uint32_t maxAttempts { 5 }; ///< Failures allowed per task; a watch is retried without limit.
    int64_t acceptedAtUnixMs { 0 }; ///< Wall-clock time of the accepting entry, for people and for retention.

    bool operator==(const JobSpec&) const = default;
};

struct JobState {
    JobSpec spec;
    JobPhase phase { JobPhase::Active };
    std::vector<TaskState> tasks;
    uint32_t remaining { 0 }; ///< Tasks in phase Waiting or Assigned.
    int64_t endedAtUnixMs { 0 };

    bool operator==(const JobState&) const = default;
};

/// Who owns the shard.
struct ShardClaim {
    uint64_t epoch { 0 };
    std::string entry; ///< Empty when the shard is released.
    std::string address; ///< Peer address of the owner, `IP:port`.

    bool operator==(const ShardClaim&) const = default;
};

/// Jobs and owner of one shard: the fold of its stream in offset order.
class ShardState {
public:
    /// Folds one record at `offset`. Records of a stale epoch and records that break a rule of the design are void.
    FoldResult fold(uint64_t offset, const Json& record);
    void advanceTo(uint64_t nextOffset);
    uint64_t nextOffset() const { return m_nextOffset; }

    const ShardClaim& claim() const { return m_claim; }
    const JobState* job(std::string_view id) const;
    const std::map<std::string, JobState, std::less<>>& jobs() const { return m_jobs; }

    Json toJson() const;
    bool operator==(const ShardState&) const = default;

private:
    friend Result<ShardState> parseShardState(const Json& json);
    using Fold = FoldResult (ShardState::*)(const Json& record);
    struct NamedFold;

    static const NamedFold folds[];

    FoldResult foldClaim(const Json& record);
    FoldResult foldRelease(const Json& record);
    FoldResult foldAccepted(const Json& record);
    FoldResult foldAssigned(const Json& record);
    FoldResult foldCheckpoint(const Json& record);
    FoldResult foldEnded(const Json& record);
    FoldResult foldCancelled(const Json& record);
    FoldResult foldForgotten(const Json& record);
    JobState* findJob(const Json& record);

    uint64_t m_nextOffset { 0 };
    ShardClaim m_claim;
    std::map<std::string, JobState, std::less<>> m_jobs;
};

Result<ShardState> parseShardState(const Json& json);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, id, task, tasks, maxAttempts, acceptedAtUnixMs)

/// Records of a shard stream. `epoch` is that of the writer.
Json claimRecord(const ShardClaim& claim);
Json releaseRecord(uint64_t epoch);
Json acceptedRecord(uint64_t epoch, const JobSpec& spec);
Json assignedRecord(uint64_t epoch, const AttemptKey& key, std::string_view host);
Json checkpointRecord(uint64_t epoch, const AttemptKey& key, std::string_view token);
Json endedRecord(uint64_t epoch, const AttemptKey& key, EndReason reason, std::string_view token,
    std::string_view result, int64_t unixMs);
Json cancelledRecord(uint64_t epoch, std::string_view job, int64_t unixMs);
Json forgottenRecord(uint64_t epoch, std::string_view job);

} // namespace hemlocklead
