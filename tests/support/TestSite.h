#pragma once

#include "support/ProcessRunner.h"

namespace hemlocklead {

/// A small site of real processes: a log, entries, and hosts with worker, target and agent. Host N (from 0) is in data
/// centre `dcN % 3`; its service is `samples`.
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

    TestSite(size_t entries, size_t hosts);

    /// Starts all processes; false when an entry does not serve all agents within 20 s.
    bool start();

    std::optional<HttpResponse> send(size_t entry, const std::string& method, const std::string& path,
        const Json& body = nullptr, const std::vector<HeaderField>& headers = {}) const;

    /// Body of a GET as JSON; null without a response.
    Json get(size_t entry, const std::string& path) const;

    /// Publishes a catalogue entry; its HTTP status, or 0.
    int setCatalogue(const std::string& name, uint64_t baseVersion, const Json& entry) const;

    ProcessRunner& runner() { return m_runner; }
    std::vector<Entry>& entries() { return m_entries; }
    std::vector<Host>& hosts() { return m_hosts; }
    const Address& log() const { return m_log; }

private:
    void startEntry(size_t index);
    void startHost(Host& host);
    bool isReady() const;

    ProcessRunner m_runner;
    Address m_log { freeAddress() };
    std::vector<Entry> m_entries;
    std::vector<Host> m_hosts;
};

} // namespace hemlocklead
