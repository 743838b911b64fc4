#pragma once

#include "dispatch/JobSpec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

enum class TaskPhase : uint8_t {
    Waiting, ///< No run is active. The last run, if any, was declared lost; its end may still be reported.
    Placed, ///< A run is assigned to a host and may be active there.
    Done,
    Failed, ///< Failed as many times as the queue allows.
    Ended, ///< No run is active, and the end of the last one has been applied. The next run may start.
};

enum class JobPhase : uint8_t { Queued, Running, Completed, Failed, Cancelled };

std::string_view phaseName(JobPhase phase);
constexpr bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

/// Progress of one task. A task has one run at a time; `attempt` numbers its runs from 1.
struct TaskState {
    TaskPhase phase { TaskPhase::Waiting };
    uint32_t attempt { 0 };
    uint32_t failures { 0 };
    std::string host; ///< Host of the last run; recorded only while the task is placed.
    int64_t life { 0 }; ///< Incarnation of the host's worker that the run was placed on.
    std::string checkpoint; ///< The next run resumes from it; empty without one.

    // Not recorded; only the owner maintains them.
    Instant notBefore {}; ///< A task whose start was refused is not placed again before this.
    Instant lastRunAt {}; ///< When this owner last heard of a run of the task.
    int64_t percent { 0 };
    uint32_t moves { 0 }; ///< Runs that were stopped so that the task continues on another host.

    bool wasPlaced() const { return attempt > 0; }

    /// Whether a new run of the task may be placed.
    bool needsPlacement() const { return phase == TaskPhase::Waiting || phase == TaskPhase::Ended; }

    /// Whether the end of the run of that attempt has not been applied yet.
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

    /// Since when hosts are held for the waiting tasks. Not recorded; only the owner maintains it.
    std::optional<Instant> heldSince {};

    /// Since when a waiting task has found no host and hosts with free processors lack memory. Not recorded; only the
    /// owner maintains it.
    std::optional<Instant> noMemorySince {};

    /// Since when a waiting task has found no host, nor one that only short runs occupy. Not recorded; only the owner
    /// maintains it.
    std::optional<Instant> noRoomSince {};

    bool isDone() const { return done == tasks.size(); }
    uint32_t waiting() const { return static_cast<uint32_t>(tasks.size()) - done - placed; }
};

/// One execution of all steps of a job; scheduled jobs have several.
struct Occurrence {
    std::vector<StepState> steps;
    bool isDone() const;
};

/// A job with its progress according to the owner's records.
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

    /// The phase that callers see: the one of the last durable record, or `Cancelled` once a cancellation is recorded.
    JobPhase publishedPhase() const
    {
        return m_cancelRequested && !isFinal(m_publishedPhase) ? JobPhase::Cancelled : m_publishedPhase;
    }

    /// Publishes the current phase, after a record has been read and applied.
    void publishCurrentPhase() { m_publishedPhase = m_phase; }

    /// Publishes `phase`. The owner calls it once the record with that phase is durable.
    void publishPhase(JobPhase phase) { m_publishedPhase = phase; }

    /// When a task of the job last ended, or when the job was accepted or adopted by this owner.
    Instant lastEventAt() const { return m_lastEventAt; }
    void noteEvent(Instant now) { m_lastEventAt = now; }

    bool isCancelRequested() const { return m_cancelRequested; }
    void requestCancel() { m_cancelRequested = true; }

    std::map<uint32_t, Occurrence>& occurrences() { return m_occurrences; }
    const std::map<uint32_t, Occurrence>& occurrences() const { return m_occurrences; }

    /// The state of the occurrence, created on first use. `number` must be less than the spec's number of occurrences.
    Occurrence& occurrence(uint32_t number);

    /// The task, or null if its occurrence has not been created or the spec has no such task.
    TaskState* find(const TaskId& task);

    /// Calls `visit` for each task of the occurrences that have been created. `visit` must not create occurrences.
    void forEachTask(const std::function<void(const TaskId&, const TaskState&)>& visit) const;

    /// Changes the phase of a task and updates the counts of its step.
    void setTaskPhase(const TaskId& task, TaskPhase phase);

    bool allOccurrencesDone() const;
    bool hasPlacedTasks() const;

    /// Whether the job has left the phase `Queued`.
    bool hasStarted() const { return m_phase != JobPhase::Queued; }

    /// The progress as the value of a record. Tasks are left out once the job has ended and no run is placed.
    Json record(uint64_t epoch) const;

    /// Replaces the progress by that in a record. Rows that do not match the spec are skipped.
    void applyRecord(const Json& record);

    /// Counts the tasks by phase again after their phases were replaced.
    void recount();

private:
    std::string m_id;
    QueuePolicy m_policy;
    JobSpec m_spec;
    uint64_t m_offset; ///< Journal offset of the record that accepted the job; orders jobs by acceptance.
    Instant m_seenAt; ///< When this entry read the record that accepted the job.
    Instant m_lastEventAt;
    JobPhase m_phase { JobPhase::Queued };
    JobPhase m_publishedPhase { JobPhase::Queued };
    bool m_cancelRequested { false };
    std::map<uint32_t, Occurrence> m_occurrences;
};

} // namespace hemlocklead::dispatch
