#pragma once

#include "coordination/JobQueue.h"
#include "coordination/Placement.h"
#include "entry/AttemptTracker.h"

#include <deque>
#include <map>
#include <string>

namespace hemlocklead {

/// Places the waiting tasks of one owned shard: choice of a host, reservation, `assigned` record; evicts can-wait work
/// for urgent tasks that find no room.
class TaskPlacer {
public:
    TaskPlacer(ShardLog& log, const ShardEnvironment& environment, JobQueue& queue, AttemptTracker& attempts);

    /// Forgets the reservations under way, after the shard was lost.
    void clear();

    /// Places what can be placed now.
    void tick();

    void reserveReplied(const std::string& host, const ReserveReply& reply);

    /// Puts the tasks whose reservation was under way on that host back into the queue.
    void agentGone(const std::string& host);

    /// Tasks with a reservation or an `assigned` record under way.
    size_t underWay() const { return m_pending.size(); }

private:
    struct Pending {
        QueuedJob job;
        std::string host;
        std::string dataCentre;
        std::string rack;
        Instant sentAt;
        bool appending { false };
    };
    /// Tasks of a job that are under way.
    struct Spread {
        std::map<std::string, int> inDataCentre;
        std::map<std::string, int> inRack;
        size_t tasks { 0 };
    };
    /// Urgent job that finds no room.
    struct Shortage {
        Instant nextEviction;
        std::deque<Instant>
            evictionsExpire; ///< One per task that evictions were asked for and that was not placed yet.
    };

    void place(const QueuedTask& task);
    void reserve(const AttemptKey& key, const QueuedJob& job, const PlacementHost& chosen);
    void addPending(const AttemptKey& key, Pending pending);
    void removePending(std::map<AttemptKey, Pending>::iterator found);
    void noRoom(const QueuedTask& task, const QueuedJob& job, const PlacementRequest& request);
    void evictFor(const QueuedJob& job, const PlacementRequest& request);
    void evict(const EvictionCandidate& candidate);
    void assignedFolded(const AttemptKey& key, const RecordOutcome& verdict);
    void giveBack(const AttemptKey& key, Duration delay);
    void dropTimedOut();
    void reexamine();

    /// Whether a task that failed on `host` has another usable host; without one it is retried there.
    bool fitsElsewhere(const Resources& resources, const std::string& host) const;
    PlacementRequest requestFor(const QueuedTask& task, const QueuedJob& job) const;

    ShardLog& m_log;
    const ShardEnvironment& m_environment;
    JobQueue& m_queue;
    AttemptTracker& m_attempts;
    std::map<AttemptKey, Pending> m_pending;
    std::map<std::string, Spread> m_spread; ///< Of `m_pending`, by job.
    std::map<std::string, Shortage> m_shortages; ///< By job.
    uint64_t m_hostsVersion { 0 };
    uint64_t m_generation { 0 };
};

} // namespace hemlocklead
