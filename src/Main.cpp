#include "agent/AgentProcess.h"
#include "agent/AgentSettings.h"
#include "command/Command.h"
#include "command/ExitCode.h"
#include "entry/EntryProcess.h"
#include "entry/EntrySettings.h"
#include "platform/Programs.h"
#include "platform/Settings.h"
#include "transport/SettingsReader.h"

#include <iostream>
#include <string>
#include <vector>

namespace hemlocklead {
namespace {

    constexpr std::string_view usage = R"(usage: hemlocklead COMMAND [ARGUMENTS]

Processes:
  entry --config FILE         run an entry
  agent --config FILE         run an agent
  platform-entry --config FILE   run an entry on the users' platform
  platform-agent --config FILE   run an agent on the users' platform
  check-config FILE...        check settings files

Operators:
  catalogue list|show|set|explain|history|govern
  datacentre list|out|in
  status
  job submit|show|cancel|result|list|wait

`hemlocklead COMMAND [ACTION] --help` has options and examples. Operator commands take `--entry IP:PORT` (repeatable) or
the environment variable HEMLOCKLEAD_ENTRY (addresses separated by commas).

Exit codes: 0 done, 1 refused or failed, 2 usage or settings, 3 unreachable, 4 outcome unknown
)";

    int usageError(const std::string& message)
    {
        std::cerr << "hemlocklead: " << message << "\n\n" << usage;
        return exitUsage;
    }

    Result<std::string> checkFile(const std::string& file)
    {
        BOOST_LEAF_AUTO(role, settingsRole(file));
        if (role == "entry")
            BOOST_LEAF_CHECK(parseEntrySettings(file));
        else if (role == "agent")
            BOOST_LEAF_CHECK(parseAgentSettings(file));
        else if (role == "platform_entry")
            BOOST_LEAF_CHECK(platform::parseEntrySettings(file));
        else
            BOOST_LEAF_CHECK(platform::parseAgentSettings(file));
        return file + ": settings of an " + role + ", no errors";
    }

    int checkConfig(const std::vector<std::string>& files)
    {
        if (files.empty() || files[0].starts_with("-"))
            return usageError("check-config FILE...");
        int exitCode = exitSuccess;
        for (const std::string& file : files) {
            const auto check = [&]() -> Result<int> {
                BOOST_LEAF_AUTO(message, checkFile(file));
                std::cout << message << '\n';
                return exitSuccess;
            };
            const auto report = [](const Error& error) {
                std::cerr << error.message << '\n';
                return exitUsage;
            };
            if (orElse(check, report) != exitSuccess)
                exitCode = exitUsage;
        }
        return exitCode;
    }

    int runProcess(const std::vector<std::string>& arguments, int (*run)(const std::string&))
    {
        if (arguments.size() != 2 || arguments[0] != "--config")
            return usageError("--config FILE is required");
        return run(arguments[1]);
    }

    int runCommand(const std::vector<std::string>& arguments)
    {
        if (arguments.empty())
            return usageError("no command");
        const std::string& command = arguments[0];
        const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
        if (command == "--help" || command == "-h" || command == "help") {
            std::cout << usage;
            return exitSuccess;
        }
        if (command == "entry")
            return runProcess(rest, &runEntry);
        if (command == "agent")
            return runProcess(rest, &runAgent);
        if (command == "platform-entry")
            return runProcess(rest, &platform::runEntry);
        if (command == "platform-agent")
            return runProcess(rest, &platform::runAgent);
        if (command == "check-config")
            return checkConfig(rest);
        if (isOperatorCommand(command))
            return runOperatorCommand(arguments);
        return usageError("unknown command " + command);
    }

} // namespace
} // namespace hemlocklead

int main(int argc, char** argv) { return hemlocklead::runCommand(std::vector<std::string>(argv + 1, argv + argc)); }
