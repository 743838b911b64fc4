#pragma once

#include "dispatch/Journal.h"

namespace hemlocklead::dispatch {

/// Appends of one owner epoch, one at a time, each repeated until the store has answered it.
class JournalWriter {
public:
    struct Settings {
        Duration timeout { 1000 }; ///< For one answer; a silent connection is given up after it.
        Duration retry { 100 }; ///< First pause before a repeat; doubles up to `maxRetry`.
        Duration maxRetry { 800 };
    };

    JournalWriter(JournalService& journal, Delays& delays, const Clock& clock, Settings settings);
    JournalWriter(const JournalWriter&) = delete;
    JournalWriter& operator=(const JournalWriter&) = delete;

    /// Starts to write under `epoch`. `onFenced` is called once, when a higher epoch exists.
    void open(uint64_t epoch, std::function<void()> onFenced);

    /// Drops the append under way; its callback is not called.
    void close();

    bool isOpen() const { return m_open; }
    bool isIdle() const { return m_open && !m_inFlight; }

    /// Appends the records; `onDurable` is called once they are recorded. The writer must be idle.
    void commit(std::vector<JournalRecord> records, std::function<void()> onDurable);

    uint64_t epoch() const { return m_epoch; }

    /// When the last append that succeeded was sent: until then no higher epoch existed.
    Instant provenAt() const { return m_provenAt; }

private:
    void send();
    void answered(AppendStatus status, Instant sentAt);

    JournalService& m_journal;
    Delays& m_delays;
    const Clock& m_clock;
    Settings m_settings;
    std::function<void()> m_onFenced;
    bool m_open { false };
    uint64_t m_generation { 0 }; ///< Answers of an earlier generation are ignored.
    uint64_t m_epoch { 0 };
    uint64_t m_sequence { 0 };
    bool m_inFlight { false };
    Duration m_pause { 0 };
    std::vector<JournalRecord> m_records;
    std::function<void()> m_onDurable;
    Instant m_provenAt {};
};

} // namespace hemlocklead::dispatch
