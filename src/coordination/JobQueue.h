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

/// Properties of a queued job, shared by all its tasks.
struct QueuedJob {
    std::string id;
    std::string name; ///< Catalogue entry.
    std::string team;
    Resources resources; ///< Reservation of one task.
    bool urgent { false };
    bool watch { false };
    int64_t acceptedAtUnixMs { 0 };
};

/// A task that waits for placement.
struct QueuedTask {
    std::string job;
    uint32_t index { 0 };

    bool operator==(const QueuedTask&) const = default;
};

/// Queue of the waiting tasks of one shard, ordered by dominant resource fairness.
///
/// Urgent tasks come first, then tasks of the team with the lowest dominant share of its quota, then those of the
/// oldest job. Tasks that would exceed a team quota or `maxRunning` stay in the queue.
class JobQueue {
public:
    /// Returns the limits in force for a catalogue entry, or null if it has none.
    using LimitsLookup = std::function<const Limits*(std::string_view name)>;

    explicit JobQueue(LimitsLookup limitsLookup);

    /// Sets the total capacity of all known hosts, against which the share of a team without quota is computed.
    void setCapacity(const Resources& capacity) { m_capacity = capacity; }

    void addJob(const QueuedJob& job);

    /// Removes the job and its waiting tasks. Its running tasks are counted until `noteEnded`.
    void removeJob(const std::string& id);

    /// Removes all jobs and resets all counts.
    void clear();

    /// Adds a waiting task that `next` does not return before `notBefore`. Its job must have been added.
    void push(const QueuedTask& task, Instant notBefore);

    /// Removes and returns the task to place next, or nullopt if no task is eligible at `now`.
    std::optional<QueuedTask> next(Instant now);

    /// Skips all tasks of the job until `until`; called when no host has capacity for them.
    void defer(const std::string& id, Instant until);

    /// Sets the reason why no host can run the job, or clears it if empty. The job is skipped while a reason is set.
    void setUnplaceable(const std::string& id, const std::string& reason);

    /// Counts a task of the job against the quota, from its reservation until `noteEnded`.
    void noteRunning(const QueuedJob& job);
    void noteEnded(const QueuedJob& job);

    const QueuedJob* job(const std::string& id) const;

    /// Number of waiting tasks of a job, of all jobs of a catalogue entry, and of the whole queue.
    size_t waitingOf(const std::string& id) const;
    size_t waitingOfName(std::string_view name) const;
    size_t waiting() const { return m_waiting; }

    /// Jobs with waiting tasks that no host can run, each with the reason.
    std::vector<std::pair<std::string, std::string>> unplaceable() const;

    /// Standing watches with waiting tasks.
    std::vector<std::string> waitingWatches() const;

    /// Largest share of any resource that the running tasks of one of the team's catalogue entries take: of the team
    /// quota of that entry, or of the capacity if it has none.
    double dominantShare(std::string_view team) const;

private:
    struct Entry {
        QueuedJob job;
        std::set<uint32_t> ready;
        std::set<std::pair<Instant, uint32_t>> backingOff;
        Instant deferredUntil;
        std::string unplaceable;
    };
    struct Usage {
        std::string team;
        Resources resources;
        int64_t running { 0 };
    };
    using Order = std::pair<double, int64_t>; ///< Dominant share of the team, time at which the job was accepted.

    bool isWithinLimits(const QueuedJob& job) const;
    static bool isReady(Entry& entry, Instant now);
    double shareOf(std::string_view name, const Usage& usage) const;

    LimitsLookup m_limitsLookup;
    Resources m_capacity;
    std::map<std::string, Entry> m_jobs;
    std::map<std::string, Entry*> m_jobsWithWaiting; ///< Jobs that have waiting tasks.
    std::map<std::string, Usage, std::less<>> m_usage; ///< By catalogue entry.
    std::map<std::string, size_t, std::less<>> m_waitingByName;
    size_t m_waiting { 0 };
};

} // namespace hemlocklead
