#pragma once

#include "base/Clock.h"
#include "state/Catalogue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocklead {

/// What the queue knows of a job; the same for all its tasks.
struct QueuedJob {
    std::string id;
    std::string name; ///< Catalogue entry.
    std::string team;
    Resources resources; ///< Reservation of one task.
    bool urgent { false };
    bool watch { false };
    int64_t acceptedAtUnixMs { 0 };
};

/// One waiting task.
struct QueuedTask {
    std::string job;
    uint32_t index { 0 };

    bool operator==(const QueuedTask&) const = default;
};

/// Waiting tasks of one shard, in the order in which they are placed: urgent ones first, then the team with the lowest
/// dominant share of its quota, then the oldest job. Nothing that would exceed a quota or `maxRunning` is handed out.
class JobQueue {
public:
    /// Limits in force of a catalogue entry, or null when it has none.
    using LimitsOf = std::function<const Limits*(std::string_view name)>;

    explicit JobQueue(LimitsOf limitsOf);

    /// Capacity of all known hosts; the share of a team without quota is counted against it.
    void setCapacity(const Resources& capacity) { m_capacity = capacity; }

    void addJob(const QueuedJob& job);

    /// Forgets the job and its waiting tasks. Its running tasks count until `noteEnded`.
    void removeJob(const std::string& id);

    /// Forgets all jobs and counts.
    void clear();

    /// Adds a waiting task that is not handed out before `notBefore`.
    void push(const QueuedTask& task, Instant notBefore);

    /// Removes and returns the task to place next; nullopt when there is none now.
    std::optional<QueuedTask> next(Instant now);

    /// Keeps all tasks of the job back until `until`, because no host has room.
    void holdBack(const std::string& id, Instant until);

    /// Sets or clears (empty) the reason why the job can run nowhere; while it is set the job is skipped.
    void setUnplaceable(const std::string& id, const std::string& reason);

    /// Counts a task of the job against its quota, from its reservation until `noteEnded`.
    void noteRunning(const QueuedJob& job);
    void noteEnded(const QueuedJob& job);

    const QueuedJob* job(const std::string& id) const;

    /// Waiting tasks of a job, and of all jobs of a catalogue entry.
    size_t waitingOf(const std::string& id) const;
    size_t waitingOfName(std::string_view name) const;
    size_t waiting() const { return m_waiting; }

    /// Jobs that can run nowhere, with the reason.
    std::vector<std::pair<std::string, std::string>> unplaceable() const;

    /// Jobs with waiting tasks that are standing watches.
    std::vector<std::string> waitingWatches() const;

    /// Largest share that the team's running tasks have of any resource of its quotas.
    double dominantShare(std::string_view team) const;

private:
    struct Entry {
        QueuedJob job;
        std::set<uint32_t> ready;
        std::set<std::pair<Instant, uint32_t>> backingOff;
        Instant heldUntil;
        std::string unplaceable;
    };
    struct Usage {
        std::string team;
        Resources resources;
        int64_t running { 0 };
    };
    using Order = std::pair<double, int64_t>; ///< Share of the team, age.

    bool mayRun(const QueuedJob& job) const;
    static bool isReady(Entry& entry, Instant now);
    double shareOf(std::string_view name, const Usage& usage) const;

    LimitsOf m_limitsOf;
    Resources m_capacity;
    std::map<std::string, Entry> m_jobs;
    std::map<std::string, Entry*> m_withWaiting; ///< Jobs that have waiting tasks.
    std::map<std::string, Usage, std::less<>> m_usage; ///< By catalogue entry.
    std::map<std::string, size_t, std::less<>> m_waitingByName;
    size_t m_waiting { 0 };
};

} // namespace hemlocklead
