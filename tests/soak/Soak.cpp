#include "soak/Soak.h"

#include "dispatch/JobRegistry.h"
#include "soak/SocketOwner.h"
#include "soak/TimeOfDay.h"
#include "state/Json.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>

namespace hemlocklead::soak {

namespace {

    constexpr Duration warmUpTime { 2500 }; ///< From the start of the programs to the first fault.
    constexpr Duration faultInterval { 500 };
    constexpr Duration submitInterval { 120 };
    constexpr Duration queryInterval { 60 };
    constexpr Duration checkInterval { 100 };
    constexpr Duration callerTimeout { 3000 };
    constexpr Duration retryDelay { 300 };
    constexpr int maxSubmitTries = 5;
    constexpr size_t longRunningOneIn = 4; ///< Share of the jobs that are long-running, if there are any.

    /// A new owner takes the leases of a host that it no longer reaches for ended after 5.4 s; cuts end before and
    /// after that.
    constexpr Duration shortestPairCut { 1000 };
    constexpr Duration longestPairCut { 9000 };
    constexpr uint64_t firstSeedWithThinLinks = 3000;

    /// From this seed on, the soak has as many entries and agents as the site of issue 31, workers of its size and
    /// long-running jobs, and faults separate one entry from one agent or come in series.
    constexpr uint64_t firstSeedAtSiteScale = 8000;

    /// From this seed on, workers also restart under the id that they had, within tens of milliseconds.
    constexpr uint64_t firstSeedWithRestartsInPlace = 9000;

    /// For how long the store turns away the owner in a series; others replace the owner after about 3 s.
    constexpr Duration ownerRefusalTime { 7000 };
    constexpr size_t signalsInSeries = 8;

