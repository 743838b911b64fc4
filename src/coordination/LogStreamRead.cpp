#include "base/Log.h"
#include "coordination/LogStreamCore.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    /// Delay between searches for a snapshot while the state is lost. Each search reads all retained snapshots.
    constexpr Duration stateLostRetryDelay { 5000 };

    const LogRecord* recordAt(const LogPage& page, uint64_t offset)
    {
        const auto found = std::ranges::find(page.records, offset, &LogRecord::offset);
        return found == page.records.end() ? nullptr : &*found;
    }

} // namespace

void LogStream::Core::startRead()
{
    if (m_reading || m_clock.now() < m_nextReadAt)
        return;
    m_reading = true;
    switch (m_source) {
    case Source::SnapshotEnd:
        readSnapshotStream(0);
        break;
    case Source::Snapshot:
        readSnapshotStream(*m_snapshotCandidate);
        break;
    case Source::Stream:
        readStream();
        break;
    }
}

void LogStream::Core::readSnapshotStream(uint64_t from)
{
    m_log.read(m_snapshotStream, from, 1, [weak = weak_from_this()](std::optional<LogPage> page) {
        const std::shared_ptr<Core> core = weak.lock();
        if (!core || core->m_closed)
            return;
        core->m_reading = false;
        core->snapshotReadEnded(std::move(page));
        core->tick();
    });
}

void LogStream::Core::readStream()
{
    const StreamRead read { m_clock.now(), m_fold.nextOffset(), ++m_reads };
    m_log.read(m_settings.name, read.from, m_readLimit, [weak = weak_from_this(), read](std::optional<LogPage> page) {
        const std::shared_ptr<Core> core = weak.lock();
        if (!core || core->m_closed)
            return;
        core->m_reading = false;
        core->streamReadEnded(read, std::move(page));
        core->tick();
    });
}

/// Halves the page size for the next read, because a page too large to be answered in time would fail forever.
void LogStream::Core::readFailed()
{
    m_counters.add("log_reads_failed");
    m_readLimit = std::max<size_t>(1, m_readLimit / 2);
    m_nextReadAt = m_clock.now() + m_settings.retryDelay;
}

void LogStream::Core::readAnswered()
{
    // While appends get no answer, an answered read does not indicate that waiting records can be stored.
    if (!m_batch || !m_batch->mayBeStored)
        m_lastAnswerAt = m_clock.now();
    m_readLimit = std::min(maxReadRecords, m_readLimit * 2);
}

void LogStream::Core::snapshotReadEnded(std::optional<LogPage> page)
{
    if (!page) {
        readFailed();
        return;
    }
    readAnswered();
    // The state of a peer was adopted while this read was in flight.
    if (m_source == Source::Stream)
        return;
    if (m_source == Source::SnapshotEnd)
        m_snapshotsEnd = page->end;
    if (page->first >= page->end || (m_snapshotCandidate && *m_snapshotCandidate < page->first)) {
        endSnapshotSearch();
        return;
    }
    if (m_source == Source::SnapshotEnd) {
        m_snapshotCandidate = page->end - 1;
        m_source = Source::Snapshot;
        if (!recordAt(*page, *m_snapshotCandidate))
            return;
    }
    loadCandidate(*page);
}

/// Loads the snapshot candidate. On failure the snapshot before it becomes the next candidate.
void LogStream::Core::loadCandidate(const LogPage& page)
{
    const LogRecord* record = recordAt(page, *m_snapshotCandidate);
    if (record && load(Json::parse(record->data, nullptr, false), "log")) {
        m_source = Source::Stream;
        return;
    }
    if (*m_snapshotCandidate == page.first)
        endSnapshotSearch();
    else
        --*m_snapshotCandidate;
}

void LogStream::Core::endSnapshotSearch()
{
    m_snapshotsTried = true;
    m_snapshotCandidate.reset();
    m_source = Source::Stream;
}

void LogStream::Core::streamReadEnded(const StreamRead& read, std::optional<LogPage> page)
{
    if (!page) {
        readFailed();
        return;
    }
    readAnswered();
    if (page->first > m_fold.nextOffset()) {
        handleTrimmedRecords(page->first);
        return;
    }
    m_snapshotsTried = false;
    m_snapshotCandidate.reset();
    m_failedSearchEnd.reset();
    m_stateLost = false;
    foldPage(*page);
    pageFolded(read, page->end);
}

/// Called when records that are not folded yet have been trimmed. Tries the retained snapshots from last to first.
void LogStream::Core::handleTrimmedRecords(uint64_t first)
{
    m_caughtUp = false;
    if (m_snapshotsTried) {
        handleFailedSearch(first);
    } else if (m_snapshotCandidate && *m_snapshotCandidate > 0) {
        m_source = Source::Snapshot;
        --*m_snapshotCandidate;
    } else {
        m_source = Source::SnapshotEnd;
        m_snapshotCandidate.reset();
    }
}

/// Snapshots may be written and trimmed during a search. Therefore the state counts as lost only when two searches in a
/// row fail with the same end of the snapshot stream.
void LogStream::Core::handleFailedSearch(uint64_t first)
{
    m_source = Source::SnapshotEnd;
    m_snapshotsTried = false;
    if (m_failedSearchEnd != m_snapshotsEnd) {
        m_failedSearchEnd = m_snapshotsEnd;
        return;
    }
    if (!m_stateLost) {
        LogEvent(LogLevel::Error, "state_lost")
            .field("stream", m_settings.name)
            .field("next_offset", m_fold.nextOffset())
            .field("first_retained", first);
    }
    m_stateLost = true;
    m_nextReadAt = m_clock.now() + stateLostRetryDelay;
}

void LogStream::Core::foldPage(const LogPage& page)
{
    for (const LogRecord& record : page.records) {
        if (record.offset < m_fold.nextOffset())
            continue;
        if (record.offset > m_fold.nextOffset())
            return;
        foldBatch(record.offset, record.data);
    }
}

void LogStream::Core::pageFolded(const StreamRead& read, uint64_t end)
{
    const uint64_t next = m_fold.nextOffset();
    if (end < read.from) {
        // The log ends before records that it returned earlier: it was replaced or has lost data. The state is kept.
        m_counters.add("log_end_behind_state");
        m_caughtUp = false;
        m_nextReadAt = m_clock.now() + m_settings.retryDelay;
    } else if (end == next) {
        tailReached(read);
    } else if (end < next) {
        // The answer to an own append, sent later, arrived before the answer to this read.
        m_nextReadAt = m_clock.now() + m_settings.pollInterval;
    } else if (next == read.from) {
        readFailed();
    } else {
        m_nextReadAt = m_clock.now();
    }
}

void LogStream::Core::tailReached(const StreamRead& read)
{
    m_caughtUp = true;
    m_wasCaughtUp = true;
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, read.sentAt) : read.sentAt;
    m_nextReadAt = read.sentAt + m_settings.pollInterval;
    if (m_batch && m_batch->phase == BatchPhase::ReadBack && read.number > m_batch->readsBefore)
        m_batch->phase = BatchPhase::ToSend;
}

} // namespace hemlocklead
