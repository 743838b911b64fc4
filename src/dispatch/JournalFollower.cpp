#include "dispatch/JournalFollower.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlocklead::dispatch {

JournalFollower::JournalFollower(
    JournalService& journal, Delays& delays, const Clock& clock, JournalReader& reader, Settings settings)
    : m_journal(journal)
    , m_delays(delays)
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
    m_after.clear();
    m_firstEnd.reset();
    m_reader.reset();
    readPage();
}

void JournalFollower::later(Duration delay, void (JournalFollower::*step)())
{
    m_delays.after(delay, [this, step, generation = m_generation] {
        if (generation == m_generation)
            (this->*step)();
    });
}

void JournalFollower::readPage()
{
    m_journal.newest(m_after, m_settings.timeout, [this, generation = m_generation](NewestPage page) {
        if (generation == m_generation)
            pageRead(std::move(page));
    });
}

void JournalFollower::pageRead(NewestPage page)
{
    if (!page.ok) {
        failed();
        return later(m_settings.retry, &JournalFollower::readPage);
    }
    succeeded();
    // Pages are no snapshot: everything from the end of the first one is read again as history.
    if (!m_firstEnd)
        m_firstEnd = page.end;
    for (const JournalRecord& record : page.records)
        m_reader.apply(record);
    if (page.hasMore && !page.records.empty()) {
        m_after = page.records.back().key;
        return readPage();
    }
    m_next = *m_firstEnd;
    readNext();
}

void JournalFollower::readNext()
{
    const Instant sentAt = m_clock.now();
    const Duration wait = m_caughtUp ? m_settings.wait : Duration { 0 };
    m_journal.read(
        m_next, wait, wait + m_settings.timeout, [this, sentAt, generation = m_generation](const ReadResult& result) {
            if (generation == m_generation)
                recordsRead(result, sentAt);
        });
}

void JournalFollower::recordsRead(const ReadResult& result, Instant sentAt)
{
    if (result.status == ReadResult::Status::Expired) {
        LogEvent(LogLevel::Warning, "journal_history_lost").field("offset", m_next);
        return restart();
    }
    if (result.status == ReadResult::Status::Unavailable) {
        failed();
        return later(m_settings.retry, &JournalFollower::readNext);
    }
    succeeded();
    for (const JournalRecord& record : result.records) {
        m_next = std::max(m_next, record.offset + 1);
        m_reader.apply(record);
    }
    const bool atEnd = m_next >= result.end;
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
    if (elapsed >= m_settings.pause)
        return readNext();
    later(m_settings.pause - elapsed, &JournalFollower::readNext);
}

void JournalFollower::failed()
{
    if (m_healthySince)
        LogEvent(LogLevel::Warning, "journal_lost").field("offset", m_next);
    m_healthySince.reset();
}

void JournalFollower::succeeded()
{
    if (m_healthySince)
        return;
    m_healthySince = m_clock.now();
    LogEvent(LogLevel::Info, "journal_reached").field("offset", m_next);
}

} // namespace hemlocklead::dispatch
