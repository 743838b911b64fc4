#include "dispatch/SmoothedUsage.h"

#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    /// The worker's measurements cover this time.
    constexpr double averagingSeconds = 0.5;

    /// Usage below this many cores has no noticeable effect on tail latency.
    constexpr double noticeableCores = 1;

} // namespace

void SmoothedUsage::update(const CoresByImage& current, Instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    const double weight = 1 - std::exp(-seconds / averagingSeconds);
    for (const auto& [image, cores] : current)
        m_cores.try_emplace(image, 0);
    m_settling = false;
    for (auto& [image, cores] : m_cores) {
        const auto found = current.find(image);
        const double target = found == current.end() ? 0 : found->second;
        cores += weight * (target - cores);
        m_settling |= cores - target > noticeableCores;
    }
    std::erase_if(m_cores, [&](const auto& entry) { return entry.second < 0.1 && !current.contains(entry.first); });
}

} // namespace hemlocklead::dispatch
