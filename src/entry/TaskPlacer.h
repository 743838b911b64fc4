#pragma once

#include "coordination/JobQueue.h"
#include "coordination/Placement.h"
#include "entry/AttemptTracker.h"

#include <deque>
#include <map>
#include <string>

namespace hemlocklead {

/// Places the waiting tasks of one owned shard: chooses a host, reserves resources and appends the `assigned` record.
/// Evicts can-wait tasks when no host has free capacity for an urgent task.
class TaskPlacer {
public:
    TaskPlacer(ShardLog& log, const ShardEnvironment& environment, JobQueue& queue, AttemptTracker& attempts);

    /// Drops all pending placements without requeueing their tasks. Called when the ownership of the shard changes.
    void clear();

    /// Places the waiting tasks that are due, up to a limit per tick.
    void tick();

    void handleReserveReply(const std::string& host, const ReserveReply& reply);

    /// Requeues the tasks that wait for a reservation on the host.
    void agentGone(const std::string& host);

    /// Number of tasks that wait for a reservation or for their `assigned` record.
    size_t pendingCount() const { return m_pending.size(); }

private:
    struct Pending {
        QueuedJob job;
        std::string host;
        std::string dataCentre;
        std::string rack;
        Instant sentAt;
        bool appending { false }; ///< The resources are reserved and the `assigned` record is being appended.
    };
    /// Number of pending tasks of a job, in total and by location.
    struct PendingCounts {
        std::map<std::string, int> inDataCentre;
        std::map<std::string, int> inRack;
        size_t tasks { 0 };
    };
    /// State of an urgent job for which no host has free capacity.
    struct Shortage {
        Instant nextEvictionAt;
        /// One per task for which evictions were requested and that is not placed yet.
        std::deque<Instant> evictionDeadlines;
    };

    void place(const QueuedTask& task);
    void reserve(const AttemptKey& key, const QueuedJob& job, const PlacementHost& chosen);
    void addPending(const AttemptKey& key, Pending pending);
    void removePending(std::map<AttemptKey, Pending>::iterator found);
    void handleNoHost(const QueuedTask& task, const QueuedJob& job, const PlacementRequest& request);
    void evictFor(const QueuedJob& job, const PlacementRequest& request);
    void evict(const EvictionCandidate& candidate);
    void handleAssignedRecord(const AttemptKey& key, const RecordOutcome& outcome);
    void releaseAndRequeue(const AttemptKey& key, Duration delay);
    void requeueTimedOut();
    void recheckUnplaceable();

    /// Whether a task that failed on `host` fits another usable host. If not, it is retried on `host`.
    bool fitsElsewhere(const Resources& resources, const std::string& host) const;
    PlacementRequest requestFor(const QueuedTask& task, const QueuedJob& job) const;

    ShardLog& m_log;
    const ShardEnvironment& m_environment;
    JobQueue& m_queue;
    AttemptTracker& m_attempts;
    std::map<AttemptKey, Pending> m_pending;
    std::map<std::string, PendingCounts> m_pendingCounts; ///< Derived from `m_pending`, by job.
    std::map<std::string, Shortage> m_shortages; ///< By job.
    uint64_t m_hostsVersion { 0 };
    uint64_t m_generation { 0 }; ///< Grows with `clear`; results of appends of an older generation are ignored.
};

} // namespace hemlocklead
