#include "dispatch/JournalWriter.h"

#include "base/Log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hemlocklead::dispatch {

JournalWriter::JournalWriter(JournalService& journal, Timers& timers, const Clock& clock, Settings settings)
    : m_journal(journal)
    , m_timers(timers)
    , m_clock(clock)
    , m_settings(settings)
    , m_timeout(settings.timeout)
{
}

void JournalWriter::open(uint64_t epoch, std::function<void()> onFenced)
{
    close();
    m_open = true;
    m_epoch = epoch;
    m_sequence = 0;
    m_onFenced = std::move(onFenced);
}

void JournalWriter::close()
{
    ++m_generation;
    m_open = false;
    m_inFlight = false;
    m_records.clear();
    m_onDurable = nullptr;
}

void JournalWriter::commit(std::vector<JournalRecord> records, std::function<void()> onDurable)
{
    assert(isIdle());
    m_inFlight = true;
    ++m_sequence;
    m_retryDelay = m_settings.retry;
    m_mayBeRecordedSince.reset();
    m_records = std::move(records);
    m_onDurable = std::move(onDurable);
    send();
}

void JournalWriter::send()
{
    const Instant sentAt = m_clock.now();
    m_journal.append(m_records, AppendFence { m_epoch, m_sequence }, m_timeout,
        [this, sentAt, generation = m_generation](AppendStatus status) {
            if (generation == m_generation)
                handleAnswer(status, sentAt);
        });
}

void JournalWriter::handleAnswer(AppendStatus status, Instant sentAt)
{
    if (status == AppendStatus::Done) {
        m_inFlight = false;
        // The store answers a repeat with the outcome of the append that it recorded, whatever has followed since.
        m_epochConfirmedAt = m_mayBeRecordedSince.value_or(sentAt);
        // Four times the time that this answer took leaves room for the next one to take longer.
        m_timeout = std::clamp(4 * (m_clock.now() - sentAt), m_settings.timeout, m_settings.maxTimeout);
        m_records.clear();
        const std::function<void()> onDurable = std::exchange(m_onDurable, nullptr);
        return onDurable();
    }
    if (status == AppendStatus::Fenced || status == AppendStatus::Rejected) {
        LogEvent(LogLevel::Warning, "append_refused")
            .field("epoch", m_epoch)
            .field("sequence", m_sequence)
            .field("reason", status == AppendStatus::Fenced ? "fenced" : "rejected");
        const std::function<void()> onFenced = std::exchange(m_onFenced, nullptr);
        close();
        return onFenced();
    }
    if (status == AppendStatus::Unknown) {
        m_timeout = std::min(2 * m_timeout, m_settings.maxTimeout);
        if (!m_mayBeRecordedSince)
            m_mayBeRecordedSince = sentAt;
    }
    // Repeats the append with the same sequence number; if the first append was recorded, the store answers with its
    // outcome and does not record it again.
    LogEvent(LogLevel::Warning, "append_unanswered")
        .field("epoch", m_epoch)
        .field("sequence", m_sequence)
        .field("refused", status == AppendStatus::NotDone ? 1 : 0);
    m_timers.after(m_retryDelay, [this, generation = m_generation] {
        if (generation == m_generation)
            send();
    });
    m_retryDelay = std::min(2 * m_retryDelay, m_settings.maxRetry);
}

} // namespace hemlocklead::dispatch
