#include "command/Actions.h"
#include "command/CommandLine.h"
#include "command/ExitCode.h"

#include <algorithm>
#include <iostream>

namespace hemlocklead {

namespace {

    void printControl(const Json& status)
    {
        const Json& control = status["control"];
        std::cout << "entry " << status.value("entry", "") << " (" << status.value("data_centre", "") << ")"
                  << (status.value("leaving", false) ? ", stopping" : "") << ": "
                  << (control.value("serving", false) ? "serving" : "NOT SERVING") << ", configuration offset "
                  << control["offset"];
        if (control.value("state_lost", false))
            std::cout << ", CONFIGURATION LOST: the log has trimmed it and no snapshot holds it";
        else if (!control.value("caught_up", false))
            std::cout << ", log not read";
        else
            std::cout << ", read from the log " << control["view_age_ms"] << " ms ago";
        std::cout << '\n';
    }

    void printAgents(const Json& agents)
    {
        const auto leaving
            = std::ranges::count_if(agents, [](const Json& agent) { return agent.value("leaving", false); });
        std::cout << "  agents: " << agents.size() << " connected, " << leaving << " leaving\n";
        for (const Json& agent : agents) {
            const Json& free = agent["free"];
            std::cout << "    " << agent.value("host", "") << "  " << agent.value("data_centre", "") << '/'
                      << agent.value("rack", "") << "  free " << free["cpuMilli"] << " milli-cores, "
                      << free["memoryMib"] << " MiB  targets " << agent["targets"].size() << "  offset "
                      << agent["control_offset"] << (agent.value("ledger_ready", false) ? "" : "  ledger not ready")
                      << (agent.value("leaving", false) ? "  leaving" : "") << '\n';
        }
    }

    void printPeers(const Json& peers)
    {
        std::cout << "  peers: " << peers.size() << " heard\n";
        for (const Json& peer : peers)
            std::cout << "    " << peer.value("entry", "") << "  " << peer.value("address", "") << "  owns "
                      << peer["owned"].size() << " shards" << (peer.value("serving", false) ? "" : "  NOT SERVING")
                      << '\n';
    }

    void printStatus(const Json& status)
    {
        printControl(status);
        printPeers(status["peers"]);
        printAgents(status["agents"]);
        std::cout << "  requests: " << jsonText(status["requests"]) << "\n  jobs: " << jsonText(status["jobs"]) << '\n';
    }

} // namespace

int runStatus(const std::vector<std::string>& arguments)
{
    CommandLine line("status", "Shows each entry given: configuration, agents, peers, requests and jobs.",
        "   hemlocklead status --entry 127.0.0.1:7000 --entry 127.0.0.1:7010");
    if (const auto exit = line.parse(arguments))
        return *exit;
    EntryClient client = line.makeClient();
    int exitCode = exitSuccess;
    for (const Address& entry : client.entries()) {
        const EntryResult result = client.sendTo(entry, "GET", "/status", nullptr);
        if (result.status != EntryResult::Status::Answered) {
            std::cerr << "entry " << entry.text() << ": unreachable\n";
            exitCode = exitUnreachable;
            continue;
        }
        const int entryExitCode = line.report(result, &printStatus);
        if (exitCode == exitSuccess)
            exitCode = entryExitCode;
    }
    return exitCode;
}

} // namespace hemlocklead
