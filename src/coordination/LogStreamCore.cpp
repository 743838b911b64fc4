#include "coordination/LogStreamCore.h"

#include "base/Log.h"
#include "coordination/LogBatch.h"

#include <cassert>
#include <random>

namespace hemlocklead {

namespace {

    std::string randomProducerId()
    {
        std::random_device source;
        const uint64_t number = (static_cast<uint64_t>(source()) << 32) | source();
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
        return text;
    }

} // namespace

LogStream::Core::Core(Settings settings, LogService& log, const Clock& clock, StreamFold& fold, Counters& counters)
    : m_settings(std::move(settings))
    , m_snapshotStream(m_settings.name + "-snapshots")
    , m_log(log)
    , m_clock(clock)
    , m_fold(fold)
    , m_counters(counters)
    , m_readLimit(maxReadRecords)
    , m_nextReadAt(clock.now())
    , m_lastAnswerAt(clock.now())
    , m_producerId(randomProducerId())
{
}

void LogStream::Core::tick()
{
    const std::shared_ptr<Core> self = shared_from_this();
    failExpiredRecords();
    startRead();
    startAppend();
    runCallbacks();
}

void LogStream::Core::adopt(const Json& snapshot)
{
    const std::shared_ptr<Core> self = shared_from_this();
    if (m_wasCaughtUp || !load(snapshot, "peer"))
        return;
    m_source = Source::Stream;
    m_snapshotCandidate.reset();
    runCallbacks();
}

Json LogStream::Core::snapshot() const
{
    if (m_fold.nextOffset() == 0)
        return nullptr;
    return toJson(StreamSnapshot { m_fold.nextOffset() - 1, m_fold.snapshot(), m_producers });
}

void LogStream::Core::writeSnapshot(std::function<void(bool)> done)
{
    if (!m_caughtUp || m_writingSnapshot || m_fold.nextOffset() == 0) {
        done(false);
        return;
    }
    m_writingSnapshot = true;
    m_log.append(m_snapshotStream, jsonText(snapshot()),
        [weak = weak_from_this(), finish = std::move(done)](AppendOutcome outcome) {
            const std::shared_ptr<Core> core = weak.lock();
            if (!core || core->m_closed)
                return;
            core->m_writingSnapshot = false;
            finish(outcome.status == AppendOutcome::Status::Stored);
        });
}

bool LogStream::Core::load(const Json& json, std::string_view origin)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(snapshot, parseStreamSnapshot(json));
            if (snapshot.through < m_fold.nextOffset())
                return false;
            BOOST_LEAF_CHECK(m_fold.load(snapshot.state));
            m_producers = std::move(snapshot.producers);
            m_changed = true;
            resolveTrimmedBatch();
            return true;
        },
        [&](const Error& error) {
            m_counters.add("log_snapshots_rejected");
            LogEvent(LogLevel::Error, "snapshot_rejected")
                .field("stream", m_settings.name)
                .field("origin", origin)
                .field("message", error.message);
            return false;
        });
}

/// Folds the batch stored at `offset`, which must be the next offset.
void LogStream::Core::foldBatch(uint64_t offset, std::string_view text)
{
    assert(offset == m_fold.nextOffset());
    const auto batch = parseBatch(text);
    const bool isNew = batch && m_producers.record(batch->producer, batch->sequence, offset);
    std::vector<FoldResult> results;
    if (isNew) {
        for (const Json& record : batch->records)
            results.push_back(foldRecord(offset, record));
    }
    m_fold.advanceTo(offset + 1);
    if (!batch)
        m_counters.add("log_batches_malformed");
    else if (!isNew)
        m_counters.add("log_batches_repeated");
    else if (m_batch && batch->producer == m_producerId && batch->sequence == m_batch->sequence)
        resolveBatch(offset, results);
}

FoldResult LogStream::Core::foldRecord(uint64_t offset, const Json& record)
{
    const FoldResult result = m_fold.fold(offset, record);
    switch (result) {
    case FoldResult::Applied:
        m_changed = true;
        m_counters.add("log_records_applied");
        break;
    case FoldResult::Conflict:
    case FoldResult::NotGoverning:
        m_counters.add("log_records_void");
        break;
    case FoldResult::Unknown:
        m_counters.add("log_records_unknown");
        break;
    case FoldResult::Malformed:
        m_counters.add("log_records_malformed");
        break;
    }
    return result;
}

void LogStream::Core::resolveBatch(uint64_t offset, const std::vector<FoldResult>& results)
{
    assert(results.size() == m_batch->done.size());
    for (size_t i = 0; i < results.size(); ++i)
        m_completions.push_back({ std::move(m_batch->done[i]), { true, results[i], offset } });
    m_batch.reset();
}

/// Resolves the own batch if the snapshot just loaded contains it, because the stream will not be read at its offset.
void LogStream::Core::resolveTrimmedBatch()
{
    if (!m_batch || !m_producers.contains(m_producerId, m_batch->sequence))
        return;
    const std::vector<FoldResult> unknownResults(m_batch->done.size(), FoldResult::Unknown);
    resolveBatch(m_fold.nextOffset() - 1, unknownResults);
}

/// Runs the callbacks that are due. They may call this stream or destroy it.
void LogStream::Core::runCallbacks()
{
    const std::vector<Completion> completions = std::exchange(m_completions, {});
    const bool changed = std::exchange(m_changed, false);
    for (const Completion& entry : completions) {
        if (m_closed)
            return;
        if (entry.done)
            entry.done(entry.outcome);
    }
    if (m_closed || !changed || !m_onStateChanged)
        return;
    const std::function<void()> handler = m_onStateChanged;
    handler();
}

} // namespace hemlocklead
