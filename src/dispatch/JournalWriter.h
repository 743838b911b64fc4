#pragma once

#include "dispatch/Journal.h"

namespace hemlocklead::dispatch {

/// Appends records under one owner epoch, one append at a time, and repeats each until the store has answered it.
class JournalWriter {
public:
    struct Settings {
        Duration timeout { 1000 }; ///< Shortest time for an answer; then the connection is abandoned.

        /// The time for an answer doubles up to this with each append that is not answered. The store may hold an
        /// append in its queue for 2 s; a repeat that is sent earlier only makes the queue longer.
        Duration maxTimeout { 4000 };
        Duration retry { 100 }; ///< First delay before a repeat; doubles up to `maxRetry`.
        Duration maxRetry { 800 };
    };

    JournalWriter(JournalService& journal, Timers& timers, const Clock& clock, Settings settings);
    JournalWriter(const JournalWriter&) = delete;
    JournalWriter& operator=(const JournalWriter&) = delete;

    /// Starts writing under `epoch`. `onFenced` is called at most once, when the store has seen a higher epoch or
    /// rejects an append; the writer is closed then.
    void open(uint64_t epoch, std::function<void()> onFenced);

    /// Abandons the append in flight; its callback is not called.
    void close();

    bool isOpen() const { return m_open; }
    bool isIdle() const { return m_open && !m_inFlight; }

    /// Appends the records; `onDurable` is called once they are recorded. The writer must be idle.
    void commit(std::vector<JournalRecord> records, std::function<void()> onDurable);

    uint64_t epoch() const { return m_epoch; }

    /// When the last successful append was first sent without being refused; the store had seen no higher epoch before
    /// that.
    Instant epochConfirmedAt() const { return m_epochConfirmedAt; }

private:
    void send();
    void handleAnswer(AppendStatus status, Instant sentAt);

    JournalService& m_journal;
    Timers& m_timers;
    const Clock& m_clock;
    Settings m_settings;
    std::function<void()> m_onFenced;
    bool m_open { false };
    uint64_t m_generation { 0 }; ///< Answers of an earlier generation are ignored.
    uint64_t m_epoch { 0 };
    uint64_t m_sequence { 0 };
    bool m_inFlight { false };
    Duration m_retryDelay { 0 };
    Duration m_timeout { 0 }; ///< For the next append.
    std::vector<JournalRecord> m_records;
    std::function<void()> m_onDurable;
    /// When the append in flight was first sent without an answer; the store may have recorded it then.
    std::optional<Instant> m_mayBeRecordedSince;
    Instant m_epochConfirmedAt {};
};

} // namespace hemlocklead::dispatch
