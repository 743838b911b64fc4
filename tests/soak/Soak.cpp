#include "soak/Soak.h"

#include "state/Json.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace hemlocklead::soak {

namespace {

    constexpr Duration settleTime { 2500 }; ///< From the start of the programs to the first fault.
    constexpr Duration strikeInterval { 500 };
    constexpr Duration submitInterval { 120 };
    constexpr Duration askInterval { 60 };
    constexpr Duration watchInterval { 100 };
    constexpr Duration callerTimeout { 3000 };
    constexpr Duration retryPause { 300 };
    constexpr int submitTries = 5;
    constexpr size_t mostFaults = 3; ///< At the same time.
    constexpr int64_t workerCpuMilli = 8000;

    std::string quoted(const Address& address) { return "\"" + address.text() + "\"\n"; }

} // namespace

const std::vector<Soak::FaultKind>& Soak::kinds()
{
    static const std::vector<FaultKind> kinds {
        { "store_busy", &Soak::storeBusy, &Soak::storeWell, &Soak::one },
        { "store_silent", &Soak::storeSilent, &Soak::storeWell, &Soak::one },
        { "store_losing_answers", &Soak::storeLosing, &Soak::storeWell, &Soak::one },
        { "store_slow", &Soak::storeSlow, &Soak::storeWell, &Soak::one },
        { "store_compacts", &Soak::storeCompacts, &Soak::nothing, &Soak::one },
        { "link_delayed", &Soak::linkDelayed, &Soak::linkWell, &Soak::programs },
        { "link_cut_out", &Soak::linkCutOut, &Soak::linkWell, &Soak::programs },
        { "link_cut_back", &Soak::linkCutBack, &Soak::linkWell, &Soak::programs },
        { "link_silent", &Soak::linkSilent, &Soak::linkWell, &Soak::programs },
        { "link_reset", &Soak::linkReset, &Soak::nothing, &Soak::programs },
        { "owners_delayed", &Soak::ownersDelayed, &Soak::ownersWell, &Soak::agents },
        { "owners_cut_out", &Soak::ownersCutOut, &Soak::ownersWell, &Soak::agents },
        { "owners_cut_back", &Soak::ownersCutBack, &Soak::ownersWell, &Soak::agents },
        { "owners_silent", &Soak::ownersSilent, &Soak::ownersWell, &Soak::agents },
        { "owners_reset", &Soak::ownersReset, &Soak::nothing, &Soak::agents },
        { "worker_silent", &Soak::workerSilent, &Soak::workerWell, &Soak::workers },
        { "worker_late", &Soak::workerLate, &Soak::workerWell, &Soak::workers },
        { "worker_restarts", &Soak::workerRestarts, &Soak::nothing, &Soak::workers },
        { "pause", &Soak::pause, &Soak::resume, &Soak::programs },
        { "kill", &Soak::kill, &Soak::nothing, &Soak::programs },
        { "terminate", &Soak::terminate, &Soak::nothing, &Soak::programs },
        { "reload", &Soak::reload, &Soak::nothing, &Soak::programs },
    };
    return kinds;
}

