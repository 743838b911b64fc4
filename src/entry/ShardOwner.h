#pragma once

#include "entry/TaskPlacer.h"

#include <functional>
#include <string>

namespace hemlocklead {

/// One shard on an entry that tries to own it or owns it: the log, queue, placement and open attempts.
///
/// Uses no sockets or timers; driven by `tick` and the messages of the agents.
class ShardOwner {
public:
    /// Outcome of the submission or cancellation of a job.
    enum class Outcome : uint8_t {
        Done, ///< The record, or an earlier one with the same effect, is folded.
        NotFound,
        NotOwner, ///< Not recorded: this entry does not own the shard.
        NotStored, ///< Provably not recorded: the log cannot be reached.
    };
    using OutcomeCallback = std::function<void(Outcome)>;

    /// `environment` must outlive this object.
    ShardOwner(uint32_t shard, const ShardEnvironment& environment);
    ShardOwner(const ShardOwner&) = delete;
    ShardOwner& operator=(const ShardOwner&) = delete;

    /// Must be called at least every 10 ms.
    void tick();

    /// Handles a message of an agent. The host table must have processed it before.
    void agentMessage(const std::string& host, const Message& message);
    void agentGone(const std::string& host);

    bool isOwner() const { return m_log.isOwner(); }
    bool hasAuthority() const { return m_log.hasAuthority(); }
    uint64_t epoch() const { return m_log.epoch(); }
    const ShardClaim& claim() const { return m_log.state().claim(); }
    const ShardState& state() const { return m_log.state(); }

    /// Records the job. If a job with the same id exists, the outcome is `Done`.
    void submit(const JobSpec& spec, OutcomeCallback done);

    /// Cancels the job. If the job has ended, the outcome is `Done`.
    void cancel(const std::string& id, OutcomeCallback done);

    /// Number of waiting tasks of a catalogue entry, compared with its limit of queued tasks.
    size_t waitingOfName(std::string_view name) const { return m_queue.waitingOfName(name); }

    /// Reason why no known host can run the job; empty if there is none.
    std::string unplaceableReason(const std::string& id) const;

    /// Releases the shard. `done` runs once the release is recorded or provably not stored.
    void release(std::function<void()> done) { m_log.release(std::move(done)); }

    /// Claim, queue, running and paused attempts, unplaceable jobs and waiting standing watches, for `/status`.
    Json status() const;

private:
    void handleOwnershipGained();
    void clear();
    void addJob(const JobState& job);
    void handleAttemptEnd(const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail);
    void noteHostHealth(const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail);
    void handleJobChange(const std::string& id);
    void forgetExpiredResults();

    uint32_t m_shard;
    const ShardEnvironment& m_environment;
    ShardLog m_log;
    JobQueue m_queue;
    AttemptTracker m_attempts;
    TaskPlacer m_placer;
    Instant m_nextForgetAt;
};

} // namespace hemlocklead
