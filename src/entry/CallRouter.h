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

/// Callers' requests in progress: admission, choice of target, retries, hedges. Owns no socket and no timer: it is
/// driven by requests, messages of agents and `tick`.
class CallRouter {
public:
    struct Settings {
        std::string dataCentre;
        int64_t retryBudgetPercent { 10 };
        bool hedging { true };
        uint64_t seed { 0 }; ///< Of the random choices.
    };

    /// Sends to an agent; false when it is not connected (then provably not sent).
    using Send = std::function<bool(std::string_view host, const Message& message)>;
    using Control = std::function<const ControlState&()>;

    CallRouter(Settings settings, const Clock& clock, Control control, Send send, Counters& counters);

    /// Takes a request; `answer` is called exactly once unless the caller goes. Returns a number for `callerGone`,
    /// or 0 when it was answered at once.
    uint64_t handle(HttpRequest request, const Exchange::Answer& answer);

    void callerGone(uint64_t serial);

    /// What an agent's keepalive says of its targets.
    void targetsReported(const std::string& host, const std::string& dataCentre, const std::vector<TargetReport>& all);
    void agentLeaving(const std::string& host);

    /// The agent's connection broke: its tries may have run.
    void agentGone(const std::string& host);

    void reply(const std::string& host, const CallReply& reply);

    /// Deadlines, delayed retries and hedges; every few milliseconds while requests are in progress.
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
    Duration expectedTime(Route& route) const;
    void offer(uint64_t serial, Exchange& exchange);
    void startTry(uint64_t serial, bool hedge);
    void sendTry(uint64_t serial, Exchange& exchange, const std::string& host);
    bool isWhole(const CallReply& reply) const;
    void done(uint64_t serial, const Exchange::Try& ended, const CallReply& reply);
    void tryUnknown(uint64_t serial, const Exchange::Try& ended);
    void proceed(uint64_t serial, Exchange::Step step);
    void retry(uint64_t serial);
    void fail(uint64_t serial, ErrorKind kind, std::string_view message = {});
    void finish(uint64_t serial, HttpResponse response, std::string_view outcome);
    void endTries(Exchange& exchange, bool timedOut);
    void removeExchange(uint64_t serial);
    void admitNext(const std::string& name);
    void shedQueued();
    void tickExchange(uint64_t serial);
    void hedgeIfDue(uint64_t serial, Exchange& exchange);

    Settings m_settings;
    const Clock& m_clock;
    Control m_control;
    Send m_send;
    Counters& m_counters;
    std::map<uint64_t, std::unique_ptr<Exchange>> m_exchanges; ///< By serial number.
    std::map<std::string, uint64_t> m_tries; ///< Exchange of each try in progress, by the try's request id.
    std::map<std::string, std::unique_ptr<Route>> m_routes; ///< By service.
    std::map<std::string, AdmissionQueue> m_admission; ///< By catalogue name.
    uint64_t m_lastSerial { 0 };
};

} // namespace hemlocklead
