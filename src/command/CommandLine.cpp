#include "command/CommandLine.h"

#include "command/ExitCode.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace hemlocklead {

namespace {

    constexpr int64_t defaultTimeoutMs = 10'000;
    constexpr const char* entryVariable = "HEMLOCKLEAD_ENTRY";

    std::vector<std::string> splitAtCommas(const std::string& text)
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

    void printError(const EntryAnswer& answer)
    {
        switch (answer.status) {
        case EntryAnswer::Status::Unreachable:
            std::cerr << "unreachable: no entry could be reached; nothing was done\n";
            return;
        case EntryAnswer::Status::Unknown:
            std::cerr << "outcome unknown: " << answer.entry.text() << " gave no response; look before you repeat it\n";
            return;
        case EntryAnswer::Status::Answered:
            break;
        }
        const Json body = answer.json();
        if (!body.is_object()) {
            std::cerr << "refused: HTTP status " << answer.response.status << '\n';
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

/// Help with examples, and errors with the program's exit code.
class CommandLine::Output final : public TCLAP::StdOutput {
public:
    explicit Output(std::string examples)
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
    : m_native(summary, ' ', "", false)
    , m_output(std::make_unique<Output>(examples))
    , m_entry("e", "entry", "HTTP address of an entry; may be repeated. Default: HEMLOCKLEAD_ENTRY", false, "IP:PORT")
    , m_json("j", "json", "Print the entry's JSON response")
    , m_timeout("", "timeout-ms", "Longest wait for a response, in milliseconds", false, defaultTimeoutMs, "MS")
{
    m_native.setExceptionHandling(false);
    m_native.setOutput(m_output.get());
    m_native.add(m_entry);
    m_native.add(m_json);
    m_native.add(m_timeout);
    m_native.getProgramName() = "hemlocklead " + name;
}

CommandLine::~CommandLine() = default;

std::optional<int> CommandLine::parse(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all { m_native.getProgramName() };
    for (const std::string& argument : arguments) {
        if (argument == "--help" || argument == "-h") {
            m_output->usage(m_native);
            return exitDone;
        }
        all.push_back(argument);
    }
    try {
        m_native.parse(all);
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
    return findEntries();
}

std::optional<int> CommandLine::findEntries()
{
    std::vector<std::string> texts = m_entry.getValue();
    const char* variable = std::getenv(entryVariable);
    if (texts.empty() && variable)
        texts = splitAtCommas(variable);
    if (texts.empty()) {
        std::cerr << "hemlocklead: --entry IP:PORT or " << entryVariable << " is required\n";
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

int CommandLine::report(const EntryAnswer& answer, void (*print)(const Json&)) const
{
    const bool hasBody = answer.status == EntryAnswer::Status::Answered;
    if (wantsJson() && hasBody)
        std::cout << answer.response.body;
    else if (answer.isDone())
        print(answer.json());
    if (!answer.isDone() && !(wantsJson() && hasBody))
        printError(answer);
    return answer.exitCode();
}

} // namespace hemlocklead
