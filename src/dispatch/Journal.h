#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::dispatch {

/// Keyed record of the journal. A record without a value deletes its key.
struct JournalRecord {
    std::string key;
    std::optional<std::string> value;
    uint64_t offset { 0 };

    bool operator==(const JournalRecord&) const = default;
};

/// Makes appends of one writer exclusive and idempotent: the store refuses an epoch below the highest it has seen, and
/// answers a repeated sequence number with the outcome of the first append.
struct AppendFence {
    uint64_t epoch { 0 };
    uint64_t sequence { 0 };
};

enum class AppendStatus : uint8_t {
    Done,
    NotDone, ///< Refused or not sent: nothing was recorded.
    Unknown, ///< No answer: the records may have been or may still be recorded.
    Fenced, ///< The store has seen a higher epoch.
    Rejected, ///< Refused permanently, for example for its size or sequence number.
};

struct NewestPage {
    bool ok { false };
    std::vector<JournalRecord> records;
    bool hasMore { false }; ///< The next page starts after the key of the last record.
    uint64_t end { 0 }; ///< Offset of the next record to be appended.
};

struct ReadResult {
    enum class Status : uint8_t { Ok, Expired, Unavailable };

    Status status { Status::Unavailable };
    std::vector<JournalRecord> records;
    uint64_t end { 0 };
};

/// One partition of the platform's keyed log, which retains the newest record of each key and older records for a
/// limited time.
class JournalService {
public:
    virtual ~JournalService() = default;

    /// Appends all records or none of them.
    virtual void append(std::vector<JournalRecord> records, std::optional<AppendFence> fence, Duration timeout,
        std::function<void(AppendStatus)> done)
        = 0;

    /// Reads a page of the newest record of each key, in the order of keys, starting after the key `after`.
    virtual void newest(const std::string& after, Duration timeout, std::function<void(NewestPage)> done) = 0;

    /// Reads records from offset `from` on; waits up to `wait` for a record if there is none.
    virtual void read(uint64_t from, Duration wait, Duration timeout, std::function<void(ReadResult)> done) = 0;
};

/// Schedules function calls on the caller's thread.
class Timers {
public:
    virtual ~Timers() = default;
    virtual void after(Duration delay, std::function<void()> call) = 0;
};

} // namespace hemlocklead::dispatch
