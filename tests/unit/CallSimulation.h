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

/// What the targets and links of a simulation do wrong, as probabilities.
struct CallFaults {
    double refusedConnection { 0 };
    double lostAnswer { 0 }; ///< The target ran the request, but no whole answer came.
    double crossedAnswer { 0 }; ///< The target answers another request.
    double targetError { 0 };
    double slowTarget { 0 };
    double repeatedReply { 0 };
    double misroutedReply { 0 }; ///< A copy of the reply also seems to come from another host.
    double damagedReply { 0 };
    double repeatedCall { 0 };
    double brokenLink { 0 };
    double leavingAgent { 0 };
};

/// One entry, its agents and their targets in one thread, on a manual clock and a seeded order of events: the real
/// CallRouter and CallGate over simulated links and targets.
class CallSimulation {
public:
    struct Outcome {
        std::string outcome; ///< Of the header `Hemlocklead-Outcome`.
        std::string body;
        int status { 0 };
    };

    CallSimulation(uint64_t seed, size_t hosts, const CallFaults& faults);

    /// Sends a request whose path names it.
    void request(const std::string& name, const std::string& method, Duration timeout);

    /// Advances the clock in steps of a millisecond.
    void run(Duration time);

    /// The answers that the caller of the request got.
    const std::vector<Outcome>& outcomes(const std::string& name) const { return m_outcomes.at(name); }
    const std::map<std::string, std::vector<Outcome>>& outcomes() const { return m_outcomes; }

    /// How often targets ran the request.
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
    Duration delay(int64_t mostMs) { return Duration { 1 + static_cast<int64_t>(m_random() % mostMs) }; }
    void later(Duration wait, std::function<void()> action);
    void runDue();
    bool toAgent(std::string_view host, const Message& message);
    void toEntry(size_t index, const CallReply& reply);
    void atTarget(const HttpRequest& request, Duration timeout, HttpClient::Callback done);
    HttpExchange runAtTarget(const HttpRequest& request);
    void breakLink(size_t index);
    void report(size_t index);
    void disturb();

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
