#include "coordination/LogBatch.h"
#include "coordination/LogStreamCore.h"

namespace hemlocklead {

void LogStream::Core::append(Json&& record, Done done)
{
    m_waiting.push_back({ jsonText(record), std::move(done), m_clock.now() });
}

size_t LogStream::Core::pendingAppends() const { return m_waiting.size() + (m_batch ? m_batch->done.size() : 0); }

/// Fails the records that were never sent and have waited too long for a log that does not answer.
void LogStream::Core::refuseWaiting()
{
    while (!m_waiting.empty()) {
        WaitingRecord& oldest = m_waiting.front();
        const bool answers = m_caughtUp && m_lastAnswerAt > oldest.queuedAt;
        if (answers || m_clock.now() - oldest.queuedAt < m_settings.refuseAfter)
            return;
        m_verdicts.push_back({ std::move(oldest.done), {} });
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
    batch.text = encodeBatch(m_producer, batch.sequence, records);
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
            core->appended(sentAt, outcome);
            core->tick();
        });
}

void LogStream::Core::appended(Instant sentAt, AppendOutcome outcome)
{
    const bool isAnswer = outcome.status == AppendOutcome::Status::Stored;
    if (isAnswer)
        m_lastAnswerAt = m_clock.now();
    // A read has brought the batch before the answer.
    if (!m_batch)
        return;
    if (isAnswer)
        batchStored(sentAt, outcome.offset);
    else if (outcome.status == AppendOutcome::Status::NotStored && !m_batch->mayBeStored)
        refuseBatch();
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
    // Nothing came between, so the batch is folded without a read, and no record that is not folded here was in the
    // log when the append was sent.
    const std::string text = std::move(m_batch->text);
    foldBatch(offset, text);
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, sentAt) : sentAt;
    m_nextReadAt = sentAt + m_settings.pollInterval;
}

void LogStream::Core::startReadBack()
{
    m_counters.add("log_appends_without_answer");
    // A log that answers reads but no appends is not asked without pause.
    const Duration delay = m_batch->mayBeStored ? m_settings.retryDelay : Duration { 0 };
    m_batch->phase = BatchPhase::ReadBack;
    m_batch->mayBeStored = true;
    m_batch->readsBefore = m_reads;
    m_nextReadAt = m_clock.now() + delay;
}

void LogStream::Core::refuseBatch()
{
    m_counters.add("log_appends_refused");
    for (Done& done : m_batch->done)
        m_verdicts.push_back({ std::move(done), {} });
    m_batch.reset();
}

} // namespace hemlocklead
