#pragma once

#include "entry/TaskPlacer.h"

#include <functional>
#include <string>

namespace hemlocklead {

/// One shard at one entry, from the wish to own it until it is owned by another: its log, queue, placement and open
/// attempts. Without sockets and timers: driven by `tick` and the agents' messages.
class ShardOwner {
public:
    /// What became of a submitted or cancelled job.
    enum class Outcome : uint8_t {
        Done, ///< The record, or an earlier equal one, is folded.
        NotFound,
        NotOwner, ///< Not recorded: this entry does not own the shard.
        NotStored, ///< Proved not recorded: the log cannot be reached.
    };
    using Decided = std::function<void(Outcome)>;

    /// `environment` outlives this object.
    ShardOwner(uint32_t shard, const ShardEnvironment& environment);
    ShardOwner(const ShardOwner&) = delete;
    ShardOwner& operator=(const ShardOwner&) = delete;

    /// At least every 10 ms.
    void tick();

    /// Messages of agents, after the host table has noted them.
    void agentMessage(const std::string& host, const Message& message);
    void agentGone(const std::string& host);

    bool isOwner() const { return m_log.isOwner(); }
    bool hasAuthority() const { return m_log.hasAuthority(); }
    uint64_t epoch() const { return m_log.epoch(); }
    const ShardClaim& claim() const { return m_log.state().claim(); }
    const ShardState& state() const { return m_log.state(); }

    /// Records the job. A job of the same id counts as done.
    void submit(const JobSpec& spec, Decided decided);

    /// Cancels the job; one that has ended counts as done.
    void cancel(const std::string& id, Decided decided);

    /// Waiting tasks of a catalogue entry, for its limit.
    size_t waitingOfName(std::string_view name) const { return m_queue.waitingOfName(name); }

    /// Reason why the job can run nowhere, or empty.
    std::string unplaceableReason(const std::string& id) const;

    /// Gives the shard up; `done` runs when that is in the log or cannot be.
    void release(std::function<void()> done) { m_log.release(std::move(done)); }

    /// Epoch, queue, running, paused attempts, unplaceable jobs, watches without a place.
    Json status() const;

private:
    void gained();
    void lost();
    void addJob(const JobState& job);
    void attemptEnded(const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail);
    void noteHostHealth(const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail);
    void jobChanged(const std::string& id);
    void forgetOldResults();

    uint32_t m_shard;
    const ShardEnvironment& m_environment;
    ShardLog m_log;
    JobQueue m_queue;
    AttemptTracker m_attempts;
    TaskPlacer m_placer;
    Instant m_nextForget;
};

} // namespace hemlocklead
