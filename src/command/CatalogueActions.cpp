#include "command/Actions.h"
#include "command/CommandLine.h"
#include "command/ExitCode.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace hemlocklead {

namespace {

    std::string itemPath(const std::string& name) { return "/catalogue/" + percentEncode(name); }

    /// JSON text of a value; strings without quotes.
    std::string unquoted(const Json& value) { return value.is_string() ? value.get<std::string>() : jsonText(value); }

    void printItems(const Json& body)
    {
        for (const Json& item : body["items"]) {
            std::cout << unquoted(item["name"]) << "  version " << item["version"] << "  governed by "
                      << unquoted(item["governingOwner"]);
            for (const Json& entry : item["entries"])
                std::cout << "  [" << unquoted(entry["owner"]) << ": " << unquoted(entry["workClass"]) << ", team "
                          << unquoted(entry["team"]) << ']';
            std::cout << '\n';
        }
    }

    void printRollout(const Json& rollout)
    {
        if (rollout.is_null())
            return;
        std::cout << "in force at " << rollout["agents_in_force"] << " of " << rollout["agents"] << " agents and "
                  << rollout["peers_in_force"] << " of " << rollout["peers"] << " peer entries\n";
    }

    void printItem(const Json& body)
    {
        std::cout << unquoted(body["name"]) << "  version " << body["version"] << "  governed by "
                  << unquoted(body["governing_owner"]) << "\nin force: " << jsonText(body["in_force"]) << '\n';
        printRollout(body["rollout"]);
    }

    void printExplanation(const Json& body)
    {
        printItem(body);
        std::cout << "why: " << unquoted(body["why"]) << '\n';
        for (const Json& other : body["not_in_force"]) {
            std::cout << "not in force: the entry of " << unquoted(other["owner"]) << '\n';
            for (const Json& field : other["differs"])
                std::cout << "  " << unquoted(field["field"]) << ": " << unquoted(field["entry"])
                          << " (in force: " << unquoted(field["in_force"]) << ")\n";
        }
    }

    void printHistory(const Json& body)
    {
        for (const Json& edit : body["edits"])
            std::cout << "version " << edit["version"] << "  offset " << edit["offset"] << "  by "
                      << unquoted(edit["by"]) << "  " << unquoted(edit["summary"]) << '\n';
    }

    /// Requests the entry of one name and prints the response.
    int showEntry(const std::string& action, const std::string& summary, const std::string& suffix,
        void (*print)(const Json&), const std::vector<std::string>& arguments)
    {
        CommandLine line("catalogue " + action, summary, "   hemlocklead catalogue " + action + " sample-lookup");
        TCLAP::UnlabeledValueArg<std::string> name("name", "Name of the entry", true, "", "NAME", line.parser());
        if (const auto exit = line.parse(arguments))
            return *exit;
        return line.report(line.makeClient().send("GET", itemPath(name.getValue()) + suffix), print);
    }

    /// JSON object in the file; on error prints a message to standard error and returns null.
    Json readJsonFile(const std::string& file)
    {
        std::ifstream stream(file);
        std::stringstream text;
        text << stream.rdbuf();
        Json json = stream ? Json::parse(text.str(), nullptr, false) : Json();
        if (json.is_object())
            return json;
        std::cerr << "hemlocklead: cannot read a JSON object from " << file << '\n';
        return {};
    }

    constexpr int64_t useCurrentVersion = -1; ///< Default of `--base-version`.

    /// Sets `base_version` in `body` to `requestedVersion`, or to the current version (0 for a new name) when that is
    /// `useCurrentVersion`.
    EntryResult setBaseVersion(EntryClient& client, const std::string& name, int64_t requestedVersion, Json& body)
    {
        constexpr int notFound = 404;
        EntryResult result { EntryResult::Status::Answered, {}, {} };
        body["base_version"] = requestedVersion;
        if (requestedVersion != useCurrentVersion)
            return result;
        result = client.send("GET", itemPath(name));
        const bool isNew = result.status == EntryResult::Status::Answered && result.response.status == notFound;
        body["base_version"] = isNew ? Json(0) : result.json().value("version", Json(0));
        if (isNew)
            result.response = {};
        return result;
    }

