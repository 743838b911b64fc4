#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Result of an append.
struct AppendOutcome {
    enum class Status : uint8_t {
        Stored,
        NotStored, ///< The log provably did not receive it.
        Unknown, ///< No answer; it may have been stored or may still be stored later.
    };

    Status status { Status::Unknown };
    uint64_t offset { 0 }; ///< Valid if stored.
};

/// A record of a stream.
struct LogRecord {
    uint64_t offset { 0 };
    std::string data;
};

/// Result of a read.
struct LogPage {
    uint64_t first { 0 }; ///< Offset of the oldest retained record.
    uint64_t end { 0 }; ///< Offset of the next record to be appended.
    std::vector<LogRecord> records;
};

/// Client interface of the platform's append-only log. Callbacks run later from the event loop, once per call.
class LogService {
public:
    virtual ~LogService() = default;

    virtual void append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done) = 0;

    /// Reads at most `limit` records, starting at offset `from`. Passes nullopt if the log gave no answer.
    virtual void read(
        const std::string& stream, uint64_t from, size_t limit, std::function<void(std::optional<LogPage>)> done)
        = 0;
};

} // namespace hemlocklead
