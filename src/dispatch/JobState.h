#pragma once

#include "dispatch/JobSpec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

enum class TaskPhase : uint8_t {
    Waiting, ///< No run is under way. The last one was taken for lost; its end may still be told.
    Placed, ///< A run is recorded for a host; it may run there.
    Done,
    Failed, ///< Failed as often as the queue allows.
    Ended, ///< No run is under way, and the end of the last one has been counted. The next run may start.
};

enum class JobPhase : uint8_t { Queued, Running, Completed, Failed, Cancelled };

std::string_view phaseName(JobPhase phase);
constexpr bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

/// Progress of one task. One run at a time; `attempt` numbers the runs from 1.
struct TaskState {
    TaskPhase phase { TaskPhase::Waiting };
    uint32_t attempt { 0 };
    uint32_t failures { 0 };
    std::string host; ///< Host of the run while placed.
    int64_t life { 0 }; ///< Life of the host's worker that the run was placed on.
    std::string checkpoint; ///< Where the next run resumes.

    // Memory of the owner only, not recorded.
    Instant notBefore {}; ///< A refused or failed task is not tried again earlier.
    int64_t percent { 0 };

    bool wasPlaced() const { return attempt > 0; }

    /// Whether a run may be placed.
    bool needsPlacement() const { return phase == TaskPhase::Waiting || phase == TaskPhase::Ended; }

    /// Whether the end of the run of that attempt has not been counted yet.
    bool awaitsEnd(uint32_t ofAttempt) const
    {
        return attempt == ofAttempt && (phase == TaskPhase::Placed || phase == TaskPhase::Waiting);
    }
};

/// The tasks of one step of one occurrence, with counts by phase.
struct StepState {
    std::vector<TaskState> tasks;
    uint32_t done { 0 };
    uint32_t placed { 0 };

    bool isDone() const { return done == tasks.size(); }
    uint32_t waiting() const { return static_cast<uint32_t>(tasks.size()) - done - placed; }
};

struct Occurrence {
    std::vector<StepState> steps;
    bool isDone() const;
};

/// A job with the progress that the owner's records tell.
class Job {
public:
    Job(std::string id, QueuePolicy policy, JobSpec spec, uint64_t offset, Instant seenAt);

    const std::string& id() const { return m_id; }
    const QueuePolicy& policy() const { return m_policy; }
    void setPolicy(QueuePolicy policy) { m_policy = std::move(policy); }
    const JobSpec& spec() const { return m_spec; }
    uint64_t offset() const { return m_offset; }
    Instant seenAt() const { return m_seenAt; }

    JobPhase phase() const { return m_phase; }
    void setPhase(JobPhase phase) { m_phase = phase; }

    /// The phase that callers are told: the one of the last record, or `Cancelled` once a cancel is recorded.
    JobPhase publishedPhase() const
    {
        return m_cancelRequested && !isFinal(m_publishedPhase) ? JobPhase::Cancelled : m_publishedPhase;
    }

    /// Shows the present phase, which a record that was read tells.
    void publishCurrentPhase() { m_publishedPhase = m_phase; }

    /// Shows `phase`; the owner calls it once the record that has it is durable.
    void publishPhase(JobPhase phase) { m_publishedPhase = phase; }

    /// When the owner last saw a task of the job end, or the job come.
    Instant lastEventAt() const { return m_lastEventAt; }
    void noteEvent(Instant now) { m_lastEventAt = now; }

    bool isCancelRequested() const { return m_cancelRequested; }
    void requestCancel() { m_cancelRequested = true; }

    std::map<uint32_t, Occurrence>& occurrences() { return m_occurrences; }
    const std::map<uint32_t, Occurrence>& occurrences() const { return m_occurrences; }

    /// The occurrence's state; made on first use. The occurrence must be one of the spec's.
    Occurrence& occurrence(uint32_t number);

    /// The task, or null when the spec has none of that name.
    TaskState* find(const TaskId& task);

    /// Changes a task's phase and keeps the counts of its step.
    void setTaskPhase(const TaskId& task, TaskPhase phase);

    bool allOccurrencesDone() const;
    bool hasPlacedTasks() const;

    /// Whether any task of the job has ever started.
    bool hasStarted() const { return m_phase != JobPhase::Queued; }

    /// Progress as the value of a record; without tasks once the job has ended.
    Json record(uint64_t epoch) const;

    /// Replaces the progress by that of a record. Rows that do not fit the spec are skipped.
    void applyRecord(const Json& record);

private:
    void recount();

    std::string m_id;
    QueuePolicy m_policy;
    JobSpec m_spec;
    uint64_t m_offset; ///< Of the record that accepted the job; orders jobs by acceptance.
    Instant m_seenAt;
    Instant m_lastEventAt;
    JobPhase m_phase { JobPhase::Queued };
    JobPhase m_publishedPhase { JobPhase::Queued };
    bool m_cancelRequested { false };
    std::map<uint32_t, Occurrence> m_occurrences;
};

} // namespace hemlocklead::dispatch
