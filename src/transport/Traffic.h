#pragma once

#include "base/Counters.h"
#include "protocol/Messages.h"

#include <cstdint>

namespace hemlocklead {

/// Counts the frames and bytes that this process sent and received, separately for control messages and calls.
///
/// One instance per process, because the limit on control traffic applies to a node, not to a connection.
class Traffic {
public:
    static Traffic& instance();

    void recordSent(const Message& message, size_t bytes);
    void recordReceived(const Message& message, size_t bytes);

    /// Counts a frame with a message type that this version does not know.
    void recordUnknown() { ++m_framesUnknown; }

    /// Writes the totals to the gauges of `/metrics`.
    void publish(Counters& counters) const;

private:
    int64_t m_controlSent { 0 };
    int64_t m_controlReceived { 0 };
    int64_t m_callsSent { 0 };
    int64_t m_callsReceived { 0 };
    int64_t m_framesSent { 0 };
    int64_t m_framesReceived { 0 };
    int64_t m_framesUnknown { 0 };
};

} // namespace hemlocklead