Soak::Soak(Settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

size_t Soak::random(size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(m_random); }

Result<void> Soak::startAll()
{
    BOOST_LEAF_CHECK(m_store.listen(freeAddress()));
    writeConfiguration();
    for (size_t i = 0; i < m_settings.entries + m_settings.agents; ++i) {
        const bool isEntry = i < m_settings.entries;
        Program program;
        program.name = (isEntry ? "entry-" : "agent-") + std::to_string(i);
        program.store = std::make_unique<FaultProxy>(m_loop, m_store.address());
        const Address storeLink = freeAddress();
        BOOST_LEAF_CHECK(program.store->listen(storeLink));
        std::string text = isEntry ? "[platform_entry]\nname = \"" : "[platform_agent]\nhost = \"";
        text += program.name + "\"\nmetrics = " + quoted(freeAddress()) + "store = " + quoted(storeLink);
        if (isEntry) {
            const Address front = freeAddress();
            text += "front = " + quoted(front) + "ready = " + quoted(freeAddress()) + "grace_ms = 3000\n";
            m_callers.push_back(std::make_unique<HttpClient>(m_loop, front, 32));
        } else {
            const Address owners = freeAddress();
            const Address announced = freeAddress();
            const Address worker = freeAddress();
            const Address control = freeAddress();
            program.owners = std::make_unique<FaultProxy>(m_loop, owners);
            BOOST_LEAF_CHECK(program.owners->listen(announced));
            text += "owners = " + quoted(owners) + "announce = " + quoted(announced) + "worker = " + quoted(worker)
                + "control = " + quoted(control);
            m_workers.push_back(
                std::make_unique<WorkerStandIn>(m_loop, m_ledger, "worker-" + std::to_string(i), workerCpuMilli));
            BOOST_LEAF_CHECK(m_workers.back()->listen(worker));
            m_workers.back()->setControl(control);
        }
        const std::string file = m_runner.writeFile(program.name + ".toml", text);
        program.arguments = { isEntry ? "platform-entry" : "platform-agent", "--config", file };
        startProgram(program);
        m_programs.push_back(std::move(program));
    }
    return {};
}

void Soak::startProgram(Program& program)
{
    program.isEnding = false;
    program.pid = m_runner.start(program.name, "hemlocklead", program.arguments);
}

void Soak::writeConfiguration()
{
    const Json route
        = { { "name", "queue" }, { "host", "soak.example" }, { "pathPrefix", "/q/" }, { "service", "service" },
              { "priority", 0 }, { "maxAttempts", 3 }, { "stretch", 2 }, { "targetLatencyMs", 1000 } };
    m_store.write("keyed.op", "config", jsonText({ { "version", 1 }, { "routes", { route } } }));
}

void Soak::strike()
{
    if (m_active.size() >= mostFaults)
        return;
    const FaultKind& kind = kinds()[random(kinds().size())];
    const size_t target = random((this->*kind.targets)());
    const Duration length { static_cast<int64_t>(300 + random(4000)) };
    m_history.push_back(std::to_string((m_clock.now() - m_startedAt).count()) + " ms " + kind.name + " "
        + std::to_string(target) + " for " + std::to_string(length.count()) + " ms");
    ++m_faultCount;
    (this->*kind.begin)(target);
    m_active.push_back({ &kind, target, m_clock.now() + length });
}

void Soak::endDueFaults(bool all)
{
    const Instant now = m_clock.now();
    std::erase_if(m_active, [&](const ActiveFault& fault) {
        if (!all && now < fault.until)
            return false;
        (this->*fault.kind->end)(fault.target);
        return true;
    });
}

void Soak::end(size_t index, int signal)
{
    Program& program = m_programs[index];
    if (program.isEnding)
        return;
    program.isEnding = true;
    m_runner.signal(program.pid, signal);
}

void Soak::watchPrograms()
{
    for (Program& program : m_programs) {
        const std::optional<int> code = m_runner.waitExit(program.pid, Duration { 0 });
        const bool hasEnded = code || ::kill(program.pid, 0) != 0;
        if (!hasEnded)
            continue;
        if (!program.isEnding)
            m_ledger.violation(program.name + " ended by itself");
        startProgram(program);
    }
}

HttpClient& Soak::anyEntry() { return *m_callers[random(m_callers.size())]; }

HttpRequest Soak::request(std::string method, const std::string& id) const
{
    HttpRequest request;
    request.method = std::move(method);
    request.path = "/q/" + id;
    request.headers = { { "Host", "soak.example" }, { "Hemlocklead-Request-Deadline", "3000" } };
    return request;
}

void Soak::submitJob()
{
    std::array<char, 17> id {};
    std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(++m_nextJob));
    RunLedger::Job job;
    job.tasks = static_cast<uint32_t>(1 + random(3));
    job.payload = "ms=" + std::to_string(50 + random(900)) + " job " + id.data();
    const Json step = { { "count", job.tasks }, { "cpu", 1000 }, { "memMb", 10 }, { "estimateMs", 500 } };
    Json second = step;
    second["after"] = { 0 };
    const std::string body = jsonText({ { "spec", job.payload }, { "steps", { step, second } } });
    m_ledger.add(id.data(), std::move(job));
    send(std::make_shared<Submission>(Submission { id.data(), body, submitTries }));
}

void Soak::send(const std::shared_ptr<Submission>& submission)
{
    --submission->triesLeft;
    HttpRequest post = request("POST", submission->id);
    post.body = submission->body;
    anyEntry().send(std::move(post), callerTimeout,
        [this, submission](const HttpExchange& exchange) { answered(submission, exchange); });
}

