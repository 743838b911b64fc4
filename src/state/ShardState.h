#pragma once

#include "state/Attempt.h"
#include "state/ControlState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// An attempt that has been assigned to a host and has not ended yet.
struct OpenAttempt {
    uint32_t attempt { 0 };
    std::string host; ///< Host whose agent runs the attempt.

    bool operator==(const OpenAttempt&) const = default;
};

enum class TaskPhase : uint8_t {
    Waiting, ///< No open attempt.
    Assigned, ///< One open attempt.
    Finished,
    Failed, ///< Reached the job's `maxAttempts` failures.
    Cancelled,
};

NLOHMANN_JSON_SERIALIZE_ENUM(TaskPhase,
    { { TaskPhase::Waiting, "waiting" }, { TaskPhase::Assigned, "assigned" }, { TaskPhase::Finished, "finished" },
        { TaskPhase::Failed, "failed" }, { TaskPhase::Cancelled, "cancelled" } })

/// One task of a job.
struct TaskState {
    TaskPhase phase { TaskPhase::Waiting };
    std::optional<OpenAttempt> open; ///< Set in phase Assigned; in Cancelled until the attempt has ended.
    uint32_t lastAttempt { 0 }; ///< Number of the last attempt; 0 before the first.
    uint32_t failures { 0 }; ///< Attempts ended as Failed.
    uint32_t evictions { 0 }; ///< Attempts ended as Evicted.
    std::string lastHost; ///< Host of the last attempt.
    std::string checkpoint; ///< Token of the last checkpoint; empty if there is none.
    std::string result; ///< Result in phase Finished, last error in phase Failed.

    bool operator==(const TaskState&) const = default;
};

enum class JobPhase : uint8_t {
    Active,
    Finished, ///< Every task finished.
    Failed, ///< Every task ended and at least one failed.
    Cancelled,
};

NLOHMANN_JSON_SERIALIZE_ENUM(JobPhase,
    { { JobPhase::Active, "active" }, { JobPhase::Finished, "finished" }, { JobPhase::Failed, "failed" },
        { JobPhase::Cancelled, "cancelled" } })

/// Maximum tasks of one job. A record with more is malformed, so that no single record can exhaust the memory of its
/// readers.
constexpr uint32_t maxTasksPerJob = 100'000;

/// A job as its caller submitted it, as recorded in `accepted`.
struct JobSpec {
    std::string id;
    TaskSpec task;
    uint32_t tasks { 1 };
    uint32_t maxAttempts { 5 }; ///< Failed attempts per task until it fails; a watch is retried without limit.
    int64_t acceptedAtUnixMs { 0 }; ///< Wall-clock time of the accepting entry, for display and retention.

    bool operator==(const JobSpec&) const = default;
};

struct JobState {
    JobSpec spec;
    JobPhase phase { JobPhase::Active };
    std::vector<TaskState> tasks;
    uint32_t remaining { 0 }; ///< Tasks in phase Waiting or Assigned.
    int64_t endedAtUnixMs { 0 }; ///< Wall-clock time from the record that ended the job; 0 while Active.

    bool operator==(const JobState&) const = default;
};

/// Ownership of a shard.
struct ShardClaim {
    uint64_t epoch { 0 }; ///< Fencing number, incremented by each claim; 0 before the first.
    std::string entry; ///< Owning entry; empty when the shard is unowned.
    std::string address; ///< Peer address of the owner, `IP:port`.

    bool operator==(const ShardClaim&) const = default;
};

/// Jobs and owner of one shard, built by folding the records of its stream in offset order.
class ShardState {
public:
    /// Folds the record at log offset `offset`. Does not advance `nextOffset`. Records of a stale epoch and records of
    /// changes that the state does not allow, such as a second open attempt of a task, are void.
    FoldResult fold(uint64_t offset, const Json& record);

    /// Marks all records below `nextOffset` as folded; a lower value than the present one has no effect.
    void advanceTo(uint64_t nextOffset);

    /// First log offset that has not been folded yet.
    uint64_t nextOffset() const { return m_nextOffset; }

    const ShardClaim& claim() const { return m_claim; }

    /// The job, or null.
    const JobState* job(std::string_view id) const;
    const std::map<std::string, JobState, std::less<>>& jobs() const { return m_jobs; }

    /// Whole state as JSON, for snapshots; `parseShardState` reads it.
    Json toJson() const;

    bool operator==(const ShardState&) const = default;

private:
    friend Result<ShardState> parseShardState(const Json& json);
    using FoldFunction = FoldResult (ShardState::*)(const Json& record);
    struct FoldRule;

    static const FoldRule foldRules[];

    FoldResult foldClaim(const Json& record);
    FoldResult foldRelease(const Json& record);
    FoldResult foldAccepted(const Json& record);
    FoldResult foldAssigned(const Json& record);
    FoldResult foldCheckpoint(const Json& record);
    FoldResult foldEnded(const Json& record);
    FoldResult foldCancelled(const Json& record);
    FoldResult foldForgotten(const Json& record);

    /// The job that a record refers to, or null.
    JobState* findJob(const Json& record);

    uint64_t m_nextOffset { 0 };
    ShardClaim m_claim;
    std::map<std::string, JobState, std::less<>> m_jobs;
};

/// Parses the JSON of `ShardState::toJson`; fails with `InvalidRequest` when it is malformed or inconsistent.
Result<ShardState> parseShardState(const Json& json);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, id, task, tasks, maxAttempts, acceptedAtUnixMs)

/// Records of a shard stream. `epoch` is the writer's epoch, `unixMs` its wall-clock time in Unix milliseconds.
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
