#include "Site.h"

namespace hemlocklead::review {

namespace {

    constexpr Duration clientDeadline { 3000 };

    std::string quoted(const Address& address) { return "\"" + address.text() + "\"\n"; }

} // namespace

std::string jobBody(const std::string& spec, uint32_t count, int64_t cpuMilli, int64_t memoryMb, bool lasts)
{
    Json step = { { "count", count }, { "cpu", cpuMilli }, { "memMb", memoryMb }, { "estimateMs", 1000 } };
    if (lasts)
        step["longRunning"] = true;
    return jsonText({ { "spec", spec + " cpu=" + std::to_string(cpuMilli) }, { "steps", { step } } });
}

Site::Site(RunLog& log, Settings settings)
    : m_log(log)
    , m_settings(settings)
{
}

bool Site::start()
{
    const bool listens = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_store.listen(freeAddress()));
            return true;
        },
        [](const Error&) { return false; });
    if (!listens)
        return false;
    writeConfiguration();
    const std::string store = "store = " + quoted(m_store.address());
    for (size_t i = 0; i < m_settings.entries; ++i) {
        const Address front = freeAddress();
        m_ready.push_back(freeAddress());
        m_clients.push_back(std::make_unique<HttpClient>(m_loop, front, 64));
        Program program { "entry-" + std::to_string(i), {}, 0 };
        const std::string file = m_runner.writeFile(program.name + ".toml",
            "[platform_entry]\nname = \"" + program.name + "\"\nfront = " + quoted(front)
                + "ready = " + quoted(m_ready.back()) + "metrics = " + quoted(freeAddress()) + store
                + "processor_share = 0.25\ngrace_ms = 6000\nstop_grace_ms = 900\nrestore_ms = 600\n");
        program.arguments = { "platform-entry", "--config", file };
        m_entries.push_back(program);
        startProgram(m_entries.back());
    }
    for (size_t i = 0; i < m_settings.agents; ++i) {
        Program program { "agent-" + std::to_string(i), {}, 0 };
        const Address control = freeAddress();
        const Address worker = freeAddress();
        const std::string file = m_runner.writeFile(program.name + ".toml",
            "[platform_agent]\nhost = \"" + program.name + "\"\ncontrol = " + quoted(control)
                + "owners = " + quoted(freeAddress()) + "worker = " + quoted(worker)
                + "metrics = " + quoted(freeAddress()) + store + "harm_ms = 4000\n");
        program.arguments = { "platform-agent", "--config", file };
        m_agents.push_back(program);
        startProgram(m_agents.back());
        m_minions.push_back(std::make_unique<Minion>(m_loop, m_log,
            Minion::Settings {
                "minion-" + std::to_string(i), worker, control, m_settings.cpuMilli, m_settings.memoryMb }));
        m_minions.back()->boot();
    }
    std::vector<std::unique_ptr<HttpClient>> probes;
    for (const Address& address : m_ready)
        probes.push_back(std::make_unique<HttpClient>(m_loop, address, 1));
    for (int tries = 0; tries < 40; ++tries) {
        size_t ready = 0;
        for (const auto& probe : probes) {
            HttpRequest request;
            request.path = "/v1/ready";
            probe->send(request, Duration { 400 }, [&ready](const HttpExchange& exchange) {
                ready += exchange.status == HttpExchange::Status::Answered && exchange.response.status == 200;
            });
        }
        wait(Duration { 450 });
        if (ready == probes.size()) {
            // By now each server has sent a status report and is known to the owner.
            wait(Duration { 3000 });
            return true;
        }
    }
    m_log.line("the entries are not ready:\n" + m_runner.logs());
    return false;
}

void Site::startProgram(Program& program)
{
    program.pid = m_runner.start(program.name, "hemlocklead", program.arguments);
    m_log.line(program.name + " started");
}

void Site::signalAgent(size_t agent, int number)
{
    m_log.line("signal " + std::to_string(number) + " to " + m_agents[agent].name);
    m_runner.signal(m_agents[agent].pid, number);
}

void Site::writeConfiguration()
{
    const Json route
        = { { "name", "queue" }, { "host", "jobs.example" }, { "pathPrefix", "/q/" }, { "service", "service" },
              { "priority", 0 }, { "maxAttempts", 3 }, { "stretch", 2 }, { "targetLatencyMs", 1000 } };
    m_store.write("keyed.op", "config", jsonText({ { "version", 1 }, { "routes", { route } } }));
}

void Site::wait(Duration time)
{
    Timer timer(m_loop);
    timer.startOnce(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool Site::waitFor(const std::function<bool()>& condition, Duration limit)
{
    const Instant end = m_log.now() + limit;
    while (!condition()) {
        if (m_log.now() > end)
            return false;
        wait(Duration { 10 });
    }
    return true;
}

void Site::send(size_t entry, const std::string& method, const std::string& job, const std::string& body,
    std::function<void(const HttpResponse&)> done)
{
    HttpRequest request;
    request.method = method;
    request.path = "/q/" + job;
    request.headers = { { "Host", "jobs.example" }, { "Hemlocklead-Request-Deadline", "3000" },
        { "Content-Type", "application/json" } };
    request.body = body;
    const std::string what = method + " " + job + " at entry-" + std::to_string(entry);
    m_log.line("client sends " + what);
    m_clients[entry]->send(
        std::move(request), clientDeadline, [this, what, done = std::move(done)](const HttpExchange& exchange) {
            HttpResponse response;
            response.status = 0;
            if (exchange.status == HttpExchange::Status::Answered)
                response = exchange.response;
            m_log.line("client gets " + std::to_string(response.status) + " " + response.body + " to " + what);
            done(response);
        });
}

HttpResponse Site::call(size_t entry, const std::string& method, const std::string& job, const std::string& body)
{
    std::optional<HttpResponse> answer;
    send(entry, method, job, body, [this, &answer](const HttpResponse& response) {
        answer = response;
        m_loop.stop();
    });
    while (!answer)
        m_loop.run();
    return *answer;
}

std::string Site::newJobId()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5c0e7a21d9400000 + ++m_jobs));
    return text;
}

} // namespace hemlocklead::review
