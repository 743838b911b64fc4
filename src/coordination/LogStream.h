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

/// State that a stream folds into.
class StreamFold {
public:
    virtual ~StreamFold() = default;
    virtual FoldResult fold(uint64_t offset, const Json& record) = 0;
    virtual void advanceTo(uint64_t nextOffset) = 0;
    virtual uint64_t nextOffset() const = 0;
    virtual Json snapshot() const = 0;

    /// Replaces the state by a snapshot; fails with `InvalidRequest`.
    virtual Result<void> load(const Json& snapshot) = 0;
};

/// What became of an appended record.
struct RecordVerdict {
    bool stored { false }; ///< False: proved not stored, the log cannot be reached.

    /// Valid when stored. `Unknown` for a known kind means that the record was folded into a snapshot of another
    /// process, after its offset had been trimmed here; the state tells what became of it.
    FoldResult result { FoldResult::Unknown };
    uint64_t offset { 0 };
};

/// One stream of the log as this process sees it: reads, group commit, repeats dropped, snapshots.
///
/// Driven by `tick`, at least every 10 ms, and by the callbacks of the log; it owns no timer and no socket.
class LogStream {
public:
    struct Settings {
        std::string name;
        Duration pollInterval { 250 };
        Duration groupCommit { 20 }; ///< Longest time that a record waits for others.
        Duration retryDelay { 100 }; ///< Between tries after an append or read without answer.
        Duration refuseAfter { 3000 }; ///< A record not sent yet fails after this time without an answer of the log.
        size_t maxBatchRecords { 1000 };
        size_t maxBatchBytes { 256 * 1024 }; ///< A batch grows to about this size; a larger record goes alone.
    };

    LogStream(Settings settings, LogService& log, const Clock& clock, StreamFold& fold, Counters& counters);
    ~LogStream();
    LogStream(const LogStream&) = delete;
    LogStream& operator=(const LogStream&) = delete;

    /// Polls, appends and retries what is due.
    void tick();

    /// Whether the state was loaded and folded up to a tail that the log answered.
    bool isCaughtUp() const;

    /// Whether records needed to rebuild the state have been trimmed and no snapshot holds them.
    bool isStateLost() const;

    /// When the last question was sent that the log answered with the tail folded here; nullopt before the first.
    std::optional<Instant> confirmedAt() const;

    /// Adopts a state that a peer serves, while the log cannot be read: the result of `snapshot` there, or the plain
    /// state. Ignored when malformed, at an offset not above the own one, or once this stream has been caught up.
    void adopt(const Json& snapshot);

    /// State with the offset and the producers' sequences, `{"through", "state", "producers"}`; null before the first
    /// record is folded. A snapshot record has this form.
    Json snapshot() const;

    /// Appends a record. `done` runs once this stream has folded it at its offset, or once it is proved not stored.
    /// After an append without answer the stream is read back before the same batch is appended again; this goes on
    /// until the log answers, so a caller that cannot wait needs its own deadline. Destroying the stream drops `done`.
    void append(Json record, std::function<void(RecordVerdict)> done);

    /// Records waiting or in flight.
    size_t pendingAppends() const;

    /// Asks for a read as soon as possible, before the next poll is due.
    void pollNow();

    /// Writes the state to the stream's snapshot stream; `done(true)` once stored. `done(false)` when the log gave no
    /// answer, the stream is not caught up or empty, or another snapshot is being written.
    void writeSnapshot(std::function<void(bool)> done);

    /// Called after each read, append or adoption that changed the state, after the verdicts of its own records.
    void onFolded(std::function<void()> handler);

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
