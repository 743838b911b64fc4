#pragma once

#include "base/Clock.h"
#include "base/Counters.h"
#include "coordination/LogService.h"
#include "state/ControlState.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// State that is built by applying the records of a stream in order.
class StreamFold {
public:
    virtual ~StreamFold() = default;

    /// Applies one record of the batch at `offset`.
    virtual FoldResult fold(uint64_t offset, const Json& record) = 0;

    /// Marks all batches below `nextOffset` as applied.
    virtual void advanceTo(uint64_t nextOffset) = 0;

    /// Offset of the next batch to apply.
    virtual uint64_t nextOffset() const = 0;
    virtual Json snapshot() const = 0;

    /// Replaces the state with a snapshot. Fails with `InvalidRequest` if it is malformed.
    virtual Result<void> load(const Json& snapshot) = 0;
};

/// Outcome of an append of one record.
struct RecordOutcome {
    bool stored { false }; ///< False if the record is proved not stored because the log could not be reached.

    /// Valid if stored. `Unknown` for a known record kind means that the record was trimmed before this process read it
    /// and is contained in a snapshot of another process; whether it was applied can be seen from the state only.
    FoldResult result { FoldResult::Unknown };
    uint64_t offset { 0 };
};

/// Client of one log stream. Reads it, appends with group commit, drops repeated batches, and loads and writes
/// snapshots.
///
/// `tick` must be called at least every 10 ms; other work is done in the callbacks of the log. The stream owns no timer
/// and no socket.
class LogStream {
public:
    struct Settings {
        std::string name;
        Duration pollInterval { 250 };
        Duration groupCommit { 20 }; ///< Longest time that a record waits for others to share its batch.
        Duration retryDelay { 100 }; ///< Delay before the next try after an append or a read without an answer.
        Duration unsentTimeout { 3000 }; ///< An unsent record fails after this time without an answer from the log.
        size_t maxBatchRecords { 1000 };
        size_t maxBatchBytes { 256 * 1024 }; ///< Limit for the text of the records; a larger record is sent alone.
    };

    LogStream(Settings settings, LogService& log, const Clock& clock, StreamFold& fold, Counters& counters);
    ~LogStream();
    LogStream(const LogStream&) = delete;
    LogStream& operator=(const LogStream&) = delete;

    /// Starts the reads, appends and retries that are due, and runs pending callbacks.
    void tick();

    /// Returns whether the state has been folded up to an end of the stream that the log reported. Becomes false if
    /// records that are not folded yet are trimmed, or if the log ends before the state.
    bool isCaughtUp() const;

    /// Returns whether records that the state lacks have been trimmed and no retained snapshot contains them.
    bool isStateLost() const;

    /// Time at which the last request was sent whose answer confirmed that the state is at the end of the stream;
    /// nullopt before the first one.
    std::optional<Instant> confirmedAt() const;

    /// Loads a state received from a peer, for use while the log cannot be read: the result of its `snapshot`, or the
    /// plain state. Ignored if malformed, if not newer than the own state, or once this stream has been caught up.
    void adopt(const Json& snapshot);

    /// Returns the state with its offset and the producers' sequences, `{"through", "state", "producers"}`, or null
    /// before the first record is folded. Snapshot records have the same form.
    Json snapshot() const;

    /// Appends a record. `done` runs once this stream has folded the record at its offset, or once the record is proved
    /// not stored. After an append without an answer, the stream is read to its end before the same batch is appended
    /// again. This repeats until the log answers, so a caller that cannot wait needs a deadline of its own. Destroying
    /// the stream drops `done`.
    void append(Json record, std::function<void(RecordOutcome)> done);

    /// Number of own records that are waiting or in flight.
    size_t pendingAppends() const;

    /// Makes the next read due now instead of at the next poll.
    void pollNow();

    /// Appends the state to the snapshot stream and calls `done(true)` once it is stored. Calls `done(false)` if the
    /// log gave no answer, the stream is empty or not caught up, or another snapshot is being written.
    void writeSnapshot(std::function<void(bool)> done);

    /// Sets the handler that runs after each read, append or adoption that changed the state, after the `done`
    /// callbacks of its own records.
    void onStateChanged(std::function<void()> handler);

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
