#include "coordination/RetryBudget.h"

#include <algorithm>

namespace hemlocklead {

RetryBudget::RetryBudget(int64_t percent, int64_t burst)
    : m_percent(percent)
    , m_maxUnits(burst * unitsPerToken)
    , m_units(percent > 0 ? m_maxUnits : 0)
{
}

void RetryBudget::noteRequest() { m_units = std::min(m_maxUnits, m_units + m_percent); }

bool RetryBudget::take()
{
    if (m_units < unitsPerToken)
        return false;
    m_units -= unitsPerToken;
    return true;
}

} // namespace hemlocklead
