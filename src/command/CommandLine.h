#pragma once

#include "command/EntryClient.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Command line of one action, with the options common to all actions: `--entry`, `--json`, `--timeout-ms`.
class CommandLine {
public:
    /// `name` is the command and its action. `examples` holds one example per line for `--help`.
    CommandLine(const std::string& name, const std::string& summary, const std::string& examples);
    ~CommandLine();

    /// Parser to which the action adds its own arguments.
    TCLAP::CmdLine& parser() { return m_parser; }

    /// Parses the arguments. Returns an exit code if the action must not run: after `--help` or on invalid arguments.
    std::optional<int> parse(const std::vector<std::string>& arguments);

    bool wantsJson() const { return m_json.getValue(); }

    /// Client for the addresses of `--entry`, or of HEMLOCKLEAD_ENTRY if the option was not given.
    EntryClient makeClient() const { return EntryClient(m_entries, timeout()); }

    Duration timeout() const { return Duration { m_timeout.getValue() }; }

    /// Prints the response body unchanged with `--json`, otherwise through `print` on success and as an error message
    /// on failure. Returns the exit code.
    int report(const EntryResult& result, void (*print)(const Json&)) const;

private:
    class HelpOutput;

    std::optional<int> resolveEntries();

    TCLAP::CmdLine m_parser;
    std::unique_ptr<HelpOutput> m_output;
    TCLAP::MultiArg<std::string> m_entry;
    TCLAP::SwitchArg m_json;
    TCLAP::ValueArg<int64_t> m_timeout;
    std::vector<Address> m_entries;
};

} // namespace hemlocklead
