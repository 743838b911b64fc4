#include "command/CommandLine.h"

#include "command/ExitCode.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace hemlocklead {

namespace {

    constexpr int64_t defaultTimeoutMs = 10'000;
    constexpr const char* entriesVariable = "HEMLOCKLEAD_ENTRY";

    std::vector<std::string> splitByComma(const std::string& text)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        for (std::string part; std::getline(stream, part, ',');)
            parts.push_back(part);
        return parts;
    }

    Result<std::vector<Address>> parseAddresses(const std::vector<std::string>& texts)
    {
        std::vector<Address> addresses;
        for (const std::string& text : texts) {
            BOOST_LEAF_AUTO(address, parseAddress(text));
            addresses.push_back(address);
        }
        return addresses;
    }

    void printError(const EntryResult& result)
    {
        switch (result.status) {
        case EntryResult::Status::Unreachable:
            std::cerr << "unreachable: no entry could be reached; no change was made\n";
            return;
        case EntryResult::Status::Unknown:
            std::cerr << "outcome unknown: " << result.entry.text()
                      << " did not respond; check the state before repeating the request\n";
            return;
        case EntryResult::Status::Answered:
            break;
        }
        const Json body = result.json();
        if (!body.is_object()) {
            std::cerr << "refused: HTTP status " << result.response.status << '\n';
            return;
        }
        std::cerr << body.value("error", "error") << " (" << body.value("outcome", "")
                  << "): " << body.value("message", "") << '\n';
        if (body.contains("won"))
            std::cerr << "won: " << jsonText(body["won"]) << '\n';
        if (body.contains("current"))
            std::cerr << "current: " << jsonText(body["current"]) << '\n';
    }

} // namespace

/// Prints the help with examples, and ends parsing errors with `exitUsage`.
class CommandLine::HelpOutput final : public TCLAP::StdOutput {
public:
    explicit HelpOutput(std::string examples)
        : m_examples(std::move(examples))
    {
    }

    void usage(TCLAP::CmdLineInterface& line) override
    {
        std::cout << line.getMessage() << "\n\nUsage:\n\n";
        _shortUsage(line, std::cout);
        std::cout << "\n\nOptions:\n\n";
        for (const TCLAP::Arg* argument : line.getArgList())
            std::cout << "   " << argument->longID() << "\n      " << argument->getDescription() << '\n';
        std::cout << "\nExamples:\n\n" << m_examples << '\n';
    }

    void failure(TCLAP::CmdLineInterface& line, TCLAP::ArgException& error) override
    {
        std::cerr << "hemlocklead: " << error.error() << ' ' << error.argId() << "\n\nUsage:\n\n";
        _shortUsage(line, std::cerr);
        std::cerr << '\n';
        throw TCLAP::ExitException(exitUsage);
    }

private:
    std::string m_examples;
};

CommandLine::CommandLine(const std::string& name, const std::string& summary, const std::string& examples)
    : m_parser(summary, ' ', "", false)
    , m_output(std::make_unique<HelpOutput>(examples))
    , m_entry("e", "entry", "HTTP address of an entry; may be repeated. Default: HEMLOCKLEAD_ENTRY", false, "IP:PORT")
    , m_json("j", "json", "Print the entry's JSON response")
    , m_timeout("", "timeout-ms", "Longest wait for a response, in milliseconds", false, defaultTimeoutMs, "MS")
{
    m_parser.setExceptionHandling(false);
    m_parser.setOutput(m_output.get());
    m_parser.add(m_entry);
    m_parser.add(m_json);
    m_parser.add(m_timeout);
    m_parser.getProgramName() = "hemlocklead " + name;
}

CommandLine::~CommandLine() = default;

std::optional<int> CommandLine::parse(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all { m_parser.getProgramName() };
    for (const std::string& argument : arguments) {
        if (argument == "--help" || argument == "-h") {
            m_output->usage(m_parser);
            return exitSuccess;
        }
        all.push_back(argument);
    }
    try {
        m_parser.parse(all);
    } catch (TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (TCLAP::ArgException& error) {
        std::cerr << "hemlocklead: " << error.error() << ' ' << error.argId() << '\n';
        return exitUsage;
    }
    if (timeout() <= Duration { 0 }) {
        std::cerr << "hemlocklead: --timeout-ms must be above 0\n";
        return exitUsage;
    }
    return resolveEntries();
}

std::optional<int> CommandLine::resolveEntries()
{
    std::vector<std::string> texts = m_entry.getValue();
    const char* variable = std::getenv(entriesVariable);
    if (texts.empty() && variable)
        texts = splitByComma(variable);
    if (texts.empty()) {
        std::cerr << "hemlocklead: --entry IP:PORT or " << entriesVariable << " is required\n";
        return exitUsage;
    }
    return orElse(
        [&]() -> Result<std::optional<int>> {
            BOOST_LEAF_ASSIGN(m_entries, parseAddresses(texts));
            return std::optional<int>();
        },
        [](const Error& error) -> std::optional<int> {
            std::cerr << "hemlocklead: " << error.message << '\n';
            return exitUsage;
        });
}

int CommandLine::report(const EntryResult& result, void (*print)(const Json&)) const
{
    const bool hasBody = result.status == EntryResult::Status::Answered;
    if (wantsJson() && hasBody)
        std::cout << result.response.body;
    else if (result.isSuccess())
        print(result.json());
    if (!result.isSuccess() && !(wantsJson() && hasBody))
        printError(result);
    return result.exitCode();
}

} // namespace hemlocklead
