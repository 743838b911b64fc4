#pragma once

#include "support/ProcessRunner.h"

#include <csignal>

namespace hemlocklead {

/// Settings of a test site beyond addresses and names: TOML lines of the `[entry]` and `[agent]` tables.
struct SiteOptions {
    std::string entrySettings;
    std::string agentSettings;

    /// Durations for tests that wait for the end of an authority or lease: D = 2 s, L = 6 s, W = 2.5 s, margin 0.5 s.
    /// F and the poll of the control stream keep their defaults, since the 4 s bound depends on them.
    static SiteOptions shortLeases();
};

/// A small site of real processes: a log, entries, and hosts with worker, target and agent. Host N (from 0) is in data
/// centre `dcN % 3`; its service is `samples`. Workers and targets keep journals.
class TestSite {
public:
    struct Host {
        std::string name;
        std::string dataCentre;
        Address agent;
        Address worker;
        Address target;
        pid_t agentPid { 0 };
        pid_t workerPid { 0 };
        pid_t targetPid { 0 };
    };

    struct Entry {
        std::string name;
        Address http;
        Address peer;
        std::string settingsFile;
        pid_t pid { 0 };
    };

    TestSite(size_t entries, size_t hosts, SiteOptions options = {});

    /// Starts all processes; false when an entry does not serve all agents within 20 s.
    bool start();

    std::optional<HttpResponse> send(size_t entry, const std::string& method, const std::string& path,
        const Json& body = nullptr, const std::vector<HeaderField>& headers = {}) const;

    /// Body of a GET as JSON; null without a response.
    Json get(size_t entry, const std::string& path) const;

    /// Publishes a catalogue entry; its HTTP status, or 0.
    int setCatalogue(const std::string& name, uint64_t baseVersion, const Json& entry) const;

    /// Starts a process again whose former one has ended.
    void startEntry(size_t index);
    void startAgent(size_t host);
    void startTarget(size_t host);

    /// Ends a process at once (SIGKILL) and waits for its end.
    void kill(pid_t pid);

    /// Stops a process from running, or lets it run on.
    void pause(pid_t pid) { m_runner.signal(pid, SIGSTOP); }
    void resume(pid_t pid) { m_runner.signal(pid, SIGCONT); }

    /// Fault of the stand-in log: `none`, `down`, `slow` or `lose-answer`, for `count` operations or until changed.
    bool setLogFault(const std::string& mode, std::optional<int> count = std::nullopt) const;

    /// Fault of the stand-in target of a host.
    bool setTargetFault(size_t host, const std::string& mode) const;

    /// Publishes an entry of team `registers` for service `samples`; its HTTP status, or 0.
    int publish(const std::string& name, const std::string& workClass) const;

    /// Submits a job and returns its id; empty when it was not accepted within 10 s.
    std::string submit(size_t entry, const std::string& name, int tasks, const std::string& payload) const;

    /// Whether all entries serve and all agents report.
    bool isReady() const;

    /// Text of the journal of a host's worker or target.
    std::string workerJournal(size_t host) const { return m_runner.log("worker-journal-" + m_hosts[host].name); }
    std::string targetJournal(size_t host) const { return m_runner.log("target-journal-" + m_hosts[host].name); }

    ProcessRunner& runner() { return m_runner; }
    std::vector<Entry>& entries() { return m_entries; }
    const std::vector<Entry>& entries() const { return m_entries; }
    std::vector<Host>& hosts() { return m_hosts; }
    const std::vector<Host>& hosts() const { return m_hosts; }
    const Address& log() const { return m_log; }

private:
    void startWorker(size_t host);

    SiteOptions m_options;
    ProcessRunner m_runner;
    Address m_log { freeAddress() };
    std::vector<Entry> m_entries;
    std::vector<Host> m_hosts;
};

} // namespace hemlocklead
