#include "entry/EntryProcess.h"

#include "base/Log.h"
#include "entry/EntryNode.h"

#include <iostream>

namespace hemlocklead {

namespace {

    constexpr int exitSuccess = 0;
    constexpr int exitForcedStop = 1;
    constexpr int exitInvalidSettings = 2;

    Result<int> run(const std::string& settingsFile)
    {
        BOOST_LEAF_AUTO(settings, parseEntrySettings(settingsFile));
        configureLog(settings.name, LogLevel::Info);
        EventLoop loop;
        EntryNode node(loop, settings);
        BOOST_LEAF_CHECK(node.start());
        int exitCode = exitSuccess;
        loop.onTerminate([&] {
            if (!node.isDraining())
                return node.drain();
            LogEvent(LogLevel::Warning, "stopped_at_once").field("entry", settings.name);
            exitCode = exitForcedStop;
            loop.stop();
        });
        LogEvent(LogLevel::Info, "entry_started").field("http", settings.httpAddress.text());
        loop.run();
        return exitCode;
    }

} // namespace

int runEntry(const std::string& settingsFile)
{
    return orElse([&] { return run(settingsFile); },
        [](const Error& error) {
            std::cerr << error.message << '\n';
            return exitInvalidSettings;
        });
}

} // namespace hemlocklead
