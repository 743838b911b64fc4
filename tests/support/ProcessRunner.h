#pragma once

#include "protocol/Http.h"
#include "support/FreePort.h"
#include "transport/EventLoop.h"

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Starts programs of the build for system tests, by fork and exec, and ends by id those that it started.
///
/// The folder of the programs is in the environment variable HEMLOCKLEAD_BIN. The output of each goes to a file.
class ProcessRunner {
public:
    ProcessRunner();

    /// Ends every process that still runs.
    ~ProcessRunner();
    ProcessRunner(const ProcessRunner&) = delete;
    ProcessRunner& operator=(const ProcessRunner&) = delete;

    /// Starts a program. `name` names its log.
    pid_t start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    /// Runs a program to its end and returns its exit code; nullopt when it was ended after `limit`.
    std::optional<int> run(
        const std::string& name, const std::string& program, const std::vector<std::string>& arguments, Duration limit);

    /// Sends a signal to a process that this runner started.
    void signal(pid_t pid, int number);

    /// Waits for the end of the process; its exit code, or nullopt when it still runs after `limit` or was killed.
    std::optional<int> waitExit(pid_t pid, Duration limit);

    /// Output of the process so far.
    std::string log(const std::string& name) const;

    /// All logs, for a failing test.
    std::string logs() const;

    /// Writes a file into this runner's folder and returns its path.
    std::string writeFile(const std::string& name, const std::string& text) const;

private:
    void endAll();

    std::string m_programs;
    std::string m_folder;
    std::vector<pid_t> m_pids;
    std::vector<std::string> m_names;
};

/// Waits until `condition` holds; false when it does not within `limit`.
bool waitUntil(const std::function<bool()>& condition, Duration limit);

/// Sends a request and waits for the response; nullopt when there is none.
std::optional<HttpResponse> sendHttp(const Address& address, HttpRequest request, Duration timeout = Duration { 5000 });

} // namespace hemlocklead
