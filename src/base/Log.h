#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

enum class LogTarget : uint8_t { StandardError, StandardOutput };

/// Sends log lines to `target` through log4cxx. `process` names the process in each line.
///
/// At most `maxLinesPerSecond` lines are written; the others are dropped and counted in a line of their own. A line is
/// also dropped when the reader of the target is so far behind that writing would block.
void configureLog(std::string_view process, LogLevel lowest, LogTarget target = LogTarget::StandardError);

/// Bounds the processor time and the volume of logs under load.
constexpr int maxLinesPerSecond = 2000;

/// One log line of key=value pairs; written when the object goes out of scope.
///
/// `LogEvent(LogLevel::Info, "shard_claimed").field("shard", 3).field("epoch", 7);`
class LogEvent {
public:
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    /// Adds a pair; values with spaces, quotes or control characters are quoted and escaped.
    LogEvent& field(std::string_view key, std::string_view value);
    LogEvent& field(std::string_view key, const char* value);
    LogEvent& field(std::string_view key, int64_t value);
    LogEvent& field(std::string_view key, uint64_t value);
    LogEvent& field(std::string_view key, int value);
    LogEvent& field(std::string_view key, unsigned value);
    LogEvent& field(std::string_view key, double value);

private:
    LogLevel m_level;
    std::string m_line;
};

} // namespace hemlocklead
