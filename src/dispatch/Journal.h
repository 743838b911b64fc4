#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// A keyed record of the journal. A record without a value removes its key.
struct JournalRecord {
    std::string key;
    std::optional<std::string> value;
    uint64_t offset { 0 };

    bool operator==(const JournalRecord&) const = default;
};

/// Makes appends of one writer exclusive and repeatable: the store refuses an epoch below the highest it has seen, and
/// answers a repeated sequence number with the outcome of the first append.
struct AppendFence {
    uint64_t epoch { 0 };
    uint64_t sequence { 0 };
};

enum class AppendStatus : uint8_t {
    Done,
    NotDone, ///< Refused, or never sent: nothing was recorded.
    Unknown, ///< No answer: it may have been recorded, or may still be.
    Fenced, ///< A higher epoch exists.
    Rejected, ///< The store refuses the append for good, for example for its size or sequence.
};

struct NewestPage {
    bool ok { false };
    std::vector<JournalRecord> records;
    bool hasMore { false }; ///< The next page follows after the key of the last record.
    uint64_t end { 0 }; ///< Offset that the next record gets.
};

struct ReadResult {
    enum class Status : uint8_t { Ok, Expired, Unavailable };

    Status status { Status::Unavailable };
    std::vector<JournalRecord> records;
    uint64_t end { 0 };
};

/// One partition of the platform's keyed log: the newest record of each key is kept, older ones for a while.
class JournalService {
public:
    virtual ~JournalService() = default;

    /// Appends all records or none.
    virtual void append(std::vector<JournalRecord> records, std::optional<AppendFence> fence, Duration timeout,
        std::function<void(AppendStatus)> done)
        = 0;

    /// A page of the newest records, with keys after `after`.
    virtual void newest(const std::string& after, Duration timeout, std::function<void(NewestPage)> done) = 0;

    /// Records from offset `from`; waits up to `wait` for one.
    virtual void read(uint64_t from, Duration wait, Duration timeout, std::function<void(ReadResult)> done) = 0;
};

/// Calls functions later, from the same thread.
class Delays {
public:
    virtual ~Delays() = default;
    virtual void after(Duration delay, std::function<void()> call) = 0;
};

} // namespace hemlocklead::dispatch
