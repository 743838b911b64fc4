// A small deployment on loopback addresses: entries and agents as processes, a store, minions and requesters.
#pragma once

#include "Minion.h"

#include "soak/FaultProxy.h"
#include "soak/StoreStandIn.h"
#include "support/FreePort.h"
#include "support/ProcessRunner.h"

#include <csignal>
#include <set>

namespace review {

class Site {
public:
    struct Settings {
        size_t entries { 3 };
        size_t agents { 8 };
        bool hasLinkProxies { false }; ///< Between the entries and each agent, and between each agent and the store.
        Minion::Settings minion {};
    };

    Site(EventLoop& loop, RunLog& log, Settings settings)
        : m_loop(loop)
        , m_log(log)
        , m_settings(std::move(settings))
        , m_store(loop)
    {
    }

    /// Settings as the templates of the deploy file fill them in for a small deployment.
    Result<void> start()
    {
        BOOST_LEAF_CHECK(m_store.listen(freeAddress()));
        const Json route = { { "name", "queue" }, { "host", "site.example" }, { "pathPrefix", "/q/" },
            { "service", "service" }, { "priority", 0 }, { "maxAttempts", 3 }, { "stretch", 2 },
            { "targetLatencyMs", 1000 } };
        m_store.write("keyed.op", "config",
            jsonText({ { "version", 1 }, { "routes", { route } },
                { "services", { { { "name", "service" }, { "admissionCheck", true } } } } }));
        for (size_t i = 0; i < m_settings.entries; ++i) {
            const Address front = freeAddress();
            std::string text = "[platform_entry]\nname = \"edge-" + std::to_string(i) + "\"\nfront = \"" + front.text()
                + "\"\nready = \"" + freeAddress().text() + "\"\nmetrics = \"" + freeAddress().text() + "\"\nstore = \""
                + m_store.address().text()
                + "\"\nprocessor_share = 0.1\ngrace_ms = 6000\nstop_grace_ms = 400\nrestore_ms = 100\n";
            m_entries.push_back(startProcess("edge-" + std::to_string(i), "platform-entry", text));
            m_callers.push_back(std::make_unique<HttpClient>(m_loop, front, 64));
        }
        for (size_t i = 0; i < m_settings.agents; ++i) {
            const std::string name = "side-" + std::to_string(i);
            const Address owners = freeAddress();
            Address announced = owners;
            Address store = m_store.address();
            if (m_settings.hasLinkProxies) {
                announced = freeAddress();
                m_ownerLinks.push_back(std::make_unique<soak::FaultProxy>(m_loop, owners));
                BOOST_LEAF_CHECK(m_ownerLinks.back()->listen(announced));
                store = freeAddress();
                m_storeLinks.push_back(std::make_unique<soak::FaultProxy>(m_loop, m_store.address()));
                BOOST_LEAF_CHECK(m_storeLinks.back()->listen(store));
            }
            Minion::Settings minion = m_settings.minion;
            minion.id = "i-" + std::to_string(1000 + i);
            minion.zone = std::string(1, static_cast<char>('a' + i % 3));
            minion.app = freeAddress();
            minion.control = freeAddress();
            std::string text = "[platform_agent]\nhost = \"" + name + "\"\ncontrol = \"" + minion.control.text()
                + "\"\nowners = \"" + owners.text() + "\"\nworker = \"" + minion.app.text() + "\"\nmetrics = \""
                + freeAddress().text() + "\"\nstore = \"" + store.text() + "\"\nharm_ms = 4000\n";
            if (m_settings.hasLinkProxies)
                text += "announce = \"" + announced.text() + "\"\n";
            m_minions.push_back(std::make_unique<Minion>(m_loop, m_log, minion));
            BOOST_LEAF_CHECK(m_minions.back()->start(Duration { 20 }));
            m_agents.push_back(startProcess(name, "platform-agent", text));
        }
        return {};
    }

    Minion& minion(size_t i) { return *m_minions[i]; }
    size_t minionCount() const { return m_minions.size(); }
    pid_t entryPid(size_t i) const { return m_entries[i]; }
    pid_t agentPid(size_t i) const { return m_agents[i]; }
    void signal(pid_t pid, int number) { m_runner.signal(pid, number); }
    soak::StoreStandIn& store() { return m_store; }

