#include "dispatch/JournalFollower.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlocklead::dispatch {

JournalFollower::JournalFollower(
    JournalService& journal, Timers& timers, const Clock& clock, JournalReader& reader, Settings settings)
    : m_journal(journal)
    , m_timers(timers)
    , m_clock(clock)
    , m_reader(reader)
    , m_settings(settings)
{
}

void JournalFollower::start() { restart(); }

void JournalFollower::restart()
{
    ++m_generation;
    m_caughtUp = false;
    m_afterKey.clear();
    m_firstPageEnd.reset();
    m_reader.reset();
    readPage();
}

void JournalFollower::schedule(Duration delay, void (JournalFollower::*step)())
{
    m_timers.after(delay, [this, step, generation = m_generation] {
        if (generation == m_generation)
            (this->*step)();
    });
}

void JournalFollower::readPage()
{
    m_journal.newest(m_afterKey, m_settings.timeout, [this, generation = m_generation](NewestPage page) {
        if (generation == m_generation)
            handlePage(std::move(page));
    });
}

void JournalFollower::handlePage(NewestPage page)
{
    if (!page.ok) {
        markFailed();
        return schedule(m_settings.retry, &JournalFollower::readPage);
    }
    markHealthy();
    // The pages are not a consistent snapshot: records from the end of the first page on are read again by offset.
    if (!m_firstPageEnd)
        m_firstPageEnd = page.end;
    for (const JournalRecord& record : page.records)
        m_reader.apply(record);
    if (page.hasMore && !page.records.empty()) {
        m_afterKey = page.records.back().key;
        return readPage();
    }
    m_nextOffset = *m_firstPageEnd;
    readNext();
}

void JournalFollower::readNext()
{
    const Instant sentAt = m_clock.now();
    const Duration wait = m_caughtUp ? m_settings.maxReadWait : Duration { 0 };
    m_journal.read(m_nextOffset, wait, wait + m_settings.timeout,
        [this, sentAt, generation = m_generation](const ReadResult& result) {
            if (generation == m_generation)
                handleRecords(result, sentAt);
        });
}

void JournalFollower::handleRecords(const ReadResult& result, Instant sentAt)
{
    if (result.status == ReadResult::Status::Expired) {
        LogEvent(LogLevel::Warning, "journal_history_lost").field("offset", m_nextOffset);
        return restart();
    }
    if (result.status == ReadResult::Status::Unavailable) {
        markFailed();
        return schedule(m_settings.retry, &JournalFollower::readNext);
    }
    markHealthy();
    for (const JournalRecord& record : result.records) {
        m_nextOffset = std::max(m_nextOffset, record.offset + 1);
        m_reader.apply(record);
    }
    const bool atEnd = m_nextOffset >= result.end;
    if (atEnd) {
        m_freshAsOf = sentAt;
        m_caughtUp = true;
    }
    const uint64_t generation = m_generation;
    if (m_caughtUp)
        m_reader.caughtUp();
    // The reader may have restarted the follower.
    if (generation != m_generation)
        return;
    if (!atEnd)
        return readNext();
    const Duration elapsed = m_clock.now() - sentAt;
    if (elapsed >= m_settings.minReadInterval)
        return readNext();
    schedule(m_settings.minReadInterval - elapsed, &JournalFollower::readNext);
}

void JournalFollower::markFailed()
{
    if (m_healthySince)
        LogEvent(LogLevel::Warning, "journal_lost").field("offset", m_nextOffset);
    m_healthySince.reset();
}

void JournalFollower::markHealthy()
{
    if (m_healthySince)
        return;
    m_healthySince = m_clock.now();
    LogEvent(LogLevel::Info, "journal_reached").field("offset", m_nextOffset);
}

} // namespace hemlocklead::dispatch
