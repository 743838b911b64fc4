#pragma once

#include "soak/FaultProxy.h"
#include "soak/StoreStandIn.h"
#include "soak/WorkerStandIn.h"
#include "support/ProcessRunner.h"

#include <csignal>
#include <map>
#include <random>
#include <string_view>

namespace hemlocklead::soak {

/// One run of the fault soak with a given seed: entries and agents run as separate processes against stand-ins of the
/// platform while callers submit, query and cancel jobs and overlapping faults are injected. At the end all faults are
/// removed, and every accepted job that was not cancelled must finish.
class Soak {
public:
    struct Settings {
        uint64_t seed { 1 };
        size_t entries { 3 };
        size_t agents { 4 };
        int64_t workerCpuMilli { 8000 };
        uint32_t maxTasks { 3 }; ///< Largest number of tasks of a step.
        bool hasLongRunningJobs { false };
        bool passesOnClosed { false }; ///< Orders and reports withheld on a closed connection arrive after the fault.
        size_t maxActiveFaults { 3 }; ///< No further fault is drawn while as many are active.
        Duration faultTime { 15'000 }; ///< Time during which faults are injected.
        /// After the end of the last fault, accepted jobs must finish within this time.
        Duration finishTime { 30'000 };
    };

    /// Settings that the soak runs a seed with.
    static Settings settingsOf(uint64_t seed);

    explicit Soak(Settings settings);

    /// Runs the soak; returns whether no invariant was violated.
    bool run();

    const InvariantChecker& invariants() const { return m_invariants; }
    size_t faultCount() const { return m_faultCount; }
    std::string logs() const { return m_runner.logs(); }
    const std::vector<std::string>& faultHistory() const { return m_faultHistory; }

private:
    /// A process of the system and the proxies on its connections.
    struct Program {
        std::string name;
        std::vector<std::string> arguments;
        pid_t pid { 0 };
        std::unique_ptr<FaultProxy> storeProxy; ///< Between the process and the store.
        std::unique_ptr<FaultProxy> ownerProxy; ///< Between the owners and an agent; null for entries.
        bool isEnding { false }; ///< A signal to end was sent; the process is restarted after its exit.
    };

    struct FaultKind {
        const char* name;
        void (Soak::*begin)(size_t target);
        void (Soak::*end)(size_t target);
        size_t (Soak::*targetCount)() const;
        uint64_t firstSeed {
            0
        }; ///< Lower seeds do not draw the kind, so they keep the faults that they had without it.
        Duration shortest { 300 };
        Duration longest { 4300 };
    };

    struct ActiveFault {
        const FaultKind* kind;
        size_t target;
        Instant until;
    };

    /// A fault that is part of a series and begins later than the series.
    struct ScheduledFault {
        const FaultKind* kind;
        size_t target;
        Duration length;
    };

    /// A caller's tries to submit one job.
    struct Submission {
        std::string id;
        std::string body;
        int triesLeft;
        bool wasRefused { false };
        bool mayHaveRun { false };
    };

    static const std::vector<FaultKind>& faultKinds();
    static const FaultKind& faultKind(std::string_view name);

    Result<void> startAll();
    void startProgram(Program& program);
    std::optional<size_t> findEntry(uint16_t port, uint16_t peerPort) const;
    void writeConfiguration();

    void injectFault();
    const FaultKind& randomFaultKind();
    void beginFault(const FaultKind& kind, size_t target, Duration length);
    void scheduleFault(std::string_view kind, size_t target, Duration delay, Duration length);
    void beginScheduledFaults();
    void endExpiredFaults(bool all);
    void restartEndedPrograms();
    void submitJob();
    void send(const std::shared_ptr<Submission>& submission);
    void handleSubmitResponse(const std::shared_ptr<Submission>& submission, const HttpExchange& exchange);
    void queryState(const std::string& id);
    void queryRandomJob();
    void cancelRandomJob();
    HttpRequest request(std::string method, const std::string& id) const;
    HttpClient& randomEntry();
    bool allJobsSettled() const;
    void reportUnsettledJobs();
    size_t random(size_t below);
    Duration randomDuration(int64_t fromMs, int64_t toMs);
    size_t ownerEntry() const;

    size_t singleTarget() const { return 1; }
    size_t programCount() const { return m_programs.size(); }
    size_t agentCount() const { return m_settings.agents; }
    /// Pairs of entry and agent; those of entry 0 come first.
    size_t pairCount() const { return m_settings.entries * m_settings.agents; }
    size_t workerCount() const { return m_workers.size(); }
    void noAction(size_t) { }
    void storeBusy(size_t) { m_store.setFault(StoreStandIn::Fault::Busy); }
    void storeUnresponsive(size_t) { m_store.setFault(StoreStandIn::Fault::Unresponsive); }
    void storeLosesResponses(size_t) { m_store.setFault(StoreStandIn::Fault::LosesResponses); }
    void storeSlow(size_t) { m_store.setFault(StoreStandIn::Fault::Slow); }
    void storeRecovers(size_t) { m_store.setFault(StoreStandIn::Fault::None); }
    void storeCompacts(size_t) { m_store.compact(); }
    void storeLinkDelayed(size_t target) { m_programs[target].storeProxy->setFault(FaultProxy::Fault::Delay); }
    void storeLinkRequestsBlocked(size_t target)
    {
        m_programs[target].storeProxy->setFault(FaultProxy::Fault::BlockToTarget);
    }
    void storeLinkResponsesBlocked(size_t target)
    {
        m_programs[target].storeProxy->setFault(FaultProxy::Fault::BlockToClient);
    }
    void storeLinkBlocked(size_t target) { m_programs[target].storeProxy->setFault(FaultProxy::Fault::Blocked); }
    void storeLinkRefused(size_t target) { m_programs[target].storeProxy->setFault(FaultProxy::Fault::Refused); }
    void storeLinkReset(size_t target) { m_programs[target].storeProxy->reset(); }
    void storeLinkRecovers(size_t target) { m_programs[target].storeProxy->setFault(FaultProxy::Fault::None); }
    FaultProxy& ownerLink(size_t agent) { return *m_programs[m_settings.entries + agent].ownerProxy; }
    void ownerLinkDelayed(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::Delay); }
    void ownerLinkOrdersBlocked(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::BlockToTarget); }
    void ownerLinkReportsBlocked(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::BlockToClient); }
    void ownerLinkBlocked(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::Blocked); }
    void storeLinkThin(size_t target) { m_programs[target].storeProxy->setFault(FaultProxy::Fault::Thin); }
    void ownerLinkThin(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::Thin); }
    void ownerLinkReset(size_t agent) { ownerLink(agent).reset(); }
    void ownerLinkRecovers(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::None); }
    void setPairFault(size_t pair, FaultProxy::Fault fault)
    {
        ownerLink(pair % m_settings.agents).setClientFault(pair / m_settings.agents, fault);
    }
    void pairOrdersBlocked(size_t pair) { setPairFault(pair, FaultProxy::Fault::BlockToTarget); }
    void pairReportsBlocked(size_t pair) { setPairFault(pair, FaultProxy::Fault::BlockToClient); }
    void pairBlocked(size_t pair) { setPairFault(pair, FaultProxy::Fault::Blocked); }
    void pairRecovers(size_t pair) { setPairFault(pair, FaultProxy::Fault::None); }
    void workerUnresponsive(size_t worker) { m_workers[worker]->setFault(WorkerStandIn::Fault::Unresponsive); }
    void workerLate(size_t worker) { m_workers[worker]->setFault(WorkerStandIn::Fault::Late); }
    void workerRecovers(size_t worker) { m_workers[worker]->setFault(WorkerStandIn::Fault::None); }
    void workerRestarts(size_t worker) { m_workers[worker]->restart(); }
    void workerRestartsInPlace(size_t worker)
    {
        m_workers[worker]->restartInPlace(randomDuration(10, 60), randomDuration(0, 500));
    }
    void restartAndCutWorkers(size_t);
    void pause(size_t program) { m_runner.signal(m_programs[program].pid, SIGSTOP); }
    void resume(size_t program) { m_runner.signal(m_programs[program].pid, SIGCONT); }
    void kill(size_t program) { end(program, SIGKILL); }
    void terminate(size_t program) { end(program, SIGTERM); }
    void reload(size_t program) { m_runner.signal(m_programs[program].pid, SIGHUP); }
    void end(size_t program, int signal);
    void killAgents(size_t);
    void replaceOwnerAndKillAgents(size_t);
    void separateNewOwner(size_t);
    void signalSeries(size_t);

    Settings m_settings;
    std::mt19937_64 m_random;
    BootClock m_clock;
    EventLoop m_loop;
    InvariantChecker m_invariants { m_clock };
    ProcessRunner m_runner;
    StoreStandIn m_store { m_loop };
    std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
    std::vector<Program> m_programs; ///< Entries, then agents.
    std::vector<std::unique_ptr<HttpClient>> m_callers; ///< One HTTP client for each entry.
    std::vector<ActiveFault> m_active;
    std::multimap<Instant, ScheduledFault> m_scheduled; ///< By begin.
    std::vector<std::string> m_faultHistory; ///< Injected faults in the order of their start.
    std::vector<std::unique_ptr<Timer>> m_retries;
    size_t m_faultCount { 0 };
    uint64_t m_nextJob { 0 };
    bool m_submitting { true };
    Instant m_startedAt {};
};

} // namespace hemlocklead::soak
