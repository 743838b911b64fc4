#include "base/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <utility>

namespace hemlocklead {

namespace {

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("hemlocklead");
        return instance;
    }

    log4cxx::LevelPtr log4cxxLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    int logDescriptor = STDERR_FILENO;

    /// Limits the lines written per second, and drops lines instead of blocking on a slow reader.
    class LineLimiter {
    public:
        /// Whether a line may be written now; otherwise counts it as dropped.
        bool tryAcquire()
        {
            const auto now = std::chrono::steady_clock::now();
            if (now - m_secondStart >= std::chrono::seconds(1)) {
                m_secondStart = now;
                m_lines = 0;
            }
            pollfd writable { logDescriptor, POLLOUT, 0 };
            if (m_lines >= maxLogLinesPerSecond || poll(&writable, 1, 0) == 0) {
                ++m_dropped;
                return false;
            }
            ++m_lines;
            return true;
        }

        /// Returns the number of lines dropped since the last call and resets it.
        uint64_t takeDropped() { return std::exchange(m_dropped, 0); }

    private:
        std::chrono::steady_clock::time_point m_secondStart {};
        int m_lines { 0 };
        uint64_t m_dropped { 0 };
    };

    LineLimiter lineLimiter;

    bool needsQuotes(std::string_view value)
    {
        if (value.empty())
            return true;
        for (const char c : value) {
            if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
                return true;
        }
        return false;
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        line += '"';
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte < ' ' || byte == 0x7f) {
                char escaped[8];
                std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
                line += escaped;
                continue;
            }
            if (c == '"' || c == '\\')
                line += '\\';
            line += c;
        }
        line += '"';
    }

} // namespace

void configureLog(std::string_view process, LogLevel minLevel, LogTarget target)
{
    const bool standardOutput = target == LogTarget::StandardOutput;
    logDescriptor = standardOutput ? STDOUT_FILENO : STDERR_FILENO;
    const std::string pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p process=" + std::string(process) + " %m%n";
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
        layout, standardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr()));
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(log4cxxLevel(minLevel));
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level)
    , m_line("event=")
{
    m_line += event;
}

LogEvent::~LogEvent()
{
    if (!logger()->isEnabledFor(log4cxxLevel(m_level)) || !lineLimiter.tryAcquire())
        return;
    if (const uint64_t dropped = lineLimiter.takeDropped(); dropped > 0)
        m_line += " dropped_lines=" + std::to_string(dropped);
    LOG4CXX_LOG(logger(), log4cxxLevel(m_level), m_line);
}

LogEvent& LogEvent::field(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (needsQuotes(value))
        appendQuoted(m_line, value);
    else
        m_line += value;
    return *this;
}

LogEvent& LogEvent::field(std::string_view key, const char* value) { return field(key, std::string_view(value)); }

LogEvent& LogEvent::field(std::string_view key, int64_t value)
{
    return field(key, std::string_view(std::to_string(value)));
}

LogEvent& LogEvent::field(std::string_view key, uint64_t value)
{
    return field(key, std::string_view(std::to_string(value)));
}

LogEvent& LogEvent::field(std::string_view key, int value) { return field(key, static_cast<int64_t>(value)); }

LogEvent& LogEvent::field(std::string_view key, unsigned value) { return field(key, static_cast<uint64_t>(value)); }

LogEvent& LogEvent::field(std::string_view key, double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return field(key, std::string_view(text));
}

} // namespace hemlocklead
