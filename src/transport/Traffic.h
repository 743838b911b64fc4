#pragma once

#include "base/Counters.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Counts the frames and bytes that this process sent and received: separately for control messages and calls, and by
/// kind of message. HTTP calls to the log are counted by kind as well.
///
/// One instance per process, because the limit on control traffic applies to a node, not to a connection.
class Traffic {
public:
    static Traffic& instance();

    void recordSent(const Message& message, size_t bytes);
    void recordReceived(const Message& message, size_t bytes);

    /// Counts an HTTP exchange. `kind` must be a string literal; `sent` and `received` are the bytes of the bodies.
    void recordExchange(std::string_view kind, size_t sent, size_t received);

    /// Counts a frame with a message type that this version does not know.
    void recordUnknown() { ++m_framesUnknown; }

    /// Writes the totals to the gauges of `/metrics`.
    void publish(Counters& counters) const;

    /// Writes a log line `traffic` with "bytes/count" by kind and direction since the last call.
    void logSinceLastCall();

private:
    /// Messages of one kind and their bytes, in one direction.
    struct Flow {
        int64_t count { 0 };
        int64_t bytes { 0 };

        void add(size_t size);
    };
    using Flows = std::map<std::string_view, Flow>; ///< By kind: a message name or a string literal.

    static void publishFlows(Counters& counters, const Flows& flows, const std::string& direction);

    int64_t m_controlSent { 0 };
    int64_t m_controlReceived { 0 };
    int64_t m_callsSent { 0 };
    int64_t m_callsReceived { 0 };
    int64_t m_framesSent { 0 };
    int64_t m_framesReceived { 0 };
    int64_t m_framesUnknown { 0 };
    Flows m_sent;
    Flows m_received;
    Flows m_loggedSent; ///< `m_sent` at the last log line.
    Flows m_loggedReceived;
};

} // namespace hemlocklead