    std::string quoted(const Address& address) { return "\"" + address.text() + "\"\n"; }

} // namespace

const std::vector<Soak::FaultKind>& Soak::faultKinds()
{
    static const std::vector<FaultKind> faultKinds {
        { "store_busy", &Soak::storeBusy, &Soak::storeRecovers, &Soak::singleTarget },
        { "store_silent", &Soak::storeUnresponsive, &Soak::storeRecovers, &Soak::singleTarget },
        { "store_losing_answers", &Soak::storeLosesResponses, &Soak::storeRecovers, &Soak::singleTarget },
        { "store_slow", &Soak::storeSlow, &Soak::storeRecovers, &Soak::singleTarget },
        { "store_compacts", &Soak::storeCompacts, &Soak::noAction, &Soak::singleTarget },
        { "link_delayed", &Soak::storeLinkDelayed, &Soak::storeLinkRecovers, &Soak::programCount },
        { "link_cut_out", &Soak::storeLinkRequestsBlocked, &Soak::storeLinkRecovers, &Soak::programCount },
        { "link_cut_back", &Soak::storeLinkResponsesBlocked, &Soak::storeLinkRecovers, &Soak::programCount },
        { "link_silent", &Soak::storeLinkBlocked, &Soak::storeLinkRecovers, &Soak::programCount },
        { "link_reset", &Soak::storeLinkReset, &Soak::noAction, &Soak::programCount },
        { "owners_delayed", &Soak::ownerLinkDelayed, &Soak::ownerLinkRecovers, &Soak::agentCount },
        { "owners_cut_out", &Soak::ownerLinkOrdersBlocked, &Soak::ownerLinkRecovers, &Soak::agentCount },
        { "owners_cut_back", &Soak::ownerLinkReportsBlocked, &Soak::ownerLinkRecovers, &Soak::agentCount },
        { "owners_silent", &Soak::ownerLinkBlocked, &Soak::ownerLinkRecovers, &Soak::agentCount },
        { "owners_reset", &Soak::ownerLinkReset, &Soak::noAction, &Soak::agentCount },
        { "worker_silent", &Soak::workerUnresponsive, &Soak::workerRecovers, &Soak::workerCount },
        { "worker_late", &Soak::workerLate, &Soak::workerRecovers, &Soak::workerCount },
        { "worker_restarts", &Soak::workerRestarts, &Soak::noAction, &Soak::workerCount },
        { "pause", &Soak::pause, &Soak::resume, &Soak::programCount },
        { "kill", &Soak::kill, &Soak::noAction, &Soak::programCount },
        { "terminate", &Soak::terminate, &Soak::noAction, &Soak::programCount },
        { "reload", &Soak::reload, &Soak::noAction, &Soak::programCount },
        { "link_thin", &Soak::storeLinkThin, &Soak::storeLinkRecovers, &Soak::programCount, firstSeedWithThinLinks },
        { "owners_thin", &Soak::ownerLinkThin, &Soak::ownerLinkRecovers, &Soak::agentCount, firstSeedWithThinLinks },
        { "pair_cut_out", &Soak::pairOrdersBlocked, &Soak::pairRecovers, &Soak::pairCount, firstSeedAtSiteScale,
            shortestPairCut, longestPairCut },
        { "pair_cut_back", &Soak::pairReportsBlocked, &Soak::pairRecovers, &Soak::pairCount, firstSeedAtSiteScale,
            shortestPairCut, longestPairCut },
        { "pair_silent", &Soak::pairBlocked, &Soak::pairRecovers, &Soak::pairCount, firstSeedAtSiteScale,
            shortestPairCut, longestPairCut },
        { "link_refused", &Soak::storeLinkRefused, &Soak::storeLinkRecovers, &Soak::programCount, firstSeedAtSiteScale,
            shortestPairCut, longestPairCut },
        { "kill_agents", &Soak::killAgents, &Soak::noAction, &Soak::singleTarget, firstSeedAtSiteScale },
        { "replace_owner_and_kill_agents", &Soak::replaceOwnerAndKillAgents, &Soak::noAction, &Soak::singleTarget,
            firstSeedAtSiteScale },
        { "separate_new_owner", &Soak::separateNewOwner, &Soak::noAction, &Soak::singleTarget, firstSeedAtSiteScale },
        { "signal_series", &Soak::signalSeries, &Soak::noAction, &Soak::singleTarget, firstSeedAtSiteScale },
        { "worker_restarts_in_place", &Soak::workerRestartsInPlace, &Soak::noAction, &Soak::workerCount,
            firstSeedWithRestartsInPlace },
        { "restart_and_cut_workers", &Soak::restartAndCutWorkers, &Soak::noAction, &Soak::singleTarget,
            firstSeedWithRestartsInPlace },
    };
    return faultKinds;
}

const Soak::FaultKind& Soak::faultKind(std::string_view name)
{
    return *std::ranges::find(faultKinds(), name, [](const FaultKind& kind) { return std::string_view(kind.name); });
}

Soak::Settings Soak::settingsOf(uint64_t seed)
{
    Settings settings { .seed = seed };
    if (seed >= firstSeedAtSiteScale) {
        settings.agents = 11;
        settings.workerCpuMilli = 64'000;
        settings.maxTasks = 6;
        settings.hasLongRunningJobs = true;
        settings.passesOnClosed = true;
        settings.maxActiveFaults = 5;
        settings.faultTime = Duration { 20'000 };
    }
    return settings;
}

Soak::Soak(Settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

size_t Soak::random(size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(m_random); }

Duration Soak::randomDuration(int64_t fromMs, int64_t toMs)
{
    return Duration { fromMs + static_cast<int64_t>(random(static_cast<size_t>(toMs - fromMs))) };
}

Result<void> Soak::startAll()
{
    BOOST_LEAF_CHECK(m_store.listen(freeAddress()));
    writeConfiguration();
    for (size_t i = 0; i < m_settings.entries + m_settings.agents; ++i) {
        const bool isEntry = i < m_settings.entries;
        Program program;
        program.name = (isEntry ? "entry-" : "agent-") + std::to_string(i);
        program.storeProxy = std::make_unique<FaultProxy>(m_loop, m_store.address());
        const Address storeLink = freeAddress();
        BOOST_LEAF_CHECK(program.storeProxy->listen(storeLink));
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
            program.ownerProxy = std::make_unique<FaultProxy>(m_loop, owners);
            program.ownerProxy->setClientLookup(
                [this](uint16_t port, uint16_t peerPort) { return findEntry(port, peerPort); });
            program.ownerProxy->setPassesOnClosed(m_settings.passesOnClosed);
            BOOST_LEAF_CHECK(program.ownerProxy->listen(announced));
            text += "owners = " + quoted(owners) + "announce = " + quoted(announced) + "worker = " + quoted(worker)
                + "control = " + quoted(control);
            m_workers.push_back(std::make_unique<WorkerStandIn>(
                m_loop, m_invariants, "worker-" + std::to_string(i), m_settings.workerCpuMilli));
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

std::optional<size_t> Soak::findEntry(uint16_t port, uint16_t peerPort) const
{
    std::vector<pid_t> entries;
    for (size_t i = 0; i < m_settings.entries; ++i)
        entries.push_back(m_programs[i].pid);
    return findSocketOwner(port, peerPort, entries);
}

void Soak::writeConfiguration()
{
    const Json route
        = { { "name", "queue" }, { "host", "soak.example" }, { "pathPrefix", "/q/" }, { "service", "service" },
              { "priority", 0 }, { "maxAttempts", 3 }, { "stretch", 2 }, { "targetLatencyMs", 1000 } };
    m_store.write("keyed.op", "config", jsonText({ { "version", 1 }, { "routes", { route } } }));
}

const Soak::FaultKind& Soak::randomFaultKind()
{
    // Kinds are listed in ascending order of their first seed.
    const auto kindsBelow = [](uint64_t seed) {
        return static_cast<size_t>(
            std::ranges::count_if(faultKinds(), [seed](const FaultKind& kind) { return kind.firstSeed < seed; }));
    };
    const size_t kinds = kindsBelow(m_settings.seed + 1);
    // Half of the faults are those that only the larger runs can play.
    const size_t smallKinds = kindsBelow(firstSeedAtSiteScale);
    if (kinds > smallKinds && random(2) == 0)
        return faultKinds()[smallKinds + random(kinds - smallKinds)];
    return faultKinds()[random(kinds)];
}

void Soak::injectFault()
{
    if (m_active.size() >= m_settings.maxActiveFaults)
        return;
    const FaultKind& kind = randomFaultKind();
    const size_t target = random((this->*kind.targetCount)());
    beginFault(kind, target, randomDuration(kind.shortest.count(), kind.longest.count()));
}

void Soak::beginFault(const FaultKind& kind, size_t target, Duration length)
{
    m_faultHistory.push_back(timeOfDay() + " " + std::to_string((m_clock.now() - m_startedAt).count()) + " ms "
        + kind.name + " " + std::to_string(target) + " for " + std::to_string(length.count()) + " ms");
    ++m_faultCount;
    (this->*kind.begin)(target);
    m_active.push_back({ &kind, target, m_clock.now() + length });
}

void Soak::scheduleFault(std::string_view kind, size_t target, Duration delay, Duration length)
{
    m_scheduled.emplace(m_clock.now() + delay, ScheduledFault { &faultKind(kind), target, length });
}

void Soak::beginScheduledFaults()
{
    while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_clock.now()) {
        const ScheduledFault fault = m_scheduled.extract(m_scheduled.begin()).mapped();
        beginFault(*fault.kind, fault.target, fault.length);
    }
}

size_t Soak::ownerEntry() const
{
    const Json owner = Json::parse(m_store.newestValue(dispatch::ownerKey), nullptr, false);
    const std::string name = owner.is_object() ? owner.value("entry", std::string()) : std::string();
    for (size_t i = 0; i < m_settings.entries; ++i) {
        if (m_programs[i].name == name)
            return i;
    }
    return 0;
}

void Soak::killAgents(size_t)
{
    const size_t first = random(m_settings.agents);
    const size_t count = 2 + random(m_settings.agents - 1);
    for (size_t i = 0; i < count; ++i)
        scheduleFault("kill", m_settings.entries + (first + i) % m_settings.agents, Duration { 0 }, Duration { 0 });
}

void Soak::replaceOwnerAndKillAgents(size_t)
{
    scheduleFault("link_refused", ownerEntry(), Duration { 0 }, ownerRefusalTime);
    scheduleFault("kill_agents", 0, randomDuration(2000, 5000), Duration { 0 });
}

void Soak::separateNewOwner(size_t)
{
    // Once a new owner has heard the agents, it is cut off from some of them, which are restarted meanwhile. The former
    // owner, which the store turns away for longer than its authority, still reaches them.
    const size_t owner = ownerEntry();
    scheduleFault("link_refused", owner, Duration { 0 }, longestPairCut);
    const Duration cutDelay = randomDuration(2800, 4500);
    const size_t first = random(m_settings.agents);
    const size_t count = 1 + random(m_settings.agents);
    for (size_t i = 0; i < count; ++i) {
        const size_t agent = (first + i) % m_settings.agents;
        for (size_t entry = 0; entry < m_settings.entries; ++entry) {
            if (entry != owner)
                scheduleFault("pair_silent", entry * m_settings.agents + agent, cutDelay, longestPairCut);
        }
        scheduleFault("kill", m_settings.entries + agent, cutDelay + checkInterval, Duration { 0 });
    }
}

void Soak::restartAndCutWorkers(size_t)
{
    // Orders that a worker leaves unanswered are carried out by its next incarnation, which is cut off from the owners
    // and the store soon after its start.
    const size_t first = random(m_settings.agents);
    const size_t count = 1 + random(3);
    for (size_t i = 0; i < count; ++i) {
        const size_t worker = (first + i) % m_settings.agents;
        if (random(2) == 0)
            scheduleFault("worker_late", worker, Duration { 0 }, randomDuration(500, 1500));
        const Duration restartDelay = randomDuration(500, 1500);
        scheduleFault("worker_restarts_in_place", worker, restartDelay, Duration { 0 });
        const Duration cutDelay = restartDelay + randomDuration(0, 1200);
        const Duration cutTime = randomDuration(2000, 9000);
        scheduleFault("owners_silent", worker, cutDelay, cutTime);
        scheduleFault("link_silent", m_settings.entries + worker, cutDelay, cutTime);
        if (random(3) == 0)
            scheduleFault("kill", m_settings.entries + worker, cutDelay + randomDuration(0, 500), Duration { 0 });
    }
}

void Soak::signalSeries(size_t)
{
    static constexpr std::array<std::string_view, 5> signals { "pause", "pause", "kill", "terminate", "reload" };
    for (size_t i = 0; i < signalsInSeries; ++i)
        scheduleFault(signals[random(signals.size())], random(m_programs.size()), randomDuration(0, 2500),
            randomDuration(500, 4000));
}

void Soak::endExpiredFaults(bool all)
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

void Soak::restartEndedPrograms()
{
    for (Program& program : m_programs) {
        const std::optional<int> code = m_runner.waitExit(program.pid, Duration { 0 });
        const bool hasEnded = code || ::kill(program.pid, 0) != 0;
        if (!hasEnded)
            continue;
        if (!program.isEnding)
            m_invariants.violation(program.name + " exited unexpectedly");
        startProgram(program);
    }
}

HttpClient& Soak::randomEntry() { return *m_callers[random(m_callers.size())]; }

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
    InvariantChecker::Job job;
    job.isLongRunning = m_settings.hasLongRunningJobs && random(longRunningOneIn) == 0;
    job.tasks = static_cast<uint32_t>(1 + random(m_settings.maxTasks));
    const std::string milliseconds = std::to_string(50 + random(900));
    Json step = { { "count", job.tasks }, { "cpu", 1000 }, { "memMb", 10 }, { "estimateMs", 500 } };
    Json steps;
    if (job.isLongRunning) {
        job.payload = (random(2) == 0 ? "lasts" : "fails=" + milliseconds + "0") + " job " + id.data();
        step["longRunning"] = true;
        steps = { step };
    } else {
        job.payload = "ms=" + milliseconds + " job " + id.data();
        Json second = step;
        second["after"] = { 0 };
        steps = { step, second };
    }
    const std::string body = jsonText({ { "spec", job.payload }, { "steps", steps } });
    m_invariants.add(id.data(), std::move(job));
    send(std::make_shared<Submission>(Submission { id.data(), body, maxSubmitTries }));
}

void Soak::send(const std::shared_ptr<Submission>& submission)
{
    --submission->triesLeft;
    HttpRequest post = request("POST", submission->id);
    post.body = submission->body;
    randomEntry().send(std::move(post), callerTimeout,
        [this, submission](const HttpExchange& exchange) { handleSubmitResponse(submission, exchange); });
}

void Soak::handleSubmitResponse(const std::shared_ptr<Submission>& submission, const HttpExchange& exchange)
{
    const bool hasAnswer = exchange.status == HttpExchange::Status::Answered;
    const int status = hasAnswer ? exchange.response.status : 0;
    if (status == 200)
        return m_invariants.jobAccepted(submission->id);
    const bool refused = status == 429 || status == 503;
    submission->wasRefused |= refused;
    submission->mayHaveRun |= !refused && exchange.status != HttpExchange::Status::NotSent;
    if (submission->triesLeft == 0) {
        if (submission->wasRefused && !submission->mayHaveRun)
            m_invariants.jobRefused(submission->id);
        return;
    }
    m_retries.push_back(std::make_unique<Timer>(m_loop));
    m_retries.back()->startOnce(retryDelay, [this, submission] { send(submission); });
}

void Soak::queryState(const std::string& id)
{
    randomEntry().send(request("GET", id), callerTimeout, [this, id](const HttpExchange& exchange) {
        if (exchange.status != HttpExchange::Status::Answered)
            return;
        if (exchange.response.status == 410)
            return m_invariants.jobStateReported(id, "none");
        const Json body = Json::parse(exchange.response.body, nullptr, false);
        if (exchange.response.status == 200 && body.is_object())
            m_invariants.jobStateReported(id, body.value("state", std::string("none")));
    });
}

void Soak::queryRandomJob()
{
    if (m_invariants.jobs().empty())
        return;
    const auto job = std::next(m_invariants.jobs().begin(), static_cast<int64_t>(random(m_invariants.jobs().size())));
    queryState(job->first);
}

void Soak::cancelRandomJob()
{
    if (m_invariants.jobs().empty() || random(8) != 0)
        return;
    const auto job = std::next(m_invariants.jobs().begin(), static_cast<int64_t>(random(m_invariants.jobs().size())));
    if (!job->second.accepted || job->second.cancelRequested)
        return;
    job->second.cancelRequested = true;
    randomEntry().send(
        request("DELETE", job->first), callerTimeout, [this, id = job->first](const HttpExchange& exchange) {
            if (exchange.status == HttpExchange::Status::Answered && exchange.response.status == 200)
                m_invariants.jobCancelled(id);
        });
}

bool Soak::allJobsSettled() const
{
    return std::ranges::all_of(
        m_invariants.jobs(), [this](const auto& entry) { return m_invariants.isSettled(entry.first); });
}

void Soak::reportUnsettledJobs()
{
    for (const auto& [id, job] : m_invariants.jobs()) {
        if (m_invariants.isSettled(id))
            continue;
        std::string text = "accepted job has not finished: ";
        if (job.isCancelled())
            text = "cancelled job has not ended: ";
        else if (job.isLongRunning)
            text = "accepted long-running job does not run: ";
        text += id + ", " + std::to_string(m_invariants.runningTasks(id)) + " tasks are running and ";
        text += std::to_string(job.doneTasks.size()) + " done of " + std::to_string(job.allTasks());
        m_invariants.violation(text);
    }
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
            m_invariants.violation("cannot start: " + error.message);
            return false;
        });
    if (!started)
        return false;
    Timer faultTimer(m_loop);
    Timer submitTimer(m_loop);
    Timer queryTimer(m_loop);
    Timer checkTimer(m_loop);
    bool areJobsSettled = false;
    const Instant faultsBegin = m_startedAt + warmUpTime;
    const Instant faultsEnd = faultsBegin + m_settings.faultTime;
    faultTimer.startRepeating(faultInterval, [&] {
        if (m_clock.now() >= faultsBegin && m_clock.now() < faultsEnd)
            injectFault();
    });
    submitTimer.startRepeating(submitInterval, [&] {
        if (m_clock.now() >= faultsBegin && m_submitting)
            submitJob();
    });
    queryTimer.startRepeating(queryInterval, [&] {
        queryRandomJob();
        if (m_submitting)
            cancelRandomJob();
    });
    checkTimer.startRepeating(checkInterval, [&] {
        const Instant now = m_clock.now();
        if (now < faultsEnd)
            beginScheduledFaults();
        restartEndedPrograms();
        endExpiredFaults(now >= faultsEnd);
        m_submitting = now < faultsEnd;
        // Waits for callers whose last try is in progress.
        areJobsSettled = now >= faultsEnd + maxSubmitTries * (callerTimeout + retryDelay) && allJobsSettled();
        if (areJobsSettled || now >= faultsEnd + m_settings.finishTime)
            m_loop.stop();
    });
    m_loop.run();
    if (!areJobsSettled)
        reportUnsettledJobs();
    // A run without a single start checks nothing.
    if (m_invariants.starts() == 0)
        m_invariants.violation("no task was started");
    // Cuts between an entry and an agent have no effect on connections of unknown entries.
    for (size_t agent = 0; agent < m_settings.agents; ++agent) {
        if (ownerLink(agent).knownClients() == 0)
            m_invariants.violation(
                "no entry is known that connected to " + m_programs[m_settings.entries + agent].name);
    }
    return m_invariants.violations().empty();
}

} // namespace hemlocklead::soak
