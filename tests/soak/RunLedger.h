#pragma once

#include "base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead::soak {

/// What callers were told and what workers ran, with the promises that join the two. Each broken one is kept as a line.
class RunLedger {
public:
    /// A job of two steps; the second one starts after the first.
    struct Job {
        std::string payload;
        uint32_t tasks { 1 }; ///< Of each step.
        bool accepted { false };
        Instant acceptedAt {};
        bool refused { false }; ///< Every try was answered as not run.
        bool cancelAsked { false };
        Instant cancelledAt {}; ///< When a cancel was acknowledged.
        std::set<std::string> done; ///< Tasks of which a run ended `done`.

        bool isCancelled() const { return cancelledAt != Instant {}; }
        bool isOwed() const { return accepted && !cancelAsked; }
        bool isDone() const { return done.size() == 2 * size_t { tasks }; }
    };

    explicit RunLedger(const Clock& clock);

    Job& add(const std::string& id, Job job);
    Job* find(const std::string& id);
    std::map<std::string, Job>& jobs() { return m_jobs; }
    const std::map<std::string, Job>& jobs() const { return m_jobs; }

    void accepted(const std::string& id);
    void refused(const std::string& id);
    void cancelled(const std::string& id);

    /// A caller was shown this state of the job, or that it does not exist.
    void shown(const std::string& id, const std::string& state);

    void started(const std::string& task, uint32_t attempt, const std::string& payload, const std::string& host);
    void ended(const std::string& task, const std::string& host, bool done);

    /// The worker was told that the end of the task has been noted.
    void acknowledgedDone(const std::string& task);

    void violation(const std::string& text);
    const std::vector<std::string>& violations() const { return m_violations; }
    size_t starts() const { return m_starts; }

private:
    void checkOrder(const Job& job, const std::string& task);

    const Clock& m_clock;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, std::string> m_running; ///< Host by task.
    std::set<std::string> m_acknowledged;
    std::vector<std::string> m_violations;
    size_t m_starts { 0 };
};

} // namespace hemlocklead::soak