    int sendEdit(const CommandLine& line, const std::string& name, int64_t baseVersion, const std::string& method,
        const std::string& suffix, Json body)
    {
        EntryClient client = line.makeClient();
        const EntryResult current = setBaseVersion(client, name, baseVersion, body);
        if (!current.isSuccess())
            return line.report(current, &printItem);
        return line.report(client.send(method, itemPath(name) + suffix, body), &printExplanation);
    }

    /// The option `--base-version`.
    class BaseVersionArgument {
    public:
        explicit BaseVersionArgument(CommandLine& line)
            : m_argument("", "base-version",
                "Version that the edit starts from, 0 for a new name; the edit is refused when another one came first. "
                "Default: the version at the time of the command",
                false, useCurrentVersion, "N", line.parser())
        {
        }

        int64_t value() const { return m_argument.getValue(); }

    private:
        mutable TCLAP::ValueArg<int64_t> m_argument;
    };

} // namespace

int runCatalogueList(const std::vector<std::string>& arguments)
{
    CommandLine line("catalogue list", "Lists all catalogue entries.", "   hemlocklead catalogue list --json");
    if (const auto exit = line.parse(arguments))
        return *exit;
    return line.report(line.makeClient().send("GET", "/catalogue"), &printItems);
}

int runCatalogueShow(const std::vector<std::string>& arguments)
{
    return showEntry("show", "Shows the entry that is in force.", "", &printItem, arguments);
}

int runCatalogueExplain(const std::vector<std::string>& arguments)
{
    return showEntry("explain", "Tells which owner's entry is in force and why, and what the others would change.", "",
        &printExplanation, arguments);
}

int runCatalogueHistory(const std::vector<std::string>& arguments)
{
    return showEntry("history", "Lists the last edits of a name.", "/history", &printHistory, arguments);
}

int runCatalogueSet(const std::vector<std::string>& arguments)
{
    CommandLine line("catalogue set", "Publishes an owner's entry for a name, from a JSON file.",
        "   hemlocklead catalogue set sample-lookup --file lookup.json\n"
        "   hemlocklead catalogue set sample-lookup --file lookup.json --base-version 3\n\n"
        "   lookup.json: {\"owner\": \"product\", \"team\": \"registers\", \"workClass\": \"answer-now\",\n"
        "                 \"limits\": {\"timeoutMs\": 800}}");
    TCLAP::UnlabeledValueArg<std::string> name("name", "Name of the entry", true, "", "NAME", line.parser());
    TCLAP::ValueArg<std::string> file("f", "file", "JSON file with the entry", true, "", "FILE", line.parser());
    const BaseVersionArgument baseVersion(line);
    if (const auto exit = line.parse(arguments))
        return *exit;
    const Json entry = readJsonFile(file.getValue());
    if (entry.is_null())
        return exitUsage;
    return sendEdit(line, name.getValue(), baseVersion.value(), "PUT", "", { { "entry", entry } });
}

int runCatalogueGovern(const std::vector<std::string>& arguments)
{
    CommandLine line("catalogue govern", "Moves the governing role of a name to another owner.",
        "   hemlocklead catalogue govern sample-lookup --by product --to operations");
    TCLAP::UnlabeledValueArg<std::string> name("name", "Name of the entry", true, "", "NAME", line.parser());
    TCLAP::ValueArg<std::string> by("", "by", "Owner that governs now", true, "", "OWNER", line.parser());
    TCLAP::ValueArg<std::string> owner("", "to", "Owner that is to govern", true, "", "OWNER", line.parser());
    const BaseVersionArgument baseVersion(line);
    if (const auto exit = line.parse(arguments))
        return *exit;
    const Json body { { "by", by.getValue() }, { "owner", owner.getValue() } };
    return sendEdit(line, name.getValue(), baseVersion.value(), "POST", "/govern", body);
}

} // namespace hemlocklead
