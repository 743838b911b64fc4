#include "Site.h"

#include "support/FreePort.h"

#include <csignal>

namespace review {

using namespace hemlocklead;

namespace {

    constexpr size_t entries = 3;
    constexpr double maxSeconds = 115;
    const std::string zones[] = { "zone-a", "zone-b", "zone-c" };

    std::string quoted(const Address& address) { return "\"" + address.text() + "\"\n"; }

    /// Two queues on one service; batch work has a generous objective.
    std::string configuration()
    {
        Json routes = Json::array();
        for (const std::string name : { "watch", "build" }) {
            routes.push_back({ { "name", name }, { "host", "site.example" }, { "pathPrefix", "/" + name + "/" },
                { "service", "register" }, { "priority", name == "watch" ? 0 : 2 }, { "maxAttempts", 4 },
                { "stretch", 2.0 }, { "targetLatencyMs", 1000 } });
        }
        return jsonText({ { "version", 1 }, { "routes", routes },
            { "services", { { { "name", "register" }, { "admissionCheck", true } } } } });
    }

} // namespace

Site::Site(const std::string& recordFile, std::vector<Minion::Settings> minions)
    : m_record(m_clock, recordFile)
    , m_store(m_loop)
{
    for (Minion::Settings& settings : minions)
        m_minions.push_back(std::make_unique<Minion>(m_loop, m_clock, m_record, std::move(settings)));
}

bool Site::start()
{
    const auto listens = [](Result<void> result) { return static_cast<bool>(result); };
    if (!listens(m_store.listen(freeAddress())))
        return false;
    m_store.write("keyed.op", "config", configuration());
    const std::string store = "store = " + quoted(m_store.address());
    for (size_t i = 0; i < entries; ++i) {
        const Address front = freeAddress();
        const Address ready = freeAddress();
        const std::string name = "edge-" + zones[i] + "-1";
        // As deploy/entry.toml with the settings of the small sites.
        const std::string file = m_runner.writeFile(name + ".toml",
            "[platform_entry]\nname = \"" + name + "\"\nfront = " + quoted(front) + "ready = " + quoted(ready)
                + "metrics = " + quoted(freeAddress()) + store
                + "processor_share = 0.25\ngrace_ms = 6000\nstop_grace_ms = 900\nrestore_ms = 600\n"
                  "divide_room_by_cost = true\nkeep_learned_state = true\n");
        m_entries.push_back(m_runner.start(name, "hemlocklead", { "platform-entry", "--config", file }));
        m_fronts.push_back(std::make_unique<HttpClient>(m_loop, front, 8));
        m_readies.push_back(std::make_unique<HttpClient>(m_loop, ready, 1));
    }
    for (size_t i = 0; i < m_minions.size(); ++i) {
        const Address worker = freeAddress();
        const Address control = freeAddress();
        if (!listens(m_minions[i]->listen(worker)))
            return false;
        const std::string name = "side-" + m_minions[i]->name();
        // As deploy/agent.toml with the settings of the small sites.
        const std::string file = m_runner.writeFile(name + ".toml",
            "[platform_agent]\nhost = \"" + name + "\"\ncontrol = " + quoted(control)
                + "owners = " + quoted(freeAddress()) + "worker = " + quoted(worker)
                + "metrics = " + quoted(freeAddress()) + store + "harm_ms = 4000\n");
        m_agents.push_back({ { "platform-agent", "--config", file }, 0 });
        startAgent(i);
        m_minions[i]->setControl(control);
    }
    bool allReady = true;
    for (const std::unique_ptr<HttpClient>& ready : m_readies)
        allReady &= waitUntil([&] { return answersReady(*ready); }, Duration { 15'000 });
    // The owner hears of each minion with its first status report.
    wait(Duration { 4000 });
    m_record.line("site is up");
    return allReady;
}

bool Site::answersReady(HttpClient& client)
{
    int status = -1;
    HttpRequest request;
    request.path = "/v1/ready";
    client.send(std::move(request), Duration { 500 }, [&status](const HttpExchange& exchange) {
        status = exchange.status == HttpExchange::Status::Answered ? exchange.response.status : 0;
    });
    while (status < 0)
        wait(Duration { 20 });
    return status == 200;
}

void Site::startAgent(size_t index)
{
    m_agents[index].pid = m_runner.start("side-" + m_minions[index]->name(), "hemlocklead", m_agents[index].arguments);
    m_record.line("agent of " + m_minions[index]->name() + " is started");
}

void Site::killAgent(size_t index)
{
    m_runner.signal(m_agents[index].pid, SIGKILL);
    m_runner.waitExit(m_agents[index].pid, Duration { 1000 });
    m_record.line("agent of " + m_minions[index]->name() + " is killed");
}

void Site::wait(Duration time)
{
    if (m_record.seconds() > maxSeconds)
        throw TimeIsUp();
    Timer timer(m_loop);
    timer.startOnce(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool Site::waitUntil(const std::function<bool()>& condition, Duration limit)
{
    const Instant until = m_clock.now() + limit;
    while (!condition()) {
        if (m_clock.now() >= until)
            return false;
        wait(Duration { 20 });
    }
    return true;
}

int Site::call(const std::string& method, const std::string& path, const std::string& body, std::string* answer)
{
    HttpRequest request { method, path, { { "Host", "site.example" }, { "Hemlocklead-Request-Deadline", "3000" } },
        body };
    if (!body.empty())
        request.headers.push_back({ "Content-Type", "application/json" });
    bool finished = false;
    int status = 0;
    HttpClient& front = *m_fronts[m_nextFront++ % m_fronts.size()];
    front.send(request, Duration { 3000 }, [&](const HttpExchange& exchange) {
        finished = true;
        if (exchange.status != HttpExchange::Status::Answered)
            return;
        status = exchange.response.status;
        if (answer)
            *answer = exchange.response.body;
    });
    while (!finished)
        wait(Duration { 10 });
    m_record.line("requester " + method + " " + path + " -> " + std::to_string(status)
        + (answer ? " " + *answer : std::string()));
    return status;
}

bool Site::submit(const std::string& path, const std::string& body)
{
    for (int tries = 0; tries < 5; ++tries) {
        if (call("POST", path, body) / 100 == 2)
            return true;
        wait(Duration { 1000 });
    }
    return false;
}

std::string Site::state(const std::string& path)
{
    std::string answer;
    if (call("GET", path, "", &answer) != 200)
        return {};
    const Json json = Json::parse(answer, nullptr, false);
    return json.is_object() ? json.value("state", std::string()) : std::string();
}

} // namespace review