void Soak::answered(const std::shared_ptr<Submission>& submission, const HttpExchange& exchange)
{
    const bool hasAnswer = exchange.status == HttpExchange::Status::Answered;
    const int status = hasAnswer ? exchange.response.status : 0;
    if (status == 200)
        return m_ledger.accepted(submission->id);
    const bool refused = status == 429 || status == 503;
    submission->wasRefused |= refused;
    submission->mayHaveRun |= !refused && exchange.status != HttpExchange::Status::NotSent;
    if (submission->triesLeft == 0) {
        if (submission->wasRefused && !submission->mayHaveRun)
            m_ledger.refused(submission->id);
        return;
    }
    m_retries.push_back(std::make_unique<Timer>(m_loop));
    m_retries.back()->startOnce(retryPause, [this, submission] { send(submission); });
}

void Soak::ask(const std::string& id)
{
    anyEntry().send(request("GET", id), callerTimeout, [this, id](const HttpExchange& exchange) {
        if (exchange.status != HttpExchange::Status::Answered)
            return;
        if (exchange.response.status == 410)
            return m_ledger.shown(id, "none");
        const Json body = Json::parse(exchange.response.body, nullptr, false);
        if (exchange.response.status == 200 && body.is_object())
            m_ledger.shown(id, body.value("state", std::string("none")));
    });
}

void Soak::askAny()
{
    if (m_ledger.jobs().empty())
        return;
    const auto job = std::next(m_ledger.jobs().begin(), static_cast<int64_t>(random(m_ledger.jobs().size())));
    ask(job->first);
}

void Soak::cancelAny()
{
    if (m_ledger.jobs().empty() || random(8) != 0)
        return;
    const auto job = std::next(m_ledger.jobs().begin(), static_cast<int64_t>(random(m_ledger.jobs().size())));
    if (!job->second.accepted || job->second.cancelAsked)
        return;
    job->second.cancelAsked = true;
    anyEntry().send(
        request("DELETE", job->first), callerTimeout, [this, id = job->first](const HttpExchange& exchange) {
            if (exchange.status == HttpExchange::Status::Answered && exchange.response.status == 200)
                m_ledger.cancelled(id);
        });
}

bool Soak::isFinished() const
{
    const auto& jobs = m_ledger.jobs();
    return std::ranges::all_of(jobs, [](const auto& entry) { return !entry.second.isOwed() || entry.second.isDone(); });
}

bool Soak::run()
{
    m_startedAt = m_clock.now();
    const bool started = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(startAll());
            return true;
        },
        [&](const Error& error) {
            m_ledger.violation("cannot start: " + error.message);
            return false;
        });
    if (!started)
        return false;
    Timer strikes(m_loop);
    Timer submits(m_loop);
    Timer asks(m_loop);
    Timer watch(m_loop);
    const Instant faultsBegin = m_startedAt + settleTime;
    const Instant faultsEnd = faultsBegin + m_settings.faults;
    strikes.startRepeating(strikeInterval, [&] {
        if (m_clock.now() >= faultsBegin && m_clock.now() < faultsEnd)
            strike();
    });
    submits.startRepeating(submitInterval, [&] {
        if (m_clock.now() >= faultsBegin && m_submitting)
            submitJob();
    });
    asks.startRepeating(askInterval, [&] {
        askAny();
        if (m_submitting)
            cancelAny();
    });
    watch.startRepeating(watchInterval, [&] {
        const Instant now = m_clock.now();
        watchPrograms();
        endDueFaults(now >= faultsEnd);
        m_submitting = now < faultsEnd;
        // Callers whose last try is under way are waited for.
        if (now >= faultsEnd + submitTries * (callerTimeout + retryPause) && isFinished())
            m_loop.stop();
        if (now >= faultsEnd + m_settings.finish)
            m_loop.stop();
    });
    m_loop.run();
    for (const auto& [id, job] : m_ledger.jobs()) {
        if (job.isOwed() && !job.isDone())
            m_ledger.violation("accepted job " + id + " has not finished, " + std::to_string(job.done.size())
                + " tasks are done of " + std::to_string(2 * job.tasks));
    }
    // A run in which nothing was served proves nothing.
    if (m_ledger.starts() == 0)
        m_ledger.violation("no task was started");
    return m_ledger.violations().empty();
}

} // namespace hemlocklead::soak
