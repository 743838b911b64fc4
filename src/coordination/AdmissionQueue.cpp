#include "coordination/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace hemlocklead {

AdmissionQueue::Decision AdmissionQueue::offer(
    uint64_t id, Instant deadline, Instant now, Duration expected, const Limits& limits)
{
    if (now >= deadline)
        return Decision::TooLate;
    if (m_inFlight < limits.maxInFlight && m_queue.empty()) {
        ++m_inFlight;
        return Decision::Admitted;
    }
    if (queued() >= limits.maxQueued)
        return Decision::QueueFull;
    if (now + expectedWait(deadline, expected, limits.maxInFlight) + expected > deadline)
        return Decision::TooLate;
    m_queue.emplace(std::pair { deadline, id }, id);
    return Decision::Queued;
}

void AdmissionQueue::release()
{
    assert(m_inFlight > 0);
    --m_inFlight;
}

std::optional<uint64_t> AdmissionQueue::admitNext(const Limits& limits)
{
    if (m_queue.empty() || m_inFlight >= limits.maxInFlight)
        return std::nullopt;
    const uint64_t id = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    ++m_inFlight;
    return id;
}

std::vector<uint64_t> AdmissionQueue::shed(Instant now, Duration expected)
{
    std::vector<uint64_t> ids;
    while (!m_queue.empty() && now + expected >= m_queue.begin()->first.first) {
        ids.push_back(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
    }
    return ids;
}

void AdmissionQueue::remove(uint64_t id, Instant deadline) { m_queue.erase({ deadline, id }); }

Duration AdmissionQueue::expectedWait(Instant deadline, Duration expected, int64_t maxInFlight) const
{
    const auto behind = m_queue.lower_bound({ deadline, 0 });
    const auto ahead = static_cast<int64_t>(std::distance(m_queue.begin(), behind));
    return expected * (ahead + 1) / std::max<int64_t>(1, maxInFlight);
}

} // namespace hemlocklead
