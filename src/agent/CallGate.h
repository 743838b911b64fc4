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

/// Admits the calls that entries send to the targets on this host and reports the outcome of each. Owns no socket and
/// no timer: messages, completed exchanges with targets and `tick` drive it.
class CallGate {
public:
    struct Ports {
        /// Sends a reply; it is dropped if the entry is not connected.
        std::function<void(size_t entry, const CallReply& reply)> reply;
        /// Sends a request to a target and passes the result to `done`.
        std::function<void(
            const SlotGate::Target& target, HttpRequest request, Duration timeout, HttpClient::Callback done)>
            send;
        /// Closes the idle connections to a target that returned a truncated response or one to another request.
        std::function<void(uint64_t target)> closeIdle;
        std::function<void()> targetsChanged;
        std::function<void(const std::string& service, int64_t latencyUs)> onLatency;
        /// Whether this host's data centre is out.
        std::function<bool()> isOut;
    };

    CallGate(const SlotGate::Settings& settings, const Clock& clock, Ports ports, Counters& counters);

    /// Handles `PUT` and `DELETE /targets/SERVICE/INSTANCE`.
    HttpResponse handleAnnouncement(const HttpRequest& request);

    /// Sends the call to a target, queues it or refuses it. It gets exactly one reply, unless its entry disconnects or
    /// cancels it while it is queued. A repeated id from the same entry is ignored.
    void call(size_t entry, Call call);

    /// Drops the call if it is still queued.
    void cancel(size_t entry, const std::string& id);

    /// Drops the queued calls of a disconnected entry.
    void entryGone(size_t entry);

    /// Refuses the queued calls and all new ones.
    void leave();

    /// Expires targets and queued calls, and starts calls on free slots. Must be called at least every 100 ms.
    void tick();

    /// Number of calls queued or at a target.
    size_t inProgress() const { return m_calls.size(); }

    std::vector<TargetReport> targets() const;
    bool knowsTarget(uint64_t id) const { return m_gate.knows(id); }

private:
    /// Number of call ids kept to recognise calls that arrive a second time.
    static constexpr size_t maxRecentIds = 8192;

    struct PendingCall {
        size_t entry { 0 };
        Call call;
        Instant deadline;
        std::chrono::microseconds receivedAt { 0 };
        std::chrono::microseconds sentAt { 0 }; ///< 0 while queued.
        TraceContext span;
    };

    /// Whether the entry has sent this id before; remembers the id.
    bool isDuplicate(size_t entry, const std::string& id);
    void sendToTarget(const SlotGate::Grant& grant);
    void handleExchange(const SlotGate::Grant& grant, HttpExchange exchange);
    CallReply makeReply(const PendingCall& pending, uint64_t target, HttpExchange exchange);
    CallReply makeDoneReply(const PendingCall& pending, uint64_t target, HttpResponse response);
    void noteLatency(const std::string& service, uint64_t target, std::chrono::microseconds latency);
    void refuse(const SlotGate::Refusal& refusal);
    void finish(uint64_t serial, CallReply reply);
    /// Starts queued calls on free slots.
    void grantSlots();

    const Clock& m_clock;
    Ports m_ports;
    Counters& m_counters;
    SlotGate m_gate;
    std::map<uint64_t, PendingCall> m_calls; ///< By serial number.
    uint64_t m_lastSerial { 0 };
    std::map<uint64_t, double> m_latencyUs; ///< Moving average of the latency by target id.
    std::deque<uint64_t> m_recentIdOrder; ///< Hashes in `m_recentIds`, oldest first.
    std::unordered_set<uint64_t> m_recentIds; ///< Hashes of entry index and call id.
};

} // namespace hemlocklead
