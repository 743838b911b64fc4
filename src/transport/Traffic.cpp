#include "transport/Traffic.h"

#include "base/Log.h"
#include "protocol/Codec.h"

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

void Traffic::Flow::add(size_t size)
{
    ++count;
    bytes += static_cast<int64_t>(size);
}

void Traffic::recordSent(const Message& message, size_t bytes)
{
    m_sent[messageName(message)].add(bytes);
    (isCall(message) ? m_callsSent : m_controlSent) += static_cast<int64_t>(bytes);
    ++m_framesSent;
}

void Traffic::recordReceived(const Message& message, size_t bytes)
{
    m_received[messageName(message)].add(bytes);
    (isCall(message) ? m_callsReceived : m_controlReceived) += static_cast<int64_t>(bytes);
    ++m_framesReceived;
}

void Traffic::recordExchange(std::string_view kind, size_t sent, size_t received)
{
    m_sent[kind].add(sent);
    m_received[kind].add(received);
}

void Traffic::publishFlows(Counters& counters, const Flows& flows, const std::string& direction)
{
    for (const auto& [kind, flow] : flows) {
        std::string labels = "{direction=\"";
        labels.append(direction).append("\",message=\"").append(kind).append("\"}");
        counters.set("traffic_bytes" + labels, flow.bytes);
        counters.set("traffic_messages" + labels, flow.count);
    }
}

void Traffic::logSinceLastCall()
{
    LogEvent event(LogLevel::Info, "traffic");
    const auto append = [&](const Flows& flows, Flows& logged, const std::string& direction) {
        for (const auto& [kind, flow] : flows) {
            Flow& last = logged[kind];
            if (flow.count == last.count)
                continue;
            std::string name = direction;
            name.append("_").append(kind);
            std::string value = std::to_string(flow.bytes - last.bytes);
            value.append("/").append(std::to_string(flow.count - last.count));
            event.field(name, value);
            last = flow;
        }
    };
    append(m_sent, m_loggedSent, "sent");
    append(m_received, m_loggedReceived, "received");
}

void Traffic::publish(Counters& counters) const
{
    publishFlows(counters, m_sent, "sent");
    publishFlows(counters, m_received, "received");
    counters.set("frame_bytes_sent{kind=\"control\"}", m_controlSent);
    counters.set("frame_bytes_received{kind=\"control\"}", m_controlReceived);
    counters.set("frame_bytes_sent{kind=\"call\"}", m_callsSent);
    counters.set("frame_bytes_received{kind=\"call\"}", m_callsReceived);
    counters.set("frames_sent", m_framesSent);
    counters.set("frames_received", m_framesReceived);
    counters.set("frames_unknown", m_framesUnknown);
}

} // namespace hemlocklead
