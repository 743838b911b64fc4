#pragma once

#include "base/Clock.h"
#include "base/Counters.h"
#include "coordination/SlotGate.h"
#include "protocol/Http.h"
#include "protocol/Traceparent.h"
#include "transport/HttpClient.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace hemlocklead {

/// Calls of entries and what is known of their outcome. Owns no socket and no timer: it is driven by messages, by the
/// ends of exchanges with targets and by `tick`.
class CallGate {
public:
    struct Ports {
        /// Sends a reply; an entry that is not connected gets none.
        std::function<void(size_t entry, const CallReply& reply)> reply;
        /// Starts an exchange with a target.
        std::function<void(
            const SlotGate::Target& target, HttpRequest request, Duration timeout, HttpClient::Callback done)>
            send;
        /// Closes the idle connections to a target whose answer belonged to another request.
        std::function<void(uint64_t target)> closeIdle;
        std::function<void()> targetsChanged;
        std::function<void(const std::string& service, int64_t latencyUs)> onLatency;
        /// Whether this host's data centre is taken out.
        std::function<bool()> isOut;
    };

    CallGate(const SlotGate::Settings& settings, const Clock& clock, Ports ports, Counters& counters);

    /// `PUT` or `DELETE /targets/SERVICE/INSTANCE`.
    HttpResponse announcement(const HttpRequest& request);

    /// Takes a call; it is answered once, unless its entry disconnects or cancels it in the queue.
    void call(size_t entry, Call call);

    /// Drops the call if it has not been handed to a target.
    void cancel(size_t entry, const std::string& id);

    /// Drops the entry's queued calls.
    void entryGone(size_t entry);

    /// Refuses new and queued calls.
    void leave();

    /// Expires targets and queued calls; at least every 100 ms.
    void tick();

    /// Calls queued or at a target.
    size_t inProgress() const { return m_calls.size(); }

    std::vector<TargetReport> targets() const;
    bool knowsTarget(uint64_t id) const { return m_gate.knows(id); }

private:
    /// Ids kept to recognise a call that arrives a second time.
    static constexpr size_t maxRecentIds = 8192;

    struct Pending {
        size_t entry { 0 };
        Call call;
        Instant deadline;
        std::chrono::microseconds receivedAt { 0 };
        std::chrono::microseconds sentAt { 0 }; ///< 0 while queued.
        TraceContext span;
    };

    bool isRepeated(size_t entry, const std::string& id);
    void start(const SlotGate::Grant& grant);
    void exchanged(const SlotGate::Grant& grant, HttpExchange exchange);
    CallReply makeReply(const Pending& pending, uint64_t target, HttpExchange exchange);
    CallReply answered(const Pending& pending, uint64_t target, HttpResponse response);
    void noteLatency(const std::string& service, uint64_t target, std::chrono::microseconds latency);
    void refuse(const SlotGate::Refusal& refusal);
    void finish(uint64_t serial, CallReply reply);
    void grantSlots();

    const Clock& m_clock;
    Ports m_ports;
    Counters& m_counters;
    SlotGate m_gate;
    std::map<uint64_t, Pending> m_calls; ///< By serial number.
    uint64_t m_lastSerial { 0 };
    std::map<uint64_t, double> m_latencyUs; ///< Moving average by target id.
    std::deque<uint64_t> m_recentOrder;
    std::unordered_set<uint64_t> m_recent; ///< Hashes of entry and call id.
};

} // namespace hemlocklead
