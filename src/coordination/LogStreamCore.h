#pragma once

#include "coordination/LogStream.h"
#include "coordination/ProducerSequences.h"
#include "coordination/StreamSnapshot.h"

#include <deque>

namespace hemlocklead {

/// State machine behind LogStream. Callbacks of the log hold a weak reference, so they may run after its destruction.
///
/// Reads and appends are independent of each other, with at most one of each in flight. A batch of own records is
/// resolved when it is folded, whether from a read or from the answer to its append.
class LogStream::Core : public std::enable_shared_from_this<Core> {
public:
    using Done = std::function<void(RecordOutcome)>;

    Core(Settings settings, LogService& log, const Clock& clock, StreamFold& fold, Counters& counters);

    void tick();
    void adopt(const Json& snapshot);
    Json snapshot() const;
    void append(Json&& record, Done done);
    size_t pendingAppends() const;
    void pollNow() { m_nextReadAt = m_clock.now(); }
    void writeSnapshot(std::function<void(bool)> done);
    void onStateChanged(std::function<void()> handler) { m_onStateChanged = std::move(handler); }
    bool isCaughtUp() const { return m_caughtUp; }
    bool isStateLost() const { return m_stateLost; }
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /// Suppresses all further callbacks.
    void close() { m_closed = true; }

private:
    static constexpr size_t maxReadRecords = 256;

    /// Target of the next read.
    enum class Source : uint8_t {
        SnapshotEnd, ///< Snapshot stream, to find its last record.
        Snapshot, ///< Snapshot stream at `m_snapshotCandidate`.
        Stream, ///< The stream itself, from the next offset to fold.
    };

    enum class BatchPhase : uint8_t {
        ToSend,
        Sent, ///< The append is in flight.
        ReadBack, ///< The append got no answer; a read to the end of the stream shows whether it was stored.
        Stored, ///< Stored at an offset that is not folded yet.
    };

    struct WaitingRecord {
        std::string text;
        Done done;
        Instant queuedAt;
    };

    /// Own records of one append, kept from the first try until they are folded or proved not stored.
    struct Batch {
        uint64_t sequence { 0 };
        std::string text;
        std::vector<Done> done;
        BatchPhase phase { BatchPhase::ToSend };
        bool mayBeStored { false }; ///< An earlier try got no answer.
        uint64_t readsBefore { 0 }; ///< `m_reads` when the last try ended; only later reads can prove it absent.
    };

    /// A `done` callback that is due.
    struct Completion {
        Done done;
        RecordOutcome outcome;
    };

    /// A read of the stream in flight.
    struct StreamRead {
        Instant sentAt;
        uint64_t from { 0 };
        uint64_t number { 0 };
    };

    // Reads (LogStreamRead.cpp).
    void startRead();
    void readSnapshotStream(uint64_t from);
    void readStream();
    void snapshotReadEnded(std::optional<LogPage> page);
    void streamReadEnded(const StreamRead& read, std::optional<LogPage> page);
    void readFailed();
    void readAnswered();
    void loadCandidate(const LogPage& page);
    void endSnapshotSearch();
    bool load(const Json& snapshot, std::string_view origin);
    void handleTrimmedRecords(uint64_t first);
    void handleFailedSearch(uint64_t first);
    void foldPage(const LogPage& page);
    void pageFolded(const StreamRead& read, uint64_t end);
    void tailReached(const StreamRead& read);

    // Folding (LogStreamCore.cpp).
    void foldBatch(uint64_t offset, std::string_view text);
    FoldResult foldRecord(uint64_t offset, const Json& record);
    void resolveBatch(uint64_t offset, const std::vector<FoldResult>& results);
    void resolveTrimmedBatch();
    void runCallbacks();

    // Appends (LogStreamAppend.cpp).
    void failExpiredRecords();
    void startAppend();
    void formBatch();
    void sendBatch();
    void appendEnded(Instant sentAt, AppendOutcome outcome);
    void batchStored(Instant sentAt, uint64_t offset);
    void startReadBack();
    void failBatch();

    const Settings m_settings;
    const std::string m_snapshotStream;
    LogService& m_log;
    const Clock& m_clock;
    StreamFold& m_fold;
    Counters& m_counters;
    std::function<void()> m_onStateChanged;
    bool m_closed { false };

    Source m_source { Source::SnapshotEnd };
    std::optional<uint64_t> m_snapshotCandidate; ///< Offset of the last snapshot tried, or of the next one to try.
    bool m_snapshotsTried { false }; ///< No untried snapshot is left that could replace the trimmed records.
    uint64_t m_snapshotsEnd { 0 }; ///< End of the snapshot stream when the current search began.
    std::optional<uint64_t> m_failedSearchEnd; ///< Value of `m_snapshotsEnd` in the last failed search.
    bool m_reading { false };
    uint64_t m_reads { 0 }; ///< Number of reads of the stream sent so far.
    size_t m_readLimit;
    Instant m_nextReadAt;
    Instant m_lastAnswerAt; ///< Not updated by reads while appends get no answer.
    bool m_caughtUp { false };
    bool m_wasCaughtUp { false };
    bool m_stateLost { false };
    std::optional<Instant> m_confirmedAt;

    ProducerSequences m_producers;
    std::vector<Completion> m_completions;
    bool m_changed { false };

    const std::string m_producerId; ///< Random; differs for each LogStream object.
    uint64_t m_sequence { 0 };
    std::deque<WaitingRecord> m_waiting;
    std::optional<Batch> m_batch;
    bool m_appending { false };
    bool m_writingSnapshot { false };
};

} // namespace hemlocklead
