#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// How an append ended.
struct AppendOutcome {
    enum class Status : uint8_t {
        Stored,
        NotStored, ///< Proved: the log never got it.
        Unknown, ///< No answer: it may have been stored, or may be stored later.
    };

    Status status { Status::Unknown };
    uint64_t offset { 0 }; ///< Valid when stored.
};

/// One record of a stream.
struct LogRecord {
    uint64_t offset { 0 };
    std::string data;
};

/// Answer to a read.
struct LogPage {
    uint64_t first { 0 }; ///< Oldest offset still retained.
    uint64_t end { 0 }; ///< Offset that the next append gets.
    std::vector<LogRecord> records;
};

/// The platform's append-only log. Callbacks run later, from the event loop, once per call.
class LogService {
public:
    virtual ~LogService() = default;

    virtual void append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done) = 0;

    /// Reads at most `limit` records from `from`; an empty optional when the log gave no answer.
    virtual void read(
        const std::string& stream, uint64_t from, size_t limit, std::function<void(std::optional<LogPage>)> done)
        = 0;
};

} // namespace hemlocklead
