#pragma once

#include "Minion.h"
#include "soak/StoreStandIn.h"
#include "support/ProcessRunner.h"

namespace hemlocklead::review {

/// A small deployment on loopback addresses: entries and agents as processes, a store and a server beside each agent as
/// stand-ins in this process.
class Site {
public:
    struct Settings {
        size_t entries { 3 };
        size_t agents { 8 };
        int64_t cpuMilli { 32'000 }; ///< Of each server.
        int64_t memoryMb { 128'000 };
    };

    Site(RunLog& log, Settings settings);

    /// Starts everything and waits until all entries are ready. Returns whether they are.
    bool start();

    /// Lets the site work for a while.
    void wait(Duration time);

    /// Lets the site work until the condition holds; returns whether it does within `limit`.
    bool waitFor(const std::function<bool()>& condition, Duration limit);

    /// Sends a request for the job to an entry and waits for the answer; status 0 without one.
    HttpResponse call(size_t entry, const std::string& method, const std::string& job, const std::string& body = {});

    /// Sends a request without waiting.
    void send(size_t entry, const std::string& method, const std::string& job, const std::string& body,
        std::function<void(const HttpResponse&)> done);

    /// An id that no other job has.
    std::string newJobId();

    EventLoop& loop() { return m_loop; }
    soak::StoreStandIn& store() { return m_store; }
    Minion& minion(size_t index) { return *m_minions[index]; }
    size_t minionCount() const { return m_minions.size(); }
    /// Sends a signal to an agent's process.
    void signalAgent(size_t agent, int number);
    std::string logs() const { return m_runner.logs(); }

private:
    struct Program {
        std::string name;
        std::vector<std::string> arguments;
        pid_t pid { 0 };
    };

    void startProgram(Program& program);
    void writeConfiguration();

    RunLog& m_log;
    Settings m_settings;
    EventLoop m_loop;
    ProcessRunner m_runner;
    soak::StoreStandIn m_store { m_loop };
    std::vector<Program> m_entries;
    std::vector<Program> m_agents;
    std::vector<Address> m_ready;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::vector<std::unique_ptr<Minion>> m_minions;
    uint64_t m_jobs { 0 };
};

/// The body of a job with one step.
std::string jobBody(const std::string& spec, uint32_t count, int64_t cpuMilli, int64_t memoryMb, bool lasts = false);

} // namespace hemlocklead::review
