#pragma once

#include "dispatch/JobRegistry.h"
#include "dispatch/JournalWriter.h"

namespace hemlocklead::dispatch {

/// Tracks which entry owns the jobs and claims the ownership when the owner has failed or released it.
///
/// The owner writes a record at least every `heartbeatInterval`. An entry whose own reads of the journal succeed but
/// that sees no record of the owner for `ownerTimeout` first appends a candidacy. The store appends one record after
/// the other, so an append that a live owner sent before comes first, however slow the store is, and withdraws the
/// candidacy. Of several candidacies the first in the journal counts. The candidate then claims with a higher epoch,
/// which fences every later append of the former owner. docs/decisions/ownership.md weighs this against other evidence.
class Ownership {
public:
    struct Settings {
        std::string entry;
        uint64_t incarnation { 0 }; ///< Random per process.
        Duration heartbeatInterval { 700 };
        Duration ownerTimeout { 2200 }; ///< Tolerates three late heartbeats.

        /// Delay of a candidacy of the entry that one other precedes. It doubles with each further rank up to
        /// `ranksWithDoubledDelay` and then grows by this. Others see a candidacy after about 130 ms, but after up to 2
        /// s while the store's queue is long, and each candidacy makes the queue longer.
        Duration delayPerRank { 100 };
        int ranksWithDoubledDelay { 6 };

        /// Delay of the candidacy of an entry with less than half the processor share of the strongest one: as long as
        /// any strong entry is left, it is to own the jobs.
        Duration weakEntryDelay { 2000 };

        /// Time for the answer to a candidacy; the store queues an append for up to 2 s.
        Duration candidacyTimeout { 3000 };

        /// How long other entries wait for a candidate to claim: it checks every 100 ms and may be slow or stopped.
        Duration candidacyValidity { 1500 };

        /// The owner's silence must last this many times as long as the store took to record the candidacy, beyond
        /// `ownerTimeout`: an append that the store refused is repeated after it.
        int answerTimesBeforeClaim { 2 };

        /// An entry claims only if its view of the journal is no older than this.
        Duration maxViewAge { 1500 };
    };

    struct Callbacks {
        std::function<void(uint64_t epoch, bool formerStopped)> onAcquired;
        std::function<void()> onLost;
    };

    /// `journal` receives the candidacies; it is used only while this entry is not the owner.
    Ownership(JobRegistry& registry, JournalFollower& follower, JournalService& journal, JournalWriter& writer,
        const Clock& clock, Counters& counters, Settings settings, Callbacks callbacks);
    Ownership(const Ownership&) = delete;
    Ownership& operator=(const Ownership&) = delete;

    /// Claims the ownership, completes a claim or sends the owner's heartbeat. Called every few tens of milliseconds.
    void tick();

    bool isOwner() const { return m_phase == Phase::Owner; }

    /// Releases the ownership before a planned shutdown; `onReleased` is called once the release is recorded. An owner
    /// must not have an append in flight. The entry does not claim the ownership any more.
    void release(std::function<void()> onReleased);

private:
    enum class Phase : uint8_t { Following, Candidate, Claiming, Owner, Releasing };

    void follow();
    bool isViewFresh() const;
    bool ownerIsGone() const;
    bool isSilentFor(Duration silence) const;
    bool hasFormerOwnerStopped() const;
    Duration candidacyDelay() const;
    bool precedes(const std::string& name, const EntryMember& entry, double ownShare) const;
    void announceCandidacy();
    void completeCandidacy();
    void withdrawCandidacy(std::string_view reason);
    void claim();
    void completeClaim();
    void handleLoss();
    void commitRelease();
    OwnerRecord record(bool released) const;

    JobRegistry& m_registry;
    JournalFollower& m_follower;
    JournalService& m_journal;
    JournalWriter& m_writer;
    const Clock& m_clock;
    Counters& m_counters;
    Settings m_settings;
    Callbacks m_callbacks;
    Phase m_phase { Phase::Following };
    std::optional<Instant> m_ownerGoneSince; ///< When this entry first saw that the owner is gone.
    uint64_t m_candidacyNumber { 0 }; ///< Answers to earlier candidacies are ignored.
    std::optional<Duration> m_candidacyAnswerTime; ///< Empty while the candidacy is not recorded.
    Instant m_candidacyRecordedAt {}; ///< When the store's answer arrived.
    std::function<void()> m_onReleased;
    bool m_formerStopped { false };
    bool m_claimRecorded { false };
    uint64_t m_restartsAtClaim { 0 }; ///< Restarts of the follower when the ownership was acquired.
};

} // namespace hemlocklead::dispatch
