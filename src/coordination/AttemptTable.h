#pragma once

#include "coordination/HeldAttempt.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>

namespace hemlocklead {

/// How to handle a `Start` message.
struct StartDecision {
    enum class Action : uint8_t {
        Begin, ///< Start the task on the worker.
        Wait, ///< A start call to the worker is in progress; the answer follows.
        Started, ///< The attempt already runs or ran here; answer that it was started.
        Refuse,
    };

    Action action { Action::Refuse };
    ErrorKind refusal { ErrorKind::Internal }; ///< Valid for `Refuse`.
};

/// Agent state that decides on a `Start`, besides the attempts.
struct StartContext {
    Instant now;
    bool dataCentreOut { false };
    bool reserved { false };
    bool leaving { false };
};

/// The attempts on this host and their leases (design sections 5 and 7). Performs no I/O; times are passed in.
///
/// An ended attempt is kept until its end is acknowledged and for at least `startFreshness` + `driftMargin`. A copy of
/// its `Start` that arrives later has a stamp that is too old, so it cannot start the attempt again.
class AttemptTable {
public:
    struct Limits {
        uint64_t incarnation { 0 };
        Duration startFreshness { 2000 }; ///< Maximum age of the view that a `Start` is based on (F).
        Duration workerLease { 6000 }; ///< Longest lease given to the worker (W).
        Duration driftMargin { 1000 }; ///< Allowance for clock drift.
    };

    explicit AttemptTable(const Limits& limits);

    StartDecision decideStart(const Start& start, const StartContext& context) const;

    /// Adds an attempt after the decision `Begin`.
    HeldAttempt& begin(const Start& start);

    /// Records a final refusal, so that copies of the same `Start` get the same answer. `StaleView` is not final and is
    /// not recorded: the owner sends the attempt again with a newer view.
    void refuse(const Start& start, ErrorKind refusal, Instant now);

    /// Adds an attempt that has no lease: one found on the worker, or one whose end is to be recorded.
    HeldAttempt& adopt(const AttemptKey& key);

    /// Extends the lease to `echo` + `lease`. Returns false and changes nothing if the stamp is from another
    /// incarnation or in the future, if the attempt is stopping or ended, or if the old or the new lease has lapsed. A
    /// lease that would not end later than the current one also changes nothing, but returns true.
    bool renew(const AttemptKey& key, const Stamp& echo, Duration lease, Instant now);

    /// Longest lease that the worker may be given now: `Limits::workerLease`, cut to end at the end of the attempt
    /// lease less the drift margin; 0 when no time or no attempt lease is left.
    Duration workerLease(const HeldAttempt& attempt, Instant now) const;

    /// Whether the attempt lease less the drift margin has ended; the worker lease must have ended by then.
    bool isLapsed(const HeldAttempt& attempt, Instant now) const;

    /// Whether a quarter or less of the lease is left.
    static bool isLeaseLow(const HeldAttempt& attempt, Instant now);

    /// Ends the attempt; a second end changes nothing.
    void end(HeldAttempt& attempt, EndReason reason, std::string result, Instant now);

    /// Records that an owner has acknowledged the end. False when there is no such ended attempt.
    bool acknowledge(const AttemptKey& key);

    /// Removes ended attempts whose retention time has passed and that the worker no longer lists. An attempt that the
    /// worker still lists is kept; without it, the listed task would be treated as one of a previous agent process.
    void purgeEnded(Instant now);

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
