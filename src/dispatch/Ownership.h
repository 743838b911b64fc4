#pragma once

#include "dispatch/JobRegistry.h"
#include "dispatch/JournalWriter.h"

namespace hemlocklead::dispatch {

/// Tracks which entry owns the jobs and claims the ownership when the owner has failed or released it.
///
/// The owner writes a record at least every `heartbeatInterval`. An entry whose own reads of the journal succeed but
/// that sees no record of the owner for `ownerTimeout` claims with a higher epoch, which fences every later append of
/// the former owner. Of several entries the one with the largest processor share claims first.
class Ownership {
public:
    struct Settings {
        std::string entry;
        uint64_t incarnation { 0 }; ///< Random per process.
        Duration heartbeatInterval { 700 };
        Duration ownerTimeout { 2200 }; ///< Tolerates three late heartbeats.

        /// Claim delay per entry with a larger processor share, which lets that entry claim first: others see a claim
        /// after about 20 ms.
        Duration delayPerRank { 250 };

        /// An entry claims only if its view of the journal is no older than this.
        Duration maxViewAge { 1500 };
    };

    struct Callbacks {
        std::function<void(uint64_t epoch, bool formerStopped)> onAcquired;
        std::function<void()> onLost;
    };

    Ownership(JobRegistry& registry, JournalFollower& follower, JournalWriter& writer, const Clock& clock,
        Settings settings, Callbacks callbacks);
    Ownership(const Ownership&) = delete;
    Ownership& operator=(const Ownership&) = delete;

    /// Claims the ownership, completes a claim or sends the owner's heartbeat. Called every few tens of milliseconds.
    void tick();

    bool isOwner() const { return m_phase == Phase::Owner; }

    /// Releases the ownership before a planned shutdown; `onReleased` is called once the release is recorded.
    void release(std::function<void()> onReleased);

private:
    enum class Phase : uint8_t { Following, Claiming, Owner, Releasing };

    bool ownerIsGone() const;
    bool hasFormerOwnerStopped() const;
    size_t claimRank() const;
    void claim();
    void completeClaim();
    void handleLoss();
    OwnerRecord record(bool released) const;

    JobRegistry& m_registry;
    JournalFollower& m_follower;
    JournalWriter& m_writer;
    const Clock& m_clock;
    Settings m_settings;
    Callbacks m_callbacks;
    Phase m_phase { Phase::Following };
    std::optional<Instant> m_ownerGoneSince; ///< When this entry first saw that the owner is gone.
    bool m_formerStopped { false };
    bool m_claimRecorded { false };
    uint64_t m_restartsAtClaim { 0 }; ///< Restarts of the follower when the ownership was acquired.
};

} // namespace hemlocklead::dispatch
