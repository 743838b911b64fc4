#pragma once

#include "command/EntryClient.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Command line of one action, with the options that all of them share: `--entry`, `--json`, `--timeout-ms`.
class CommandLine {
public:
    /// `name` is the command with its action, `examples` are shown by `--help`, one a line.
    CommandLine(const std::string& name, const std::string& summary, const std::string& examples);
    ~CommandLine();

    /// For the arguments of the action.
    TCLAP::CmdLine& native() { return m_native; }

    /// Parses; returns an exit code when the action must not run: after `--help`, or when the arguments are wrong.
    std::optional<int> parse(const std::vector<std::string>& arguments);

    bool wantsJson() const { return m_json.getValue(); }

    /// Client for the entries of `--entry` or, when there is none, of HEMLOCKLEAD_ENTRY.
    EntryClient makeClient() const { return EntryClient(m_entries, timeout()); }

    Duration timeout() const { return Duration { m_timeout.getValue() }; }

    /// Prints the body as it is with `--json`, through `print` otherwise; for a refusal the error. Returns the exit
    /// code.
    int report(const EntryAnswer& answer, void (*print)(const Json&)) const;

private:
    class Output;

    std::optional<int> findEntries();

    TCLAP::CmdLine m_native;
    std::unique_ptr<Output> m_output;
    TCLAP::MultiArg<std::string> m_entry;
    TCLAP::SwitchArg m_json;
    TCLAP::ValueArg<int64_t> m_timeout;
    std::vector<Address> m_entries;
};

} // namespace hemlocklead
