#pragma once

#include "coordination/LeaseTracker.h"
#include "entry/ShardLog.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Open attempts of one owned shard: starts, leases, stops, checkpoints and ends.
///
/// Each open attempt of the folded shard state is tracked here while this entry owns the shard.
class AttemptTracker {
public:
    /// Called once the end of an attempt has been folded.
    using Ended = std::function<void(
        const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail)>;

    AttemptTracker(ShardLog& log, const ShardEnvironment& environment, Ended ended);

    /// Takes over all attempts that are open in the folded state, after the own claim was read back.
    void adoptAll();

    /// Forgets everything, after the shard was lost.
    void clear();

    /// Tracks an attempt whose `assigned` record was folded, and starts it.
    void assigned(const AttemptKey& key, const std::string& host);

    /// Sends starts, renewals and stops that are due, and records ends.
    void tick();

    void agentMessage(const std::string& host, const Message& message);

    /// Attempts on the host get no renewal until an agent lists them again.
    void agentGone(const std::string& host);

    /// Asks the agent to stop the attempt, repeatedly until it has ended.
    void stop(const AttemptKey& key, EndReason reason, bool checkpoint);

    /// Stops all open attempts of the job.
    void stopJob(const std::string& job);

    size_t count() const { return m_attempts.size(); }

    /// Open attempts of the job by data centre and by rack.
    const std::map<std::string, int>& tasksInDataCentre(const std::string& job) const;
    const std::map<std::string, int>& tasksInRack(const std::string& job) const;

    /// Attempts without a lease renewal for so long that their agent pauses them.
    std::vector<AttemptKey> paused() const;

private:
    enum class Stage : uint8_t {
        AwaitingStart, ///< No Start is on its way that could still be accepted.
        StartSent,
        Running, ///< The agent said so over its current connection.
        Unconfirmed, ///< Adopted, or its agent went away: not renewed until an agent lists it.
    };
    struct End {
        EndReason reason { EndReason::Lost };
        std::string token;
        std::string result;
        bool reported { false }; ///< By the agent, which waits for the acknowledgement.
        bool appending { false };
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
        std::optional<HostLocation> location; ///< Counted in the job's spread.
        std::optional<End> end;
        std::optional<StopRequest> stop;
        std::string checkpoint; ///< Newest token not yet recorded.
        Instant nextCheckpoint;
    };
    struct HostLeases {
        std::set<AttemptKey> keys;
        Instant renewAt;
    };
    struct Spread {
        std::map<std::string, int> inDataCentre;
        std::map<std::string, int> inRack;
    };
    using Attempts = std::map<AttemptKey, Attempt>;

    void add(const AttemptKey& key, Attempt attempt);
    void erase(const AttemptKey& key);
    void locate(const AttemptKey& key, Attempt& attempt);
    const JobState* jobOf(const AttemptKey& key) const;
    Attempt* findOn(const AttemptKey& key, const std::string& host);

    void sendStart(const AttemptKey& key, Attempt& attempt);
    void renewHost(const std::string& host, HostLeases& leases);
    void renewAll();
    void checkAttempt(const AttemptKey& key, Attempt& attempt);
    void sendStop(const AttemptKey& key, Attempt& attempt);
    void writeCheckpoint(const AttemptKey& key, Attempt& attempt);
    void beginEnd(const AttemptKey& key, Attempt& attempt, End end);
    void appendEnd(const AttemptKey& key, Attempt& attempt);
    void endFolded(const AttemptKey& key, const RecordOutcome& verdict);

    void startReplied(const std::string& host, const StartReply& reply);
    void attemptEnded(const std::string& host, const AttemptEnded& ended);
    void checkpointed(const std::string& host, const Checkpointed& message);
    void keepaliveReceived(const std::string& host, const Keepalive& keepalive);
    void noteListed(const AttemptKey& key, const std::string& host, const Stamp& stamp);
    bool isKnownEnded(const AttemptKey& key) const;

    ShardLog& m_log;
    const ShardEnvironment& m_environment;
    Ended m_ended;
    LeaseTracker m_leases;
    Attempts m_attempts;
    std::map<std::string, HostLeases> m_byHost;
    std::map<std::string, Spread> m_spread; ///< By job.
    std::vector<AttemptKey> m_toStart;
    Instant m_nextCheck;
    uint64_t m_generation { 0 }; ///< Grows when everything is forgotten, so that older verdicts are dropped.
};

} // namespace hemlocklead
