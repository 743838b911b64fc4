#pragma once

#include "coordination/LeaseTracker.h"
#include "entry/ShardLog.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Manages the open attempts of one owned shard: starts, leases, stops, checkpoints and ends. Tracks each open attempt
/// of the folded shard state while this entry owns the shard.
class AttemptTracker {
public:
    /// Called once the record of an attempt's end has been folded.
    using EndedCallback = std::function<void(
        const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail)>;

    AttemptTracker(ShardLog& log, const ShardEnvironment& environment, EndedCallback onEnded);

    /// Adopts all attempts that are open in the folded state. Called after this entry has read its own claim back.
    void adoptAll();

    /// Discards all attempts and leases, after the loss of the shard.
    void clear();

    /// Adds an attempt whose `assigned` record has been folded, and sends its Start, now or on a later tick.
    void startAssigned(const AttemptKey& key, const std::string& host);

    /// Sends starts, renewals and stops that are due, and appends records of checkpoints and ends.
    void tick();

    void agentMessage(const std::string& host, const Message& message);

    /// Stops the lease renewal of the host's attempts until an agent lists them again.
    void agentGone(const std::string& host);

    /// Sends Stop to the agent, and repeats it until the attempt has ended. No effect if the attempt is
    /// not open or a stop was requested before.
    void stop(const AttemptKey& key, EndReason reason, bool checkpoint);

    /// Stops all open attempts of the job as cancelled, without a checkpoint; replaces stops requested before.
    void stopJob(const std::string& job);

    size_t count() const { return m_attempts.size(); }

    /// Numbers of open attempts of the job by data centre and by rack.
    const std::map<std::string, int>& tasksInDataCentre(const std::string& job) const;
    const std::map<std::string, int>& tasksInRack(const std::string& job) const;

    /// Attempts whose last lease was sent so long ago that their agent pauses them.
    std::vector<AttemptKey> paused() const;

private:
    enum class Stage : uint8_t {
        AwaitingStart, ///< No Start is in transit that could still be accepted.
        StartSent,
        Running, ///< Confirmed by the agent on its current connection.
        Unconfirmed, ///< Adopted, or its agent disconnected: not renewed until an agent lists it.
    };
    struct End {
        EndReason reason { EndReason::Lost };
        std::string token;
        std::string result;
        bool reported { false }; ///< Reported by the agent, which waits for the acknowledgement.
        bool appending { false }; ///< The record was appended and its outcome is not known yet.
        Instant retryAt {};
    };
    struct StopRequest {
        EndReason reason { EndReason::Evicted };
        bool checkpoint { true };
        Instant nextSend;
    };
    struct Attempt {
        std::string host;
        Stage stage { Stage::AwaitingStart };
        bool adopted { false };
        Instant startAt; ///< Earliest time of the next Start.
        std::optional<HostLocation> location; ///< Set once the attempt is counted in `m_spread`.
        std::optional<End> end;
        std::optional<StopRequest> stop;
        std::string checkpoint; ///< Newest token, if not yet recorded.
        Instant nextCheckpoint;
    };
    struct HostLeases {
        std::set<AttemptKey> keys;
        Instant renewAt; ///< Time of the next Renew.
    };
    /// Numbers of open attempts of one job.
    struct Spread {
        std::map<std::string, int> inDataCentre;
        std::map<std::string, int> inRack;
    };
    using Attempts = std::map<AttemptKey, Attempt>;

    void add(const AttemptKey& key, Attempt attempt);
    void erase(const AttemptKey& key);

    /// Counts the attempt in the spread of its job, unless that is done already or the location of its host is unknown.
    void addToSpread(const AttemptKey& key, Attempt& attempt);

    const JobState* jobOf(const AttemptKey& key) const;

    /// Null unless the attempt is open on that host.
    Attempt* findOn(const AttemptKey& key, const std::string& host);

    void sendStart(const AttemptKey& key, Attempt& attempt);
    void renewHost(const std::string& host, HostLeases& leases);
    void renewAll();
    void checkAttempt(const AttemptKey& key, Attempt& attempt);
    void sendStop(const AttemptKey& key, Attempt& attempt);
    void writeCheckpoint(const AttemptKey& key, Attempt& attempt);
    void beginEnd(const AttemptKey& key, Attempt& attempt, End end);
    void appendEnd(const AttemptKey& key, Attempt& attempt);
    void handleEndOutcome(const AttemptKey& key, const RecordOutcome& outcome);

    void handleStartReply(const std::string& host, const StartReply& reply);
    void handleAttemptEnded(const std::string& host, const AttemptEnded& ended);
    void handleCheckpointed(const std::string& host, const Checkpointed& message);
    void handleKeepalive(const std::string& host, const Keepalive& keepalive);
    void noteListed(const AttemptKey& key, const std::string& host, const Stamp& stamp);

    /// Whether this entry owns the shard and the folded state shows that the attempt has ended: another attempt of the
    /// task is open, or none, or the job is gone.
    bool isKnownEnded(const AttemptKey& key) const;

    ShardLog& m_log;
    const ShardEnvironment& m_environment;
    EndedCallback m_onEnded;
    LeaseTracker m_leases;
    Attempts m_attempts;
    std::map<std::string, HostLeases> m_byHost;
    std::map<std::string, Spread> m_spread; ///< By job.
    std::vector<AttemptKey> m_toStart;
    Instant m_nextCheck;
    uint64_t m_generation { 0 }; ///< Incremented by `clear`, so that outcomes of earlier appends are ignored.
};

} // namespace hemlocklead
