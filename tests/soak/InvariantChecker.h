#pragma once

#include "base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead::soak {

/// Records the responses to callers and the runs of workers, and checks the invariants that relate them. Each violation
/// is kept as a line of text with the time of day at which it was noticed.
class InvariantChecker {
public:
    /// A job of two steps; the second step starts after the first has completed. A long-running job has one step, whose
    /// tasks run until the job is cancelled.
    struct Job {
        std::string payload;
        uint32_t tasks { 1 }; ///< In each step.
        bool isLongRunning { false };
        bool accepted { false };
        Instant acceptedAt {};
        bool refused { false }; ///< Every try was answered as not run, or was never sent.
        bool cancelRequested { false };
        Instant cancelledAt {}; ///< When a cancellation was acknowledged.
        std::set<std::string> doneTasks; ///< Tasks with a run that ended as `done`.

        bool isCancelled() const { return cancelledAt != Instant {}; }
        /// Nothing but the system keeps the job from running to its end, or until the end of the soak.
        bool mustRun() const { return accepted && !cancelRequested; }
        size_t allTasks() const { return (isLongRunning ? size_t { 1 } : size_t { 2 }) * tasks; }
        bool isDone() const { return !isLongRunning && doneTasks.size() == allTasks(); }
    };

    explicit InvariantChecker(const Clock& clock);

    Job& add(const std::string& id, Job job);
    Job* find(const std::string& id);
    std::map<std::string, Job>& jobs() { return m_jobs; }
    const std::map<std::string, Job>& jobs() const { return m_jobs; }

    void jobAccepted(const std::string& id);
    void jobRefused(const std::string& id);
    void jobCancelled(const std::string& id);

    /// A caller received this state of the job; "none" means that the job does not exist.
    void jobStateReported(const std::string& id, const std::string& state);

    void runStarted(const std::string& task, uint32_t attempt, const std::string& payload, const std::string& host);
    void runEnded(const std::string& task, const std::string& host, bool done);

    /// Number of tasks of the job that run now.
    size_t runningTasks(const std::string& id) const;

    /// Whether the job is in the state that its callers' requests lead to: done, with all tasks running if it is
    /// long-running, or with none if its cancellation was acknowledged. Jobs that lead to no one state always are.
    bool isSettled(const std::string& id) const;

    /// The agent acknowledged to the worker the end of a run of the task as `done`.
    void completionAcknowledged(const std::string& task);

    void violation(const std::string& text);
    const std::vector<std::string>& violations() const { return m_violations; }
    size_t starts() const { return m_starts; }

private:
    void checkStepOrder(const Job& job, const std::string& task);

    const Clock& m_clock;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, std::string> m_running; ///< Worker by task.
    std::set<std::string> m_acknowledgedTasks;
    std::vector<std::string> m_violations;
    size_t m_starts { 0 };
};

} // namespace hemlocklead::soak
