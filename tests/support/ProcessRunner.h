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

/// Starts programs of the build for system tests with fork and exec, and terminates only those processes, by pid.
///
/// The environment variable HEMLOCKLEAD_BIN holds the directory of the programs. Output goes to one file per name.
class ProcessRunner {
public:
    ProcessRunner();

    /// Terminates all processes that still run and removes the directory.
    ~ProcessRunner();
    ProcessRunner(const ProcessRunner&) = delete;
    ProcessRunner& operator=(const ProcessRunner&) = delete;

    /// Starts a program with its output in the log `name`.
    pid_t start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    /// Runs a program and returns its exit code; nullopt if it was killed by a signal, also after `limit` by this
    /// runner.
    std::optional<int> run(
        const std::string& name, const std::string& program, const std::vector<std::string>& arguments, Duration limit);

    /// Sends a signal; ignored unless this runner started the process and has not seen its end.
    void signal(pid_t pid, int number);

    /// Waits for the process to exit. Returns its exit code, or nullopt if it still runs after `limit` or was killed.
    std::optional<int> waitExit(pid_t pid, Duration limit);

    /// Output of the process so far.
    std::string log(const std::string& name) const;

    /// All logs, for failure messages.
    std::string logs() const;

    /// Writes a file into this runner's temporary directory and returns its path.
    std::string writeFile(const std::string& name, const std::string& text) const;

private:
    void terminateAll();

    std::string m_programs;
    std::string m_directory;
    std::vector<pid_t> m_pids;
    std::vector<std::string> m_names;
};

/// Polls `condition` until it is true; returns false if it is not within `limit`.
bool waitUntil(const std::function<bool()>& condition, Duration limit);

/// Sends a request and waits for the response; nullopt if there is none.
std::optional<HttpResponse> sendHttp(const Address& address, HttpRequest request, Duration timeout = Duration { 5000 });

} // namespace hemlocklead
