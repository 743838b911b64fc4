#pragma once

#include "base/Counters.h"
#include "coordination/AdmissionQueue.h"
#include "coordination/LatencyQuantile.h"
#include "coordination/RetryBudget.h"
#include "coordination/TargetChooser.h"
#include "entry/Exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlocklead {

/// Admits callers' requests, chooses their targets, and retries and hedges them. Owns no socket and no timer: the owner
/// passes in requests and agents' messages, and calls `tick`.
class CallRouter {
public:
    struct Settings {
        std::string dataCentre;
        int64_t retryBudgetPercent { 10 };
        bool hedging { true };
        uint64_t seed { 0 }; ///< Seed of the random choice of targets.
    };

    /// Sends to an agent. Returns false if the agent is not connected; then nothing was sent.
    using Send = std::function<bool(std::string_view host, const Message& message)>;
    using ControlLookup = std::function<const ControlState&()>;

    CallRouter(Settings settings, const Clock& clock, ControlLookup control, Send send, Counters& counters);

    /// Handles a request. Calls `respond` exactly once, unless `callerGone` is called first. Returns the serial number
    /// for `callerGone`, or 0 if `respond` has been called already.
    uint64_t handle(HttpRequest request, const Exchange::ResponseCallback& respond);

    /// The caller disconnected: cancels the tries of its request. A number of an ended request is ignored.
    void callerGone(uint64_t serial);

    /// Replaces what is known of the targets on `host` by the agent's latest report.
    void updateTargets(
        const std::string& host, const std::string& dataCentre, const std::vector<TargetReport>& targets);
    void agentLeaving(const std::string& host);

    /// The agent's connection broke: the outcome of its tries is unknown, as they may have run.
    void agentGone(const std::string& host);

    void handleReply(const std::string& host, const CallReply& reply);

    /// Enforces deadlines and sends delayed retries and hedges. Called every few milliseconds while `inFlight()` > 0.
    void tick();

    size_t inFlight() const { return m_exchanges.size(); }
    Json status() const;

private:
    /// Routing state of one service.
    struct Route {
        TargetChooser chooser;
        RetryBudget budget;
        LatencyQuantile latency;
    };

    Route& route(const std::string& service);
    /// Median latency of the service, rounded up to whole milliseconds, or 0 if it is not known yet.
    Duration expectedTime(Route& route) const;
    void offer(uint64_t serial, Exchange& exchange);
    void startTry(uint64_t serial, bool hedge);
    void sendTry(uint64_t serial, Exchange& exchange, const std::string& host);
    /// Whether the body has the size and the hash that the agent stated.
    bool isComplete(const CallReply& reply) const;
    void handleResponse(uint64_t serial, const Exchange::Try& ended, const CallReply& reply);
    void handleUnknownOutcome(uint64_t serial, const Exchange::Try& ended);
    void applyStep(uint64_t serial, Exchange::Step step);
    void retry(uint64_t serial);
    void endWithError(uint64_t serial, ErrorKind kind, std::string_view message = {});
    void finish(uint64_t serial, HttpResponse response, std::string_view outcome);
    /// Cancels all tries in progress; `countAsFailures` records each as a failure of its host.
    void endTries(Exchange& exchange, bool countAsFailures);
    void removeExchange(uint64_t serial);
    void admitNext(const std::string& name);
    void shedQueued();
    void tickExchange(uint64_t serial);
    void hedgeIfDue(uint64_t serial, Exchange& exchange);

    Settings m_settings;
    const Clock& m_clock;
    ControlLookup m_control;
    Send m_send;
    Counters& m_counters;
    std::map<uint64_t, std::unique_ptr<Exchange>> m_exchanges; ///< By serial number.
    std::map<std::string, uint64_t> m_tries; ///< Exchange of each try in progress, by the try's request id.
    std::map<std::string, std::unique_ptr<Route>> m_routes; ///< By name of the service.
    std::map<std::string, AdmissionQueue> m_admission; ///< By catalogue name.
    uint64_t m_lastSerial { 0 };
};

} // namespace hemlocklead
