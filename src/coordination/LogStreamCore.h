#pragma once

#include "coordination/LogStream.h"
#include "coordination/ProducerSequences.h"
#include "coordination/StreamSnapshot.h"

#include <deque>

namespace hemlocklead {

/// State machine behind LogStream. Callbacks of the log hold it weakly, so that they may come after its end.
///
/// Reads and appends are independent of each other, with one of each in flight. A batch of own records is resolved
/// where it is folded, whether a read or the answer to its append brought it.
class LogStream::Core : public std::enable_shared_from_this<Core> {
public:
    using Done = std::function<void(RecordVerdict)>;

    Core(Settings settings, LogService& log, const Clock& clock, StreamFold& fold, Counters& counters);

    void tick();
    void adopt(const Json& snapshot);
    Json snapshot() const;
    void append(Json&& record, Done done);
    size_t pendingAppends() const;
    void pollNow() { m_nextReadAt = m_clock.now(); }
    void writeSnapshot(std::function<void(bool)> done);
    void onFolded(std::function<void()> handler) { m_onFolded = std::move(handler); }
    bool isCaughtUp() const { return m_caughtUp; }
    bool isStateLost() const { return m_stateLost; }
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /// Runs no callback after this.
    void close() { m_closed = true; }

private:
    static constexpr size_t maxReadRecords = 256;

    /// What the next read is for.
    enum class Source : uint8_t {
        SnapshotEnd, ///< Looks for the last record of the snapshot stream.
        Snapshot, ///< Reads the snapshot at `m_candidate`.
        Stream,
    };

    enum class BatchPhase : uint8_t {
        ToSend,
        Sent,
        ReadBack, ///< No answer to the append: a read up to the tail tells whether it was stored.
        Stored, ///< At an offset that is not folded yet.
    };

    struct WaitingRecord {
        std::string text;
        Done done;
        Instant queuedAt;
    };

    /// Own records of one append, from the first try until they are folded or proved not stored.
    struct Batch {
        uint64_t sequence { 0 };
        std::string text;
        std::vector<Done> done;
        BatchPhase phase { BatchPhase::ToSend };
        bool mayBeStored { false }; ///< A former try got no answer.
        uint64_t readsBefore { 0 }; ///< Reads sent before the last try ended; only later ones can prove it absent.
    };

    struct Verdict {
        Done done;
        RecordVerdict verdict;
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
    void snapshotRead(std::optional<LogPage> page);
    void streamRead(const StreamRead& read, std::optional<LogPage> page);
    void readFailed();
    void readAnswered();
    void takeSnapshot(const LogPage& page);
    void noSnapshotLeft();
    bool load(const Json& snapshot, std::string_view origin);
    void gapFound(uint64_t first);
    void searchFailed(uint64_t first);
    void foldPage(const LogPage& page);
    void pageFolded(const StreamRead& read, uint64_t end);
    void tailReached(const StreamRead& read);

    // Folding (LogStreamCore.cpp).
    void foldBatch(uint64_t offset, std::string_view text);
    FoldResult foldRecord(uint64_t offset, const Json& record);
    void resolveBatch(uint64_t offset, const std::vector<FoldResult>& results);
    void resolveTrimmedBatch();
    void deliver();

    // Appends (LogStreamAppend.cpp).
    void refuseWaiting();
    void startAppend();
    void formBatch();
    void sendBatch();
    void appended(Instant sentAt, AppendOutcome outcome);
    void batchStored(Instant sentAt, uint64_t offset);
    void startReadBack();
    void refuseBatch();

    const Settings m_settings;
    const std::string m_snapshotStream;
    LogService& m_log;
    const Clock& m_clock;
    StreamFold& m_fold;
    Counters& m_counters;
    std::function<void()> m_onFolded;
    bool m_closed { false };

    Source m_source { Source::SnapshotEnd };
    std::optional<uint64_t> m_candidate; ///< Offset of the snapshot tried last, or to be tried next.
    bool m_snapshotsTried { false }; ///< No snapshot is left that might bridge trimmed records.
    uint64_t m_snapshotsEnd { 0 }; ///< End of the snapshot stream when the search began.
    std::optional<uint64_t> m_searchedEnd; ///< The same of the last search that found none.
    bool m_reading { false };
    uint64_t m_reads { 0 }; ///< Reads of the stream sent so far.
    size_t m_readLimit;
    Instant m_nextReadAt;
    Instant m_lastAnswerAt;
    bool m_caughtUp { false };
    bool m_wasCaughtUp { false };
    bool m_stateLost { false };
    std::optional<Instant> m_confirmedAt;

    ProducerSequences m_producers;
    std::vector<Verdict> m_verdicts;
    bool m_changed { false };

    const std::string m_producer; ///< New for each stream object.
    uint64_t m_sequence { 0 };
    std::deque<WaitingRecord> m_waiting;
    std::optional<Batch> m_batch;
    bool m_appending { false };
    bool m_writingSnapshot { false };
};

} // namespace hemlocklead
