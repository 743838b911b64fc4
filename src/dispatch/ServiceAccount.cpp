#include "dispatch/ServiceAccount.h"

#include <algorithm>

namespace hemlocklead::dispatch {

void ServiceAccount::add(double share, Duration elapsed)
{
    if (elapsed <= Duration { 0 })
        return;
    m_age = std::min(m_age + elapsed, window);
    const double weight = std::min(1.0, static_cast<double>(elapsed.count()) / static_cast<double>(m_age.count()));
    m_attainedShare += weight * (share - m_attainedShare);
}

} // namespace hemlocklead::dispatch
