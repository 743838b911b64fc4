#pragma once

#include "dispatch/Journal.h"

namespace hemlocklead::dispatch {

/// Receives the records that a follower reads. Records are passed in the order of offsets after the first pages.
class JournalReader {
public:
    virtual ~JournalReader() = default;

    /// Discards all applied records: the journal is read again from the newest records, at the start, on request or
    /// because the store no longer retains the next offset.
    virtual void reset() = 0;
    virtual void apply(const JournalRecord& record) = 0;

    /// The records applied so far are up to date. Called after each read of records once the first pages and the
    /// records up to their end have been applied.
    virtual void caughtUp() = 0;
};

/// Applies a journal to a reader: first the newest record of each key, then every new record.
class JournalFollower {
public:
    struct Settings {
        Duration minReadInterval { 100 }; ///< From one read to the next, so that a busy journal costs few calls.
        Duration maxReadWait { 1000 }; ///< Longest time that a read waits for a record; limits the age of the view.
        /// Time for an answer beyond the wait, or for the next bytes of a page; then the connection is abandoned.
        Duration timeout { 1500 };
        Duration retry { 200 }; ///< Delay after a failed call.
    };

    JournalFollower(
        JournalService& journal, Timers& timers, const Clock& clock, JournalReader& reader, Settings settings);
    JournalFollower(const JournalFollower&) = delete;
    JournalFollower& operator=(const JournalFollower&) = delete;

    void start();

    /// Reads everything again from the newest records.
    void restart();

    void setMinReadInterval(Duration minReadInterval) { m_settings.minReadInterval = minReadInterval; }

    /// Whether the first pages and the records up to their end have been applied.
    bool isCaughtUp() const { return m_caughtUp; }

    /// Number of times that the journal was read from the start, including the first.
    uint64_t restarts() const { return m_generation; }

    /// Every record that the store acknowledged before this instant has been applied.
    Instant freshAsOf() const { return m_freshAsOf; }

    /// Time since which every call has succeeded; empty after a failed call.
    std::optional<Instant> healthySince() const { return m_healthySince; }

    uint64_t nextOffset() const { return m_nextOffset; }

private:
    void readPage();
    void handlePage(NewestPage page);
    void readNext();
    void handleRecords(const ReadResult& result, Instant sentAt);
    void markFailed();
    void markHealthy();
    void schedule(Duration delay, void (JournalFollower::*step)());

    JournalService& m_journal;
    Timers& m_timers;
    const Clock& m_clock;
    JournalReader& m_reader;
    Settings m_settings;
    uint64_t m_generation { 0 }; ///< Answers and timers of an earlier generation are ignored.
    bool m_caughtUp { false };
    std::string m_afterKey;
    std::optional<uint64_t> m_firstPageEnd;
    uint64_t m_nextOffset { 0 };
    Instant m_freshAsOf {};
    std::optional<Instant> m_healthySince;
};

} // namespace hemlocklead::dispatch
