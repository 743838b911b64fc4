#pragma once

#include "agent/CallGate.h"
#include "entry/CallRouter.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Probabilities of the faults of targets, links and agents in a simulation.
struct CallFaults {
    double refusedConnection { 0 };
    double lostAnswer { 0 }; ///< The target ran the request, but no complete answer arrived.
    double crossedAnswer { 0 }; ///< The target returns the answer to another request.
    double targetError { 0 };
    double slowTarget { 0 };
    double repeatedReply { 0 };
    double misroutedReply { 0 }; ///< The router also receives a changed copy of the reply from another host.
    double damagedReply { 0 }; ///< The last byte of the body is missing.
    double repeatedCall { 0 };
    double brokenLink { 0 }; ///< Per millisecond.
    double leavingAgent { 0 }; ///< Per millisecond.
};

/// Runs the real CallRouter and CallGate over simulated links and targets: one entry, its agents and their targets, in
/// one thread, on a manual clock and with a seeded order of events.
class CallSimulation {
public:
    struct Outcome {
        std::string outcome; ///< Value of the header `Hemlocklead-Outcome`.
        std::string body;
        int status { 0 };
    };

    CallSimulation(uint64_t seed, size_t hosts, const CallFaults& faults);

    /// Sends a request with the path `/call/lookup/NAME`.
    void request(const std::string& name, const std::string& method, Duration timeout);

    /// Advances the clock in steps of 1 ms.
    void run(Duration time);

    /// The responses that the caller of the request received.
    const std::vector<Outcome>& outcomes(const std::string& name) const { return m_outcomes.at(name); }
    const std::map<std::string, std::vector<Outcome>>& outcomes() const { return m_outcomes; }

    /// Number of times that targets ran the request.
    int runs(const std::string& name) const;

    CallRouter& router() { return m_router; }
    const Counters& counters() const { return m_counters; }

    static std::string answerFor(const std::string& path) { return "answer to " + path; }

private:
    struct Host {
        std::string name;
        std::unique_ptr<CallGate> gate;
        bool connected { true };
        bool leaving { false };
    };

    struct Event {
        Instant at;
        uint64_t order;
        std::function<void()> action;
    };

    void addHost(size_t index);
    CallGate::Ports makePorts(size_t index);
    bool chance(double probability);
    Duration delay(int64_t maxMs) { return Duration { 1 + static_cast<int64_t>(m_random() % maxMs) }; }
    void schedule(Duration wait, std::function<void()> action);
    void runDueEvents();
    bool sendToAgent(std::string_view host, const Message& message);
    void sendToEntry(size_t index, const CallReply& reply);
    void sendToTarget(const HttpRequest& request, Duration timeout, HttpClient::Callback done);
    HttpExchange runAtTarget(const HttpRequest& request);
    void breakLink(size_t index);
    void report(size_t index);
    void injectFaults();

    std::mt19937_64 m_random;
    CallFaults m_faults;
    ManualClock m_clock;
    ControlState m_control;
    Counters m_counters;
    CallRouter m_router;
    std::vector<Host> m_hosts;
    std::vector<Event> m_events;
    std::map<std::string, std::vector<Outcome>> m_outcomes;
    std::map<std::string, int> m_runs; ///< By path.
};

} // namespace hemlocklead
