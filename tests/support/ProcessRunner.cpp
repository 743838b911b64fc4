#include "support/ProcessRunner.h"

#include "transport/HttpClient.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace hemlocklead {

namespace {

    constexpr Duration checkInterval { 20 };
    constexpr Duration terminationTimeout { 10'000 };
    constexpr int execFailed = 127;

    std::string readFile(const std::string& path)
    {
        std::ifstream stream(path);
        std::stringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    /// Runs in the child: redirects the output to `logFile` and executes the program. Returns only if that fails.
    void execute(const std::string& program, const std::string& logFile, std::vector<char*>& argv)
    {
        const int output = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(program.c_str(), argv.data());
    }

} // namespace

ProcessRunner::ProcessRunner()
{
    const char* programs = std::getenv("HEMLOCKLEAD_BIN");
    m_programs = programs ? programs : ".";
    std::string directory = (std::filesystem::temp_directory_path() / "hemlocklead-XXXXXX").string();
    if (mkdtemp(directory.data()))
        m_directory = directory;
}

ProcessRunner::~ProcessRunner()
{
    terminateAll();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

pid_t ProcessRunner::start(
    const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    const std::string path = m_programs + "/" + program;
    std::vector<std::string> texts { program };
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(texts.size() + 1);
    for (std::string& text : texts)
        argv.push_back(text.data());
    argv.push_back(nullptr);
    const std::string logFile = m_directory + "/" + name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
        execute(path, logFile, argv);
        _exit(execFailed);
    }
    m_pids.push_back(pid);
    if (std::ranges::find(m_names, name) == m_names.end())
        m_names.push_back(name);
    return pid;
}

std::optional<int> ProcessRunner::run(
    const std::string& name, const std::string& program, const std::vector<std::string>& arguments, Duration limit)
{
    const pid_t pid = start(name, program, arguments);
    const std::optional<int> exitCode = waitExit(pid, limit);
    if (!exitCode)
        signal(pid, SIGKILL);
    return exitCode;
}

void ProcessRunner::signal(pid_t pid, int number)
{
    if (std::ranges::find(m_pids, pid) != m_pids.end())
        kill(pid, number);
}

std::optional<int> ProcessRunner::waitExit(pid_t pid, Duration limit)
{
    int status = 0;
    const bool ended = waitUntil([&] { return waitpid(pid, &status, WNOHANG) == pid; }, limit);
    if (!ended)
        return std::nullopt;
    std::erase(m_pids, pid);
    return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status)) : std::nullopt;
}

std::string ProcessRunner::log(const std::string& name) const { return readFile(m_directory + "/" + name + ".log"); }

std::string ProcessRunner::logs() const
{
    std::string all;
    for (const std::string& name : m_names)
        all += "--- " + name + "\n" + log(name);
    return all;
}

std::string ProcessRunner::writeFile(const std::string& name, const std::string& text) const
{
    std::string path = m_directory + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void ProcessRunner::terminateAll()
{
    const std::vector<pid_t> pids = m_pids;
    for (const pid_t pid : pids)
        kill(pid, SIGTERM);
    const auto allEnded = [&] {
        std::erase_if(m_pids, [](pid_t pid) { return waitpid(pid, nullptr, WNOHANG) == pid; });
        return m_pids.empty();
    };
    waitUntil(allEnded, terminationTimeout);
    for (const pid_t pid : m_pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    m_pids.clear();
}

bool waitUntil(const std::function<bool()>& condition, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(checkInterval);
    }
    return true;
}

std::optional<HttpResponse> sendHttp(const Address& address, HttpRequest request, Duration timeout)
{
    EventLoop loop;
    HttpClient client(loop, address, 1);
    std::optional<HttpResponse> response;
    client.send(std::move(request), timeout, [&](HttpExchange exchange) {
        if (exchange.status == HttpExchange::Status::Answered)
            response = std::move(exchange.response);
        loop.stop();
    });
    loop.run();
    return response;
}

} // namespace hemlocklead
