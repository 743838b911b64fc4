#include "support/TestSite.h"

namespace hemlocklead {

namespace {

    constexpr Duration startLimit { 20'000 };
    constexpr Duration submitLimit { 10'000 };
    constexpr Duration endLimit { 5000 };
    constexpr size_t dataCentres = 3;

    std::string tomlText(const std::string& text) { return '"' + text + '"'; }

    /// TOML array of the peer addresses of all entries except `except`.
    std::string peerArray(const std::vector<TestSite::Entry>& entries, const TestSite::Entry* except)
    {
        std::string array;
        for (const TestSite::Entry& entry : entries) {
            if (&entry != except)
                array += (array.empty() ? "" : ", ") + tomlText(entry.peer.text());
        }
        return "[" + array + "]";
    }

} // namespace

SiteOptions SiteOptions::shortLeases()
{
    return {
        "shard_authority_ms = 2000\nattempt_lease_ms = 6000\nworker_lease_ms = 2500\ndrift_margin_ms = 500\n"
        "owner_timeout_ms = 1500\nkeepalive_ms = 2000\n",
        "home_keepalive_ms = 1000\nkeepalive_ms = 2000\nworker_lease_ms = 2500\ndrift_margin_ms = 500\n",
    };
}

TestSite::TestSite(size_t entries, size_t hosts, SiteOptions options)
    : m_options(std::move(options))
{
    for (size_t i = 0; i < entries; ++i)
        m_entries.push_back({ "e" + std::to_string(i), freeAddress(), freeAddress(), {}, 0 });
    for (size_t i = 0; i < hosts; ++i) {
        const std::string dataCentre = "dc" + std::to_string(i % dataCentres);
        m_hosts.push_back(
            { "h" + std::to_string(i), dataCentre, freeAddress(), freeAddress(), freeAddress(), 0, 0, 0 });
    }
}

bool TestSite::start()
{
    m_runner.start("log", "standin-log", { "--listen", m_log.text() });
    for (size_t i = 0; i < m_entries.size(); ++i)
        startEntry(i);
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        startWorker(i);
        startAgent(i);
        startTarget(i);
    }
    return waitUntil([this] { return isReady(); }, startLimit);
}

void TestSite::startEntry(size_t index)
{
    Entry& entry = m_entries[index];
    entry.settingsFile = m_runner.writeFile(entry.name + ".toml",
        "[entry]\nname = " + tomlText(entry.name) + "\ndata_centre = "
            + tomlText("dc" + std::to_string(index % dataCentres)) + "\nregion = \"r0\"\nhttp_address = "
            + tomlText(entry.http.text()) + "\npeer_address = " + tomlText(entry.peer.text()) + "\nlog_address = "
            + tomlText(m_log.text()) + "\npeers = " + peerArray(m_entries, &entry) + "\n" + m_options.entrySettings);
    entry.pid = m_runner.start(entry.name, "hemlocklead", { "entry", "--config", entry.settingsFile });
}

void TestSite::startWorker(size_t index)
{
    Host& host = m_hosts[index];
    const std::string journal = m_runner.writeFile("worker-journal-" + host.name + ".log", "");
    host.workerPid = m_runner.start("worker-" + host.name, "standin-worker",
        { "--listen", host.worker.text(), "--cpu-milli", "32000", "--memory-mib", "128000", "--journal", journal });
}

void TestSite::startAgent(size_t index)
{
    Host& host = m_hosts[index];
    const std::string file = m_runner.writeFile(host.name + ".toml",
        "[agent]\nhost = " + tomlText(host.name) + "\ndata_centre = " + tomlText(host.dataCentre)
            + "\nregion = \"r0\"\nrack = \"rack\"\nentries = " + peerArray(m_entries, nullptr)
            + "\nhttp_address = " + tomlText(host.agent.text()) + "\nworker_address = " + tomlText(host.worker.text())
            + "\n" + m_options.agentSettings);
    host.agentPid = m_runner.start("agent-" + host.name, "hemlocklead", { "agent", "--config", file });
}

void TestSite::startTarget(size_t index)
{
    Host& host = m_hosts[index];
    const std::string journal = m_runner.writeFile("target-journal-" + host.name + ".log", targetJournal(index));
    host.targetPid = m_runner.start("target-" + host.name, "standin-target",
        { "--listen", host.target.text(), "--agent", host.agent.text(), "--service", "samples", "--instance",
            "samples-" + host.name, "--journal", journal });
}

void TestSite::kill(pid_t pid)
{
    m_runner.signal(pid, SIGKILL);
    m_runner.waitExit(pid, endLimit);
}

bool TestSite::setLogFault(const std::string& mode, std::optional<int> count) const
{
    Json body { { "mode", mode } };
    if (count)
        body["count"] = *count;
    const auto response = sendHttp(m_log, { "PUT", "/fault", {}, jsonText(body) });
    return response && response->status == 200;
}

bool TestSite::setTargetFault(size_t host, const std::string& mode) const
{
    const auto response = sendHttp(m_hosts[host].target, { "PUT", "/fault", {}, jsonText(Json { { "mode", mode } }) });
    return response && response->status == 200;
}

int TestSite::publish(const std::string& name, const std::string& workClass) const
{
    return setCatalogue(name, 0,
        { { "owner", "product" }, { "team", "registers" }, { "service", "samples" }, { "workClass", workClass } });
}

std::string TestSite::submit(size_t entry, const std::string& name, int tasks, const std::string& payload) const
{
    std::string job;
    const auto accepted = [&] {
        const auto response = send(entry, "POST", "/jobs",
            { { "name", name }, { "tasks", tasks }, { "payload", payload }, { "idempotency_key", name } });
        if (response && response->status == 202)
            job = Json::parse(response->body, nullptr, false).value("job", "");
        return !job.empty();
    };
    waitUntil(accepted, submitLimit);
    return job;
}

bool TestSite::isReady() const
{
    for (size_t i = 0; i < m_entries.size(); ++i) {
        const Json status = get(i, "/status");
        if (!status.is_object() || !status["control"]["serving"].get<bool>()
            || status["agents"].size() < m_hosts.size())
            return false;
        for (const Json& agent : status["agents"]) {
            if (!agent["ledger_ready"].get<bool>() || agent["targets"].empty())
                return false;
        }
    }
    return true;
}

std::optional<HttpResponse> TestSite::send(size_t entry, const std::string& method, const std::string& path,
    const Json& body, const std::vector<HeaderField>& headers) const
{
    return sendHttp(
        m_entries[entry].http, { method, path, headers, body.is_null() ? "" : jsonText(body) }, Duration { 8000 });
}

Json TestSite::get(size_t entry, const std::string& path) const
{
    const auto response = send(entry, "GET", path);
    const Json parsed = response ? Json::parse(response->body, nullptr, false) : Json();
    return parsed.is_discarded() ? Json() : parsed;
}

int TestSite::setCatalogue(const std::string& name, uint64_t baseVersion, const Json& entry) const
{
    const auto response = send(0, "PUT", "/catalogue/" + name, { { "base_version", baseVersion }, { "entry", entry } });
    return response ? response->status : 0;
}

} // namespace hemlocklead
