#include "command/Actions.h"
#include "command/CommandLine.h"
#include "command/ExitCode.h"
#include "protocol/Traceparent.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace hemlocklead {

namespace {

    constexpr Duration pollInterval { 250 };
    constexpr int64_t defaultWaitMs = 600'000;
    constexpr size_t keyDigits = 16;

    std::string jobPath(const std::string& id) { return "/jobs/" + percentEncode(id); }

    void printJob(const Json& job)
    {
        std::cout << job.value("job", "") << "  " << job.value("name", "") << "  team " << job.value("team", "") << "  "
                  << job.value("phase", "") << "  tasks " << jsonText(job["task_phases"]) << "  attempts "
                  << job["attempts"] << "  evictions " << job["evictions"];
        if (job.contains("unplaceable"))
            std::cout << "  UNPLACEABLE: " << job.value("unplaceable", "");
        std::cout << '\n';
    }

    void printJobs(const Json& body)
    {
        for (const Json& job : body["jobs"])
            printJob(job);
        if (body.value("truncated", false))
            std::cout << "more jobs exist than are listed; filter by --team or --phase\n";
        for (const Json& missing : body["missing"])
            std::cout << "no response for " << jsonText(missing) << ", its jobs are not listed\n";
    }

    void printResults(const Json& body)
    {
        for (const Json& result : body["results"])
            std::cout << result["index"] << "  " << result.value("phase", "") << "  " << result.value("result", "")
                      << '\n';
        if (!body["next"].is_null())
            std::cout << "more results from index " << body["next"] << '\n';
    }

    void printJobId(const Json& body) { std::cout << body.value("job", "") << '\n'; }

    void printCancelled(const Json& body) { std::cout << jsonText(body) << '\n'; }

    /// Sends a request for one job and prints the response.
    int runJobRequest(const std::string& action, const std::string& summary, const std::string& method,
        const std::string& suffix, void (*print)(const Json&), const std::vector<std::string>& arguments)
    {
        CommandLine line("job " + action, summary, "   hemlocklead job " + action + " JOB");
        TCLAP::UnlabeledValueArg<std::string> id("job", "Id of the job", true, "", "JOB", line.parser());
        if (const auto exit = line.parse(arguments))
            return *exit;
        return line.report(line.makeClient().send(method, jobPath(id.getValue()) + suffix), print);
    }

    std::optional<std::string> readFile(const std::string& file)
    {
        std::ifstream stream(file, std::ios::binary);
        std::stringstream text;
        text << stream.rdbuf();
        if (!stream) {
            std::cerr << "hemlocklead: cannot read " << file << '\n';
            return std::nullopt;
        }
        return text.str();
    }

    int submit(const CommandLine& line, const Json& body)
    {
        const EntryResult result = line.makeClient().send("POST", "/jobs", body);
        const int exitCode = line.report(result, &printJobId);
        if (exitCode == exitOutcomeUnknown)
            std::cerr << "repeat with --key " << body["idempotency_key"].get<std::string>()
                      << ": the job is accepted at most once\n";
        return exitCode;
    }

    int exitCodeForPhase(const std::string& phase) { return phase == "finished" ? exitSuccess : exitRefused; }

} // namespace

int runJobSubmit(const std::vector<std::string>& arguments)
{
    CommandLine line("job submit", "Submits a job and prints its id once it is durable.",
        "   hemlocklead job submit --name compile-register --tasks 20 --payload '{\"run_ms\": 500}'\n"
        "   hemlocklead job submit --name removal-watch --payload-file watch.json --key nightly-17");
    TCLAP::ValueArg<std::string> name("", "name", "Catalogue entry", true, "", "NAME", line.parser());
    TCLAP::ValueArg<std::string> team("", "team", "Team; default: the entry's", false, "", "TEAM", line.parser());
    TCLAP::ValueArg<int64_t> tasks("", "tasks", "Number of tasks; default 1", false, 1, "N", line.parser());
    TCLAP::ValueArg<std::string> payload(
        "", "payload", "Payload passed to each task", false, "", "TEXT", line.parser());
    TCLAP::ValueArg<std::string> payloadFile(
        "", "payload-file", "File with the payload", false, "", "FILE", line.parser());
    TCLAP::ValueArg<std::string> key(
        "", "key", "Idempotency key: a job with the same key is accepted once", false, "", "KEY", line.parser());
    if (const auto exit = line.parse(arguments))
        return *exit;
    Json body { { "name", name.getValue() }, { "tasks", tasks.getValue() }, { "payload", payload.getValue() } };
    if (team.isSet())
        body["team"] = team.getValue();
    if (payloadFile.isSet()) {
        const std::optional<std::string> text = readFile(payloadFile.getValue());
        if (!text)
            return exitUsage;
        body["payload"] = *text;
    }
    body["idempotency_key"] = key.isSet() ? key.getValue() : randomHex(keyDigits);
    return submit(line, body);
}

int runJobShow(const std::vector<std::string>& arguments)
{
    return runJobRequest("show", "Shows a job.", "GET", "", &printJob, arguments);
}

int runJobCancel(const std::vector<std::string>& arguments)
{
    return runJobRequest(
        "cancel", "Cancels a job; tasks that run are stopped.", "DELETE", "", &printCancelled, arguments);
}

int runJobResult(const std::vector<std::string>& arguments)
{
    return runJobRequest("result", "Prints the results of a job's tasks.", "GET", "/result", &printResults, arguments);
}

int runJobList(const std::vector<std::string>& arguments)
{
    CommandLine line("job list", "Lists jobs.", "   hemlocklead job list --team registers --phase active");
    TCLAP::ValueArg<std::string> team("", "team", "Only this team's jobs", false, "", "TEAM", line.parser());
    TCLAP::ValueArg<std::string> phase(
        "", "phase", "Only jobs in this phase: active, finished, failed, cancelled", false, "", "PHASE", line.parser());
    if (const auto exit = line.parse(arguments))
        return *exit;
    const std::string query = "?team=" + percentEncode(team.getValue()) + "&phase=" + percentEncode(phase.getValue());
    return line.report(line.makeClient().send("GET", "/jobs" + query), &printJobs);
}

int runJobWait(const std::vector<std::string>& arguments)
{
    CommandLine line("job wait",
        "Waits until a job has ended; exit code 0 when it finished, 1 when it failed or was "
        "cancelled, 4 when it has not ended in time.",
        "   hemlocklead job wait JOB --wait-ms 60000");
    TCLAP::UnlabeledValueArg<std::string> id("job", "Id of the job", true, "", "JOB", line.parser());
    TCLAP::ValueArg<int64_t> wait(
        "", "wait-ms", "Longest wait, in milliseconds", false, defaultWaitMs, "MS", line.parser());
    if (const auto exit = line.parse(arguments))
        return *exit;
    EntryClient client = line.makeClient();
    EntryResult result;
    for (Duration waited { 0 }; waited <= Duration { wait.getValue() }; waited += pollInterval) {
        result = client.send("GET", jobPath(id.getValue()));
        const std::string phase = result.isSuccess() ? result.json().value("phase", "") : "";
        if (!phase.empty() && phase != "active") {
            line.report(result, &printJob);
            return exitCodeForPhase(phase);
        }
        constexpr int notFound = 404;
        if (result.status == EntryResult::Status::Answered && result.response.status == notFound)
            return line.report(result, &printJob);
        client.sleep(pollInterval);
    }
    const int exitCode = line.report(result, &printJob);
    return exitCode == exitSuccess ? exitOutcomeUnknown : exitCode;
}

} // namespace hemlocklead
