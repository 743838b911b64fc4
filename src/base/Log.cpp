#include "base/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstdio>

namespace hemlocklead {

namespace {

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("hemlocklead");
        return instance;
    }

    log4cxx::LevelPtr nativeLevel(LogLevel level)
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

void configureLog(std::string_view process, LogLevel lowest)
{
    const std::string pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p process=" + std::string(process) + " %m%n";
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(nativeLevel(lowest));
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level)
    , m_line("event=")
{
    m_line += event;
}

LogEvent::~LogEvent() { LOG4CXX_LOG(logger(), nativeLevel(m_level), m_line); }

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
