#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

enum class LogTarget : uint8_t { StandardError, StandardOutput };

/// Sends log lines of at least `minLevel` to `target` through log4cxx. Each line carries `process` as a field.
///
/// At most `maxLogLinesPerSecond` lines are written per second; further lines are dropped. A line is also dropped when
/// the reader is so far behind that writing would block. The next written line carries the count as `dropped_lines`.
void configureLog(std::string_view process, LogLevel minLevel, LogTarget target = LogTarget::StandardError);

/// Limits the processor time and the volume of logging under load.
constexpr int maxLogLinesPerSecond = 2000;

/// One log line of key=value pairs, written by the destructor.
///
/// `LogEvent(LogLevel::Info, "shard_claimed").field("shard", 3).field("epoch", 7);`
class LogEvent {
public:
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    /// Appends a key=value pair. Empty values and values with spaces, quotes, `=`, backslashes or control characters
    /// are quoted and escaped.
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
