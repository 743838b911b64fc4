#pragma once

#include "coordination/HeldAttempt.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>

namespace hemlocklead {

/// What to do with a `Start`.
struct StartDecision {
    enum class Action : uint8_t {
        Begin, ///< Start the task on the worker.
        Wait, ///< The start is under way; the answer follows.
        Started, ///< It runs or ran here already.
        Refuse,
    };

    Action action { Action::Refuse };
    ErrorKind refusal { ErrorKind::Internal }; ///< Valid for `Refuse`.
};

/// What the agent knows at the time of a `Start`, besides the attempts.
struct StartContext {
    Instant now;
    bool dataCentreOut { false };
    bool reserved { false };
    bool leaving { false };
};

/// The attempts on this host with their leases (design sections 5 and 7). Decisions only; the clock is passed in.
///
/// An ended attempt is kept until it is acknowledged and for at least F + drift margin, so that a late copy of its
/// `Start`, whose stamp is then too old, cannot start it again.
class AttemptTable {
public:
    struct Limits {
        uint64_t incarnation { 0 };
        Duration startFreshness { 2000 }; ///< F
        Duration workerLease { 6000 }; ///< W
        Duration driftMargin { 1000 };
    };

    explicit AttemptTable(const Limits& limits);

    StartDecision decideStart(const Start& start, const StartContext& context) const;

    /// Adds an attempt after the decision `Begin`.
    HeldAttempt& begin(const Start& start);

    /// Keeps a final refusal, so that copies of the same `Start` are refused alike. A stale view is no final refusal:
    /// the owner sends the attempt again with a fresh one.
    void refuse(const Start& start, ErrorKind refusal, Instant now);

    /// Adds an attempt found on the worker, without an attempt lease.
    HeldAttempt& adopt(const AttemptKey& key);

    /// Extends the lease to `echo` + `lease`. False, and nothing changes, for a stamp of another incarnation or of the
    /// future, an attempt that is stopping or ended, and a lease that is over or would be.
    bool renew(const AttemptKey& key, const Stamp& echo, Duration lease, Instant now);

    /// Longest lease that the worker may get now: W, but never past the attempt lease less the drift margin; 0 when
    /// there is none to give.
    Duration workerLease(const HeldAttempt& attempt, Instant now) const;

    /// Whether the attempt lease is over, less the drift margin in which the worker lease must have ended.
    bool isLapsed(const HeldAttempt& attempt, Instant now) const;

    /// Whether a quarter or less of the lease is left.
    static bool isLeaseLow(const HeldAttempt& attempt, Instant now);

    /// Ends the attempt; a second end changes nothing.
    void end(HeldAttempt& attempt, EndReason reason, std::string result, Instant now);

    /// False when there is no such ended attempt.
    bool acknowledge(const AttemptKey& key);

    /// Drops ended attempts that need not be kept any longer and that the worker has forgotten too; one that the worker
    /// still lists would be taken for a task of a former process.
    void forget(Instant now);

    HeldAttempt* find(const AttemptKey& key);
    const HeldAttempt* find(const AttemptKey& key) const;
    std::map<AttemptKey, HeldAttempt>& attempts() { return m_attempts; }
    const std::map<AttemptKey, HeldAttempt>& attempts() const { return m_attempts; }

private:
    bool isOwnStamp(const Stamp& stamp, Instant now) const;

    Limits m_limits;
    std::map<AttemptKey, HeldAttempt> m_attempts;
};

} // namespace hemlocklead
