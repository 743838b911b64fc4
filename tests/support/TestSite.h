#pragma once

#include "support/ProcessRunner.h"

#include <csignal>

namespace hemlocklead {

/// Additional settings of a test site, as TOML lines of the `[entry]` and `[agent]` tables.
struct SiteOptions {
    std::string entrySettings;
    std::string agentSettings;

    /// Short durations for tests that wait for the end of an authority or lease: shard authority (D) 2 s, attempt lease
    /// (L) 6 s, worker lease (W) 2.5 s, drift margin 0.5 s. The start freshness (F) and the poll interval of the
    /// control stream keep their defaults, since the 4 s bound depends on them.
    static SiteOptions shortLeases();
};

/// A small site of real processes: the stand-in log, entries, and hosts with a stand-in worker, a stand-in target and
/// an agent each. Host N, counted from 0, is in data centre `dc` + N % 3; its target serves `samples`. Workers and
/// targets write journals.
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

    /// Starts all processes. Returns false if the site is not ready within 20 s.
    bool start();

    std::optional<HttpResponse> send(size_t entry, const std::string& method, const std::string& path,
        const Json& body = nullptr, const std::vector<HeaderField>& headers = {}) const;

    /// Body of a GET as JSON; null without a response.
    Json get(size_t entry, const std::string& path) const;

    /// Publishes a catalogue entry. Returns the HTTP status, or 0 without a response.
    int setCatalogue(const std::string& name, uint64_t baseVersion, const Json& entry) const;

    /// Start a process; also used to restart it after it has exited.
    void startEntry(size_t index);
    void startAgent(size_t host);
    void startTarget(size_t host);

    /// Kills a process with SIGKILL and waits until it has exited.
    void kill(pid_t pid);

    /// Suspend and continue a process.
    void pause(pid_t pid) { m_runner.signal(pid, SIGSTOP); }
    void resume(pid_t pid) { m_runner.signal(pid, SIGCONT); }

    /// Sets the fault of the stand-in log: `none`, `down`, `slow` or `lose-answer`, for the next `count` operations or,
    /// without a count, until it is changed.
    bool setLogFault(const std::string& mode, std::optional<int> count = std::nullopt) const;

    /// Sets the fault of the stand-in target of a host.
    bool setTargetFault(size_t host, const std::string& mode) const;

    /// Publishes a catalogue entry of team `registers` for service `samples`. Returns the HTTP status, or 0 without a
    /// response.
    int publish(const std::string& name, const std::string& workClass) const;

    /// Submits a job, retrying for up to 10 s, and returns its id; empty if it was not accepted.
    std::string submit(size_t entry, const std::string& name, int tasks, const std::string& payload) const;

    /// True if all entries serve and each has a report with a ready ledger and a target from every agent.
    bool isReady() const;

    /// Content of the journal of a host's worker or target.
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
