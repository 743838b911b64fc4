#include "base/Log.h"
#include "coordination/LogStreamCore.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    /// Between searches for a snapshot after none bridged the trimmed records; each search reads all of them.
    constexpr Duration stateLostRetry { 5000 };

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
        readSnapshotStream(*m_candidate);
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
        core->snapshotRead(std::move(page));
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
        core->streamRead(read, std::move(page));
        core->tick();
    });
}

/// A page that is too large to be answered in time would fail for ever, so the next one is smaller.
void LogStream::Core::readFailed()
{
    m_counters.add("log_reads_failed");
    m_readLimit = std::max<size_t>(1, m_readLimit / 2);
    m_nextReadAt = m_clock.now() + m_settings.retryDelay;
}

void LogStream::Core::readAnswered()
{
    // While appends fail, reads are no sign that waiting records will be stored.
    if (!m_batch || !m_batch->mayBeStored)
        m_lastAnswerAt = m_clock.now();
    m_readLimit = std::min(maxReadRecords, m_readLimit * 2);
}

void LogStream::Core::snapshotRead(std::optional<LogPage> page)
{
    if (!page) {
        readFailed();
        return;
    }
    readAnswered();
    // A peer's state was adopted in the meantime.
    if (m_source == Source::Stream)
        return;
    if (m_source == Source::SnapshotEnd)
        m_snapshotsEnd = page->end;
    if (page->first >= page->end || (m_candidate && *m_candidate < page->first)) {
        noSnapshotLeft();
        return;
    }
    if (m_source == Source::SnapshotEnd) {
        m_candidate = page->end - 1;
        m_source = Source::Snapshot;
        if (!recordAt(*page, *m_candidate))
            return;
    }
    takeSnapshot(*page);
}

/// Loads the candidate; on failure the one before it is the next candidate.
void LogStream::Core::takeSnapshot(const LogPage& page)
{
    const LogRecord* record = recordAt(page, *m_candidate);
    if (record && load(Json::parse(record->data, nullptr, false), "log")) {
        m_source = Source::Stream;
        return;
    }
    if (*m_candidate == page.first)
        noSnapshotLeft();
    else
        --*m_candidate;
}

void LogStream::Core::noSnapshotLeft()
{
    m_snapshotsTried = true;
    m_candidate.reset();
    m_source = Source::Stream;
}

void LogStream::Core::streamRead(const StreamRead& read, std::optional<LogPage> page)
{
    if (!page) {
        readFailed();
        return;
    }
    readAnswered();
    if (page->first > m_fold.nextOffset()) {
        gapFound(page->first);
        return;
    }
    m_snapshotsTried = false;
    m_candidate.reset();
    m_searchedEnd.reset();
    m_stateLost = false;
    foldPage(*page);
    pageFolded(read, page->end);
}

/// Records that are not folded yet have been trimmed. Snapshots are tried from the last to the first retained one.
void LogStream::Core::gapFound(uint64_t first)
{
    m_caughtUp = false;
    if (m_snapshotsTried) {
        searchFailed(first);
    } else if (m_candidate && *m_candidate > 0) {
        m_source = Source::Snapshot;
        --*m_candidate;
    } else {
        m_source = Source::SnapshotEnd;
        m_candidate.reset();
    }
}

/// Snapshots may be written and trimmed during a search, so the state counts as lost only when a second search finds
/// the snapshot stream with the same end.
void LogStream::Core::searchFailed(uint64_t first)
{
    m_source = Source::SnapshotEnd;
    m_snapshotsTried = false;
    if (m_searchedEnd != m_snapshotsEnd) {
        m_searchedEnd = m_snapshotsEnd;
        return;
    }
    if (!m_stateLost) {
        LogEvent(LogLevel::Error, "state_lost")
            .field("stream", m_settings.name)
            .field("next_offset", m_fold.nextOffset())
            .field("first_retained", first);
    }
    m_stateLost = true;
    m_nextReadAt = m_clock.now() + stateLostRetry;
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
        // The log ends below what it had answered before: another log or a loss there. Nothing is undone here.
        m_counters.add("log_end_behind_state");
        m_caughtUp = false;
        m_nextReadAt = m_clock.now() + m_settings.retryDelay;
    } else if (end == next) {
        tailReached(read);
    } else if (end < next) {
        // The answer to an own append came in before the answer to this older read.
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
