#include "command/Actions.h"
#include "command/CommandLine.h"
#include "command/ExitCode.h"

#include <cstdlib>
#include <iostream>

namespace hemlocklead {

namespace {

    constexpr int64_t defaultWaitMs = 15'000;
    constexpr Duration pollInterval { 200 };

    std::string dataCentrePath(const std::string& name) { return "/datacentres/" + percentEncode(name); }

    void printDataCentre(const Json& body)
    {
        std::cout << body.value("name", "") << "  " << body.value("state", "") << "  version " << body["version"]
                  << "  " << body["agents_here"] << " agents";
        const Json& rollout = body["rollout"];
        if (rollout.is_object()) {
            std::cout << "  in force at " << rollout["agents_in_force"] << " of " << rollout["agents"] << " agents and "
                      << rollout["peers_in_force"] << " of " << rollout["peers"] << " peer entries";
            if (!rollout["took_ms"].is_null())
                std::cout << ", everywhere after " << rollout["took_ms"] << " ms";
        }
        std::cout << '\n';
    }

    void printDataCentres(const Json& body)
    {
        for (const Json& dataCentre : body["datacentres"])
            printDataCentre(dataCentre);
    }

    bool isInForceEverywhere(const EntryResult& result, uint64_t offset)
    {
        const Json body = result.json();
        if (!result.isSuccess() || !body.contains("rollout") || !body["rollout"].is_object())
            return false;
        const Json& rollout = body["rollout"];
        return rollout["offset"].get<uint64_t>() >= offset && rollout["everywhere"].get<bool>();
    }

    /// Polls the entry that stored the edit until it reports the edit at `offset` in force everywhere, or until `wait`
    /// has passed. Returns the last response.
    EntryResult waitUntilInForce(
        EntryClient& client, const Address& entry, const std::string& name, uint64_t offset, Duration wait)
    {
        EntryResult result;
        for (Duration waited { 0 }; waited <= wait; waited += pollInterval) {
            result = client.sendTo(entry, "GET", dataCentrePath(name), nullptr);
            if (isInForceEverywhere(result, offset))
                return result;
            client.sleep(pollInterval);
        }
        return result;
    }

    int setState(const std::string& state, const std::vector<std::string>& arguments)
    {
        const std::string summary = state == "out"
            ? "Takes a data centre out: nothing starts there, what runs is moved."
            : "Brings a data centre back in.";
        CommandLine line("datacentre " + state, summary,
            "   hemlocklead datacentre " + state + " sohar --by operations\n   hemlocklead datacentre " + state
                + " sohar --by operations --wait-ms 0");
        TCLAP::UnlabeledValueArg<std::string> name("name", "Name of the data centre", true, "", "NAME", line.parser());
        TCLAP::ValueArg<std::string> by("", "by", "Who decides this, for the history", true, "", "WHO", line.parser());
        TCLAP::ValueArg<int64_t> wait("", "wait-ms", "Longest wait until it is in force everywhere; 0 does not wait",
            false, defaultWaitMs, "MS", line.parser());
        if (const auto exit = line.parse(arguments))
            return *exit;
        EntryClient client = line.makeClient();
        const EntryResult edit
            = client.send("PUT", dataCentrePath(name.getValue()), { { "state", state }, { "by", by.getValue() } });
        if (!edit.isSuccess() || wait.getValue() <= 0)
            return line.report(edit, &printDataCentre);
        const auto offset = edit.json()["rollout"]["offset"].get<uint64_t>();
        const EntryResult everywhere
            = waitUntilInForce(client, edit.entry, name.getValue(), offset, Duration { wait.getValue() });
        if (isInForceEverywhere(everywhere, offset))
            return line.report(everywhere, &printDataCentre);
        line.report(everywhere, &printDataCentre);
        std::cerr << "accepted, but not yet in force everywhere after " << wait.getValue() << " ms\n";
        return exitOutcomeUnknown;
    }

} // namespace

int runDataCentreList(const std::vector<std::string>& arguments)
{
    CommandLine line(
        "datacentre list", "Lists the data centres and whether they are in or out.", "   hemlocklead datacentre list");
    if (const auto exit = line.parse(arguments))
        return *exit;
    return line.report(line.makeClient().send("GET", "/datacentres"), &printDataCentres);
}

int runDataCentreOut(const std::vector<std::string>& arguments) { return setState("out", arguments); }

int runDataCentreIn(const std::vector<std::string>& arguments) { return setState("in", arguments); }

} // namespace hemlocklead
