#pragma once

#include "dispatch/Journal.h"

namespace hemlocklead::dispatch {

/// Receives what a follower reads, in the order of offsets after the first pages.
class JournalReader {
public:
    virtual ~JournalReader() = default;

    /// Everything applied so far is void: the history was lost and is read again from the newest records.
    virtual void reset() = 0;
    virtual void apply(const JournalRecord& record) = 0;

    /// The records applied so far are up to date. Called after the first pages and after each read.
    virtual void caughtUp() = 0;
};

/// Keeps a reader up to date with a journal: the newest record of each key first, then every new record.
class JournalFollower {
public:
    struct Settings {
        Duration pause { 100 }; ///< Shortest time between two reads, so that a busy journal costs few calls.
        Duration wait { 1000 }; ///< Longest time that a read waits for a record; bounds the age of the view.
        Duration timeout { 1500 }; ///< Time for an answer beyond `wait`; a silent connection is given up after it.
        Duration retry { 200 }; ///< Pause after a failed call.
    };

    JournalFollower(
        JournalService& journal, Delays& delays, const Clock& clock, JournalReader& reader, Settings settings);
    JournalFollower(const JournalFollower&) = delete;
    JournalFollower& operator=(const JournalFollower&) = delete;

    void start();

    /// Reads everything again from the newest records.
    void restart();

    void setPause(Duration pause) { m_settings.pause = pause; }

    /// Whether the first pages and the records up to their end have been applied.
    bool isCaughtUp() const { return m_caughtUp; }

    /// Counts how often everything was read anew.
    uint64_t restarts() const { return m_generation; }

    /// Every record that the store acknowledged before this instant has been applied.
    Instant freshAsOf() const { return m_freshAsOf; }

    /// Since when every call has been answered; nothing while calls fail.
    std::optional<Instant> healthySince() const { return m_healthySince; }

    uint64_t nextOffset() const { return m_next; }

private:
    void readPage();
    void pageRead(NewestPage page);
    void readNext();
    void recordsRead(const ReadResult& result, Instant sentAt);
    void failed();
    void succeeded();
    void later(Duration delay, void (JournalFollower::*step)());

    JournalService& m_journal;
    Delays& m_delays;
    const Clock& m_clock;
    JournalReader& m_reader;
    Settings m_settings;
    uint64_t m_generation { 0 }; ///< Calls of an earlier generation are ignored.
    bool m_caughtUp { false };
    std::string m_after;
    std::optional<uint64_t> m_firstEnd;
    uint64_t m_next { 0 };
    Instant m_freshAsOf {};
    std::optional<Instant> m_healthySince;
};

} // namespace hemlocklead::dispatch
