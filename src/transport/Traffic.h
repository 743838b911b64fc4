#pragma once

#include "base/Counters.h"
#include "protocol/Messages.h"

#include <cstdint>

namespace hemlocklead {

/// Bytes of frames that this process sent and received, split into control messages and callers' requests.
///
/// One object per process: the limit on control traffic is a limit per node, whatever the connection.
class Traffic {
public:
    static Traffic& instance();

    void sent(const Message& message, size_t bytes);
    void received(const Message& message, size_t bytes);

    /// Notes a frame of a type that this version does not know.
    void receivedUnknown() { ++m_framesUnknown; }

    /// Copies the totals into gauges for `/metrics`.
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
