#include "command/Command.h"

#include "command/Actions.h"
#include "command/ExitCode.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace hemlocklead {

namespace {

    using Arguments = std::vector<std::string>;

    struct Action {
        std::string_view command;
        std::string_view name; ///< Empty if the command has no actions.
        int (*run)(const Arguments&);
    };

    constexpr std::array<Action, 16> actions { {
        { "catalogue", "list", &runCatalogueList },
        { "catalogue", "show", &runCatalogueShow },
        { "catalogue", "set", &runCatalogueSet },
        { "catalogue", "explain", &runCatalogueExplain },
        { "catalogue", "history", &runCatalogueHistory },
        { "catalogue", "govern", &runCatalogueGovern },
        { "datacentre", "list", &runDataCentreList },
        { "datacentre", "out", &runDataCentreOut },
        { "datacentre", "in", &runDataCentreIn },
        { "status", "", &runStatus },
        { "job", "submit", &runJobSubmit },
        { "job", "show", &runJobShow },
        { "job", "cancel", &runJobCancel },
        { "job", "result", &runJobResult },
        { "job", "list", &runJobList },
        { "job", "wait", &runJobWait },
    } };

    /// Prints the usage line of a command and its actions.
    void printActions(std::ostream& out, std::string_view command)
    {
        out << "usage: hemlocklead " << command << " ACTION [ARGUMENTS]\n\nActions:";
        for (const Action& action : actions) {
            if (action.command == command)
                out << ' ' << action.name;
        }
        out << "\n\n`hemlocklead " << command << " ACTION --help` has options and examples.\n";
    }

} // namespace

bool isOperatorCommand(std::string_view name)
{
    return std::ranges::find(actions, name, &Action::command) != actions.end();
}

int runOperatorCommand(const Arguments& arguments)
{
    const std::string& command = arguments[0];
    const std::string action = arguments.size() > 1 ? arguments[1] : "";
    for (const Action& candidate : actions) {
        if (candidate.command != command)
            continue;
        if (candidate.name.empty())
            return candidate.run(Arguments(arguments.begin() + 1, arguments.end()));
        if (candidate.name == action)
            return candidate.run(Arguments(arguments.begin() + 2, arguments.end()));
    }
    const bool wantsHelp = action == "--help" || action == "-h";
    printActions(wantsHelp ? std::cout : std::cerr, command);
    return wantsHelp ? exitSuccess : exitUsage;
}

} // namespace hemlocklead
