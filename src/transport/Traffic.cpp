#include "transport/Traffic.h"

namespace hemlocklead {

namespace {

    bool isCall(const Message& message)
    {
        return std::holds_alternative<Call>(message) || std::holds_alternative<CallReply>(message)
            || std::holds_alternative<CallCancel>(message);
    }

} // namespace

Traffic& Traffic::instance()
{
    static Traffic traffic;
    return traffic;
}

void Traffic::recordSent(const Message& message, size_t bytes)
{
    (isCall(message) ? m_callsSent : m_controlSent) += static_cast<int64_t>(bytes);
    ++m_framesSent;
}

void Traffic::recordReceived(const Message& message, size_t bytes)
{
    (isCall(message) ? m_callsReceived : m_controlReceived) += static_cast<int64_t>(bytes);
    ++m_framesReceived;
}

void Traffic::publish(Counters& counters) const
{
    counters.set("frame_bytes_sent{kind=\"control\"}", m_controlSent);
    counters.set("frame_bytes_received{kind=\"control\"}", m_controlReceived);
    counters.set("frame_bytes_sent{kind=\"call\"}", m_callsSent);
    counters.set("frame_bytes_received{kind=\"call\"}", m_callsReceived);
    counters.set("frames_sent", m_framesSent);
    counters.set("frames_received", m_framesReceived);
    counters.set("frames_unknown", m_framesUnknown);
}

} // namespace hemlocklead
