#pragma once

#include "base/Clock.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlocklead {

/// Leases that an owner sent for its shard's open attempts, on the owner's clock, and what agents said about them.
/// Decides when an attempt can no longer run.
class LeaseBook {
public:
    struct Settings {
        Duration lease { 20'000 }; ///< L
        Duration margin { 1000 }; ///< Allowance for clock drift.
        Duration authority { 5000 }; ///< D
        Duration startFreshness { 2000 }; ///< F
        /// Time between an agent's keepalive without the attempt and the conclusion from it. The agent's report of
        /// the end, with its token and result, may be on its way over a connection that was just made.
        Duration confirmationGrace { 1500 };
    };

    explicit LeaseBook(Settings settings);

    /// Adds an attempt that this owner assigned; no lease has been sent yet.
    void add(const AttemptKey& key);

    /// Adds an attempt that was open when this owner read its own claim back, at `claimReadAt`. The former owner may
    /// have sent leases for D after that.
    void adopt(const AttemptKey& key, Instant claimReadAt);

    void remove(const AttemptKey& key);
    void clear();

    /// Notes that a Start or Renew was sent at `now`. `echo` is the agent's stamp in a Start, nullopt for a Renew.
    void noteSent(const AttemptKey& key, Instant now, std::optional<Stamp> startEcho = std::nullopt);

    /// Notes that the agent listed the attempt in a message with `stamp`.
    void noteListed(const AttemptKey& key, const Stamp& stamp);

    /// Notes a settled and full keepalive without the attempt. It proves the end only if no Start that is still on its
    /// way can take effect: the keepalive is of a later incarnation than the start's echo or of a stamp beyond F after
    /// it. A Start of a former owner is bounded only once the agent has listed the attempt.
    void noteAbsent(const AttemptKey& key, const Stamp& stamp, Instant now);

    /// Whether the attempt can run nowhere any more: by the leases sent, or by the agent's confirmation.
    bool isProvedEnded(const AttemptKey& key, Instant now) const;

    /// Time of the last lease sent for the attempt, if any.
    std::optional<Instant> lastSent(const AttemptKey& key) const;

    size_t size() const { return m_leases.size(); }

private:
    struct Lease {
        std::optional<Instant> lastSent;
        std::optional<Instant> claimReadAt; ///< Set for adopted attempts.
        std::optional<Stamp> startEcho; ///< Latest stamp that a Start can have echoed.
        std::optional<Instant> absentSince;
    };

    bool hasExpired(const Lease& lease, Instant now) const;

    Settings m_settings;
    std::map<AttemptKey, Lease> m_leases;
};

} // namespace hemlocklead
