#pragma once

#include "dispatch/JobRegistry.h"
#include "dispatch/JournalWriter.h"

namespace hemlocklead::dispatch {

/// Follows who owns the jobs and claims them when the owner is gone.
///
/// The owner writes at least every `beat`. An entry whose own reads of the journal succeed and that sees no record of
/// the owner for `silence` claims with a higher epoch, which fences every later append of the former owner. Of several
/// entries the one with most processor claims first.
class Ownership {
public:
    struct Settings {
        std::string entry;
        uint64_t incarnation { 0 }; ///< Random per process.
        Duration beat { 700 };
        Duration silence { 2200 }; ///< Three beats may be late.
        Duration rankDelay { 250 }; ///< Head start of each stronger entry: a claim takes about 20 ms to be seen.
        Duration viewAge { 1500 }; ///< A claimant's view of the journal is no older.
    };

    struct Callbacks {
        std::function<void(uint64_t epoch, bool formerStopped)> onAcquired;
        std::function<void()> onLost;
    };

    Ownership(JobRegistry& book, JournalFollower& follower, JournalWriter& writer, const Clock& clock,
        Settings settings, Callbacks callbacks);
    Ownership(const Ownership&) = delete;
    Ownership& operator=(const Ownership&) = delete;

    /// Claims, completes a claim or keeps the owner's record fresh. Called every few tens of milliseconds.
    void tick();

    bool isOwner() const { return m_phase == Phase::Owner; }

    /// Gives the jobs up, for a planned stop; `onReleased` is called once others can see it.
    void release(std::function<void()> onReleased);

private:
    enum class Phase : uint8_t { Following, Claiming, Owner, Releasing };

    bool ownerIsGone() const;
    bool formerOwnerHasStopped() const;
    size_t rank() const;
    void claim();
    void completeClaim();
    void lost();
    OwnerRecord record(bool released) const;

    JobRegistry& m_book;
    JournalFollower& m_follower;
    JournalWriter& m_writer;
    const Clock& m_clock;
    Settings m_settings;
    Callbacks m_callbacks;
    Phase m_phase { Phase::Following };
    std::optional<Instant> m_goneSince; ///< Since when the owner has been seen to be gone.
    bool m_formerStopped { false };
    bool m_claimRecorded { false };
    uint64_t m_restartsAtClaim { 0 }; ///< Of the follower, when the ownership was acquired.
};

} // namespace hemlocklead::dispatch
