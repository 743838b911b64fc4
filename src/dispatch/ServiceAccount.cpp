#include "dispatch/ServiceAccount.h"

#include <algorithm>

namespace hemlocklead::dispatch {

ServiceAccount::ServiceAccount(double attainedShare, Duration age)
    : m_attainedShare(attainedShare)
    , m_age(std::min(age, window))
{
}

void ServiceAccount::add(double share, Duration elapsed)
{
    if (elapsed <= Duration { 0 })
        return;
    m_age = std::min(m_age + elapsed, window);
    const double weight = std::min(1.0, static_cast<double>(elapsed.count()) / static_cast<double>(m_age.count()));
    m_attainedShare += weight * (share - m_attainedShare);
}

double interferenceWeight(double attainedShare, double meanAttainedShare)
{
    // A job that is far behind does not keep all best-effort work away, nor does one far ahead attract all of it.
    constexpr double minWeight = 0.6;
    constexpr double maxWeight = 3;
    if (attainedShare * maxWeight <= meanAttainedShare)
        return meanAttainedShare > 0 ? maxWeight : 1;
    return std::clamp(meanAttainedShare / attainedShare, minWeight, maxWeight);
}

} // namespace hemlocklead::dispatch