    /// Cuts the agent's machine off from the entries and the store, or ends the cut.
    void setCut(size_t agent, bool cut)
    {
        m_log.line(std::string(cut ? "machine cut off: " : "cut ends: ") + "side-" + std::to_string(agent));
        const auto fault = cut ? soak::FaultProxy::Fault::Blocked : soak::FaultProxy::Fault::None;
        m_ownerLinks[agent]->setFault(fault);
        m_storeLinks[agent]->setFault(fault);
    }

    /// Submits a job with the steps; repeats a try without a final answer, or with 429 or 503, up to four times.
    std::string submit(const std::string& spec, const Json& steps)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016llx", 0x5c0e000000000000ull + ++m_lastJob);
        m_jobs[id] = {};
        send(id, jsonText({ { "spec", spec }, { "steps", steps } }), 4);
        return id;
    }

    struct JobSeen {
        bool accepted { false };
        std::string state;
    };

    std::map<std::string, JobSeen>& jobs() { return m_jobs; }

    void query(const std::string& id)
    {
        HttpRequest request;
        request.path = "/q/" + id;
        request.headers = { { "Host", "site.example" }, { "Hemlocklead-Request-Deadline", "3000" } };
        m_callers[m_next++ % m_callers.size()]->send(
            std::move(request), Duration { 3000 }, [this, id](const HttpExchange& exchange) {
                if (exchange.status != HttpExchange::Status::Answered)
                    return;
                const Json body = Json::parse(exchange.response.body, nullptr, false);
                std::string state = exchange.response.status == 410 ? "none" : "";
                if (exchange.response.status == 200 && body.is_object())
                    state = body.value("state", std::string());
                if (!state.empty() && state != m_jobs[id].state) {
                    m_jobs[id].state = state;
                    m_log.line("state of " + id + ": " + state);
                }
            });
    }

    size_t acceptedCount() const
    {
        return static_cast<size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& job) { return job.second.accepted; }));
    }

    size_t completedCount() const
    {
        return static_cast<size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& job) { return job.second.state == "completed"; }));
    }

    std::string logs() const { return m_runner.logs(); }

private:
    pid_t startProcess(const std::string& name, const std::string& command, const std::string& settings)
    {
        const std::string file = m_runner.writeFile(name + ".toml", settings);
        return m_runner.start(name, "hemlocklead", { command, "--config", file });
    }

    void send(const std::string& id, const std::string& body, int triesLeft)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/q/" + id;
        request.headers = { { "Host", "site.example" }, { "Content-Type", "application/json" },
            { "Hemlocklead-Request-Deadline", "3000" } };
        request.body = body;
        const size_t entry = m_next++ % m_callers.size();
        m_log.line("submit " + id + " at edge-" + std::to_string(entry));
        m_callers[entry]->send(
            std::move(request), Duration { 3000 }, [this, id, body, triesLeft](const HttpExchange& exchange) {
                const int status = exchange.status == HttpExchange::Status::Answered ? exchange.response.status : 0;
                m_log.line("answer to " + id + ": " + (status == 0 ? "none" : std::to_string(status)));
                if (status == 200) {
                    m_jobs[id].accepted = true;
                    return;
                }
                if (triesLeft > 1)
                    send(id, body, triesLeft - 1);
            });
    }

    EventLoop& m_loop;
    RunLog& m_log;
    Settings m_settings;
    soak::StoreStandIn m_store;
    std::vector<std::unique_ptr<soak::FaultProxy>> m_ownerLinks;
    std::vector<std::unique_ptr<soak::FaultProxy>> m_storeLinks;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<HttpClient>> m_callers;
    std::vector<pid_t> m_entries;
    std::vector<pid_t> m_agents;
    std::map<std::string, JobSeen> m_jobs;
    uint64_t m_lastJob { 0 };
    size_t m_next { 0 };
    ProcessRunner m_runner; ///< Ends all processes first.
};

/// Exit code of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
inline int verdict(const RunLog& log, bool couldRun)
{
    if (!couldRun)
        return 2;
    return log.brokenCount() > 0 ? 1 : 0;
}

/// TROUBLE=0 plays a case without its disruption.
inline bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace review
