#pragma once

#include "base/Clock.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlocklead {

/// Tracks the leases that an owner has sent for its shard's open attempts, on the owner's clock, and what agents have
/// reported about these attempts. Decides when an attempt can no longer run.
class LeaseTracker {
public:
    struct Settings {
        Duration lease { 20'000 }; ///< Length of an attempt lease (L).
        Duration margin { 1000 }; ///< Allowance for clock drift.
        Duration authority { 5000 }; ///< Longest time for which a former owner can still send leases (D).
        Duration startFreshness { 2000 }; ///< Maximum age of the view that a Start is based on (F).
        /// Time from the first keepalive that proves the attempt's end until the end is concluded. The agent's report
        /// of the end, with its token and result, may still be in transit over a connection that was just made.
        Duration confirmationGrace { 1500 };
    };

    explicit LeaseTracker(Settings settings);

    /// Adds an attempt that this owner assigned; no lease has been sent yet.
    void add(const AttemptKey& key);

    /// Adds an attempt that was open when this owner read its own claim back from the log, at `claimReadAt`. The former
    /// owner may have sent leases until `Settings::authority` after that time.
    void adopt(const AttemptKey& key, Instant claimReadAt);

    void remove(const AttemptKey& key);
    void clear();

    /// Records that a Start or Renew was sent at `now`. `startEcho` is the agent's stamp in a Start, nullopt for a
    /// Renew.
    void noteSent(const AttemptKey& key, Instant now, std::optional<Stamp> startEcho = std::nullopt);

    /// Records that the agent listed the attempt in a message with `stamp`.
    void noteListed(const AttemptKey& key, const Stamp& stamp);

    /// Records a settled and full keepalive that does not list the attempt. It proves the end only if no Start still in
    /// transit can take effect: the keepalive is from another incarnation than the stamp that the Start echoed, or more
    /// than `Settings::startFreshness` later. For a Start that a former owner sent, no such stamp is known until the
    /// agent has listed the attempt.
    void noteAbsent(const AttemptKey& key, const Stamp& stamp, Instant now);

    /// Whether the attempt can no longer run anywhere: all its leases have expired, or the agent has confirmed the end.
    bool hasProvablyEnded(const AttemptKey& key, Instant now) const;

    /// Time of the last lease sent for the attempt, if any.
    std::optional<Instant> lastSent(const AttemptKey& key) const;

    size_t size() const { return m_leases.size(); }

private:
    struct Lease {
        std::optional<Instant> lastSent;
        std::optional<Instant> claimReadAt; ///< Set for adopted attempts.
        std::optional<Stamp> startEcho; ///< Latest stamp that a Start can have echoed.
        std::optional<Instant> absentSince; ///< Time of the first keepalive that proves the end.
    };

    bool hasExpired(const Lease& lease, Instant now) const;

    Settings m_settings;
    std::map<AttemptKey, Lease> m_leases;
};

} // namespace hemlocklead
