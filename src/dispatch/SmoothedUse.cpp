#include "dispatch/SmoothedUse.h"

#include <cmath>

namespace hemlocklead::dispatch {

namespace {

    /// The worker's figures cover this time.
    constexpr double lagSeconds = 0.5;

    /// Use below this many cores is not noticed in a tail.
    constexpr double noticeableCores = 1;

} // namespace

void SmoothedUse::update(const CoresByImage& current, Instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    const double share = 1 - std::exp(-seconds / lagSeconds);
    for (const auto& [image, cores] : current)
        m_cores.try_emplace(image, 0);
    m_settling = false;
    for (auto& [image, cores] : m_cores) {
        const auto found = current.find(image);
        const double target = found == current.end() ? 0 : found->second;
        cores += share * (target - cores);
        m_settling |= cores - target > noticeableCores;
    }
    std::erase_if(m_cores, [&](const auto& entry) { return entry.second < 0.1 && !current.contains(entry.first); });
}

} // namespace hemlocklead::dispatch
