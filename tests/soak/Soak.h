#pragma once

#include "soak/FaultProxy.h"
#include "soak/StoreStandIn.h"
#include "soak/WorkerStandIn.h"
#include "support/ProcessRunner.h"

#include <csignal>
#include <random>

namespace hemlocklead::soak {

/// One seeded run: entries and agents as separate processes between stand-ins of the platform, callers that submit, ask
/// and cancel, and faults from outside that overlap. Afterwards everything is repaired, and all that was accepted must
/// finish.
class Soak {
public:
    struct Settings {
        uint64_t seed { 1 };
        size_t entries { 3 };
        size_t agents { 4 };
        Duration faults { 15'000 }; ///< How long faults strike.
        Duration finish { 30'000 }; ///< All accepted jobs finish within this time after the last repair.
    };

    explicit Soak(Settings settings);

    /// Runs to the end; true when no promise was broken.
    bool run();

    const RunLedger& ledger() const { return m_ledger; }
    size_t faults() const { return m_faultCount; }
    std::string logs() const { return m_runner.logs(); }
    const std::vector<std::string>& history() const { return m_history; }

private:
    /// A process of the system with the proxies before it and behind it.
    struct Program {
        std::string name;
        std::vector<std::string> arguments;
        pid_t pid { 0 };
        std::unique_ptr<FaultProxy> store; ///< Between it and the store.
        std::unique_ptr<FaultProxy> owners; ///< Between owners and an agent.
        bool isEnding { false }; ///< Is started again once it has ended.
    };

    struct FaultKind {
        const char* name;
        void (Soak::*begin)(size_t target);
        void (Soak::*end)(size_t target);
        size_t (Soak::*targets)() const;
    };

    struct ActiveFault {
        const FaultKind* kind;
        size_t target;
        Instant until;
    };

    /// One caller's attempts to hand a job in.
    struct Submission {
        std::string id;
        std::string body;
        int triesLeft;
        bool wasRefused { false };
        bool mayHaveRun { false };
    };

    static const std::vector<FaultKind>& kinds();

    Result<void> startAll();
    void startProgram(Program& program);
    void writeConfiguration();

    void strike();
    void endDueFaults(bool all);
    void watchPrograms();
    void submitJob();
    void send(const std::shared_ptr<Submission>& submission);
    void answered(const std::shared_ptr<Submission>& submission, const HttpExchange& exchange);
    void ask(const std::string& id);
    void askAny();
    void cancelAny();
    HttpRequest request(std::string method, const std::string& id) const;
    HttpClient& anyEntry();
    bool isFinished() const;
    size_t random(size_t below);

    size_t one() const { return 1; }
    size_t programs() const { return m_programs.size(); }
    size_t agents() const { return m_settings.agents; }
    size_t workers() const { return m_workers.size(); }
    void nothing(size_t) { }
    void storeBusy(size_t) { m_store.setFault(StoreStandIn::Fault::Busy); }
    void storeSilent(size_t) { m_store.setFault(StoreStandIn::Fault::Silent); }
    void storeLosing(size_t) { m_store.setFault(StoreStandIn::Fault::LosingAnswers); }
    void storeSlow(size_t) { m_store.setFault(StoreStandIn::Fault::Slow); }
    void storeWell(size_t) { m_store.setFault(StoreStandIn::Fault::None); }
    void storeCompacts(size_t) { m_store.compact(); }
    void linkDelayed(size_t target) { m_programs[target].store->setFault(FaultProxy::Fault::Delay); }
    void linkCutOut(size_t target) { m_programs[target].store->setFault(FaultProxy::Fault::CutToTarget); }
    void linkCutBack(size_t target) { m_programs[target].store->setFault(FaultProxy::Fault::CutToClient); }
    void linkSilent(size_t target) { m_programs[target].store->setFault(FaultProxy::Fault::Silent); }
    void linkReset(size_t target) { m_programs[target].store->reset(); }
    void linkWell(size_t target) { m_programs[target].store->setFault(FaultProxy::Fault::None); }
    FaultProxy& ownerLink(size_t agent) { return *m_programs[m_settings.entries + agent].owners; }
    void ownersDelayed(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::Delay); }
    void ownersCutOut(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::CutToTarget); }
    void ownersCutBack(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::CutToClient); }
    void ownersSilent(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::Silent); }
    void ownersReset(size_t agent) { ownerLink(agent).reset(); }
    void ownersWell(size_t agent) { ownerLink(agent).setFault(FaultProxy::Fault::None); }
    void workerSilent(size_t worker) { m_workers[worker]->setFault(WorkerStandIn::Fault::Silent); }
    void workerLate(size_t worker) { m_workers[worker]->setFault(WorkerStandIn::Fault::Late); }
    void workerWell(size_t worker) { m_workers[worker]->setFault(WorkerStandIn::Fault::None); }
    void workerRestarts(size_t worker) { m_workers[worker]->restart(); }
    void pause(size_t program) { m_runner.signal(m_programs[program].pid, SIGSTOP); }
    void resume(size_t program) { m_runner.signal(m_programs[program].pid, SIGCONT); }
    void kill(size_t program) { end(program, SIGKILL); }
    void terminate(size_t program) { end(program, SIGTERM); }
    void reload(size_t program) { m_runner.signal(m_programs[program].pid, SIGHUP); }
    void end(size_t program, int signal);

    Settings m_settings;
    std::mt19937_64 m_random;
    BootClock m_clock;
    EventLoop m_loop;
    RunLedger m_ledger { m_clock };
    ProcessRunner m_runner;
    StoreStandIn m_store { m_loop };
    std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
    std::vector<Program> m_programs; ///< Entries, then agents.
    std::vector<std::unique_ptr<HttpClient>> m_callers; ///< One for each entry.
    std::vector<ActiveFault> m_active;
    std::vector<std::string> m_history; ///< Faults as they struck.
    std::vector<std::unique_ptr<Timer>> m_retries;
    size_t m_faultCount { 0 };
    uint64_t m_nextJob { 0 };
    bool m_submitting { true };
    Instant m_startedAt {};
};

} // namespace hemlocklead::soak
