#include "overload/RoomEstimator.h"

#include <algorithm>
#include <utility>

namespace hemlocklead::overload {

RoomEstimator::RoomEstimator(Settings settings)
    : m_settings(settings)
{
}

void RoomEstimator::noteLack(Instant now)
{
    if (!m_lackedSince || now - m_lackedAt > m_settings.maxGap)
        m_lackedSince = now;
    m_lackedAt = now;
}

void RoomEstimator::update(Instant now)
{
    const Duration elapsed = m_updatedAt ? now - *m_updatedAt : Duration { 0 };
    if (m_updatedAt && elapsed <= Duration { 0 })
        return;
    m_updatedAt = now;
    const double done = std::exchange(m_done, 0);
    if (elapsed <= Duration { 0 })
        return;
    // A mean over all time so far, until that covers the smoothing: an average that begins at zero would say for
    // seconds after a change of owner that hardly any job can end.
    m_age = std::min(m_age + elapsed, m_settings.smoothing);
    const double weight = std::min(1.0, static_cast<double>(elapsed.count()) / static_cast<double>(m_age.count()));
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_rate += weight * (done / seconds - m_rate);
}

std::optional<double> RoomEstimator::cores(Instant now) const
{
    const bool isScarce = m_age >= m_settings.smoothing && m_lackedSince && now - m_lackedAt <= m_settings.maxGap
        && m_lackedAt - *m_lackedSince >= m_settings.minLack;
    // A rate of zero would say that no job can end, only because none has ended lately.
    constexpr double minCores = 1;
    return isScarce ? std::optional(std::max(m_rate, minCores)) : std::nullopt;
}

} // namespace hemlocklead::overload
