#include "coordination/LogBatch.h"
#include "coordination/LogStreamCore.h"

namespace hemlocklead {

void LogStream::Core::append(Json&& record, Done done)
{
    m_waiting.push_back({ jsonText(record), std::move(done), m_clock.now() });
}

size_t LogStream::Core::pendingAppends() const { return m_waiting.size() + (m_batch ? m_batch->done.size() : 0); }

/// Fails unsent records that have waited for `unsentTimeout`, unless the stream is caught up and the log has answered
/// since they were queued.
void LogStream::Core::failExpiredRecords()
{
    while (!m_waiting.empty()) {
        WaitingRecord& oldest = m_waiting.front();
        const bool answers = m_caughtUp && m_lastAnswerAt > oldest.queuedAt;
        if (answers || m_clock.now() - oldest.queuedAt < m_settings.unsentTimeout)
            return;
        m_completions.push_back({ std::move(oldest.done), {} });
        m_waiting.pop_front();
    }
}

void LogStream::Core::startAppend()
{
    if (m_appending || !m_caughtUp)
        return;
    if (!m_batch && !m_waiting.empty()) {
        const bool isFull = m_waiting.size() >= m_settings.maxBatchRecords;
        if (isFull || m_clock.now() - m_waiting.front().queuedAt >= m_settings.groupCommit)
            formBatch();
    }
    if (m_batch && m_batch->phase == BatchPhase::ToSend)
        sendBatch();
}

void LogStream::Core::formBatch()
{
    Batch batch;
    std::vector<std::string> records;
    size_t bytes = 0;
    while (!m_waiting.empty() && records.size() < m_settings.maxBatchRecords) {
        WaitingRecord& next = m_waiting.front();
        bytes += next.text.size();
        if (!records.empty() && bytes > m_settings.maxBatchBytes)
            break;
        records.push_back(std::move(next.text));
        batch.done.push_back(std::move(next.done));
        m_waiting.pop_front();
    }
    batch.sequence = ++m_sequence;
    batch.text = encodeBatch(m_producerId, batch.sequence, records);
    m_batch = std::move(batch);
}

void LogStream::Core::sendBatch()
{
    m_appending = true;
    m_batch->phase = BatchPhase::Sent;
    m_counters.add("log_appends");
    m_log.append(
        m_settings.name, m_batch->text, [weak = weak_from_this(), sentAt = m_clock.now()](AppendOutcome outcome) {
            const std::shared_ptr<Core> core = weak.lock();
            if (!core || core->m_closed)
                return;
            core->m_appending = false;
            core->appendEnded(sentAt, outcome);
            core->tick();
        });
}

void LogStream::Core::appendEnded(Instant sentAt, AppendOutcome outcome)
{
    const bool isAnswer = outcome.status == AppendOutcome::Status::Stored;
    if (isAnswer)
        m_lastAnswerAt = m_clock.now();
    // The batch was already resolved by a read that arrived before this answer.
    if (!m_batch)
        return;
    if (isAnswer)
        batchStored(sentAt, outcome.offset);
    else if (outcome.status == AppendOutcome::Status::NotStored && !m_batch->mayBeStored)
        failBatch();
    else
        startReadBack();
}

void LogStream::Core::batchStored(Instant sentAt, uint64_t offset)
{
    if (offset < m_fold.nextOffset()) {
        startReadBack();
        return;
    }
    if (offset > m_fold.nextOffset() || !m_caughtUp) {
        m_batch->phase = BatchPhase::Stored;
        m_nextReadAt = m_clock.now();
        return;
    }
    // The batch has the next offset, so it is folded without a read. The log held no other unfolded record when the
    // append was sent, which confirms the state as of that time.
    const std::string text = std::move(m_batch->text);
    foldBatch(offset, text);
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, sentAt) : sentAt;
    m_nextReadAt = sentAt + m_settings.pollInterval;
}

void LogStream::Core::startReadBack()
{
    m_counters.add("log_appends_without_answer");
    // The delay avoids a busy loop of reads and appends on a log that answers reads but no appends.
    const Duration delay = m_batch->mayBeStored ? m_settings.retryDelay : Duration { 0 };
    m_batch->phase = BatchPhase::ReadBack;
    m_batch->mayBeStored = true;
    m_batch->readsBefore = m_reads;
    m_nextReadAt = m_clock.now() + delay;
}

void LogStream::Core::failBatch()
{
    m_counters.add("log_appends_refused");
    for (Done& done : m_batch->done)
        m_completions.push_back({ std::move(done), {} });
    m_batch.reset();
}

} // namespace hemlocklead
