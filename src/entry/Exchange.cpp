#include "entry/Exchange.h"

#include <algorithm>
#include <cassert>

namespace hemlocklead {

Exchange::Exchange(CallRequest request, ResponseCallback respond)
    : m_request(std::move(request))
    , m_respond(std::move(respond))
{
}

void Exchange::addTry(Try started)
{
    assert(m_request.idempotent || (m_tries.empty() && !m_mayHaveRun));
    m_triedHosts.insert(started.host);
    m_tries.push_back(std::move(started));
}

std::optional<Exchange::Try> Exchange::takeTry(const std::string& id)
{
    const auto found = std::ranges::find(m_tries, id, &Try::id);
    if (found == m_tries.end())
        return std::nullopt;
    Try taken = std::move(*found);
    m_tries.erase(found);
    return taken;
}

const Exchange::Try* Exchange::findTry(const std::string& id) const
{
    const auto found = std::ranges::find(m_tries, id, &Try::id);
    return found == m_tries.end() ? nullptr : &*found;
}

Exchange::Step Exchange::afterNotRun(ErrorKind reason)
{
    m_lastRefusal = reason;
    if (!m_tries.empty())
        return Step::Wait;
    if (isRetriedWithoutBudget(reason) && m_unbudgetedRetries < maxUnbudgetedRetries) {
        ++m_unbudgetedRetries;
        return Step::Retry;
    }
    if (isRetriedWithoutBudget(reason) || m_budgetedRetries >= maxBudgetedRetries)
        return Step::GiveUp;
    ++m_budgetedRetries;
    return Step::RetryWithinBudget;
}

Exchange::Step Exchange::afterUnknown()
{
    m_mayHaveRun = true;
    if (!m_tries.empty())
        return Step::Wait;
    if (!m_request.idempotent || m_budgetedRetries >= maxBudgetedRetries)
        return Step::GiveUp;
    ++m_budgetedRetries;
    return Step::RetryWithinBudget;
}

ErrorKind Exchange::failure() const
{
    if (m_mayHaveRun || !m_tries.empty())
        return ErrorKind::OutcomeUnknown;
    return m_lastRefusal.value_or(ErrorKind::Timeout);
}

Duration Exchange::retryDelay() const
{
    constexpr Duration firstDelay { 5 };
    return m_retries == 0 ? Duration { 0 } : firstDelay * (1 << (2 * (m_retries - 1)));
}

bool Exchange::isRetriedWithoutBudget(ErrorKind reason) const
{
    return reason == ErrorKind::Leaving || reason == ErrorKind::Overloaded || reason == ErrorKind::DataCentreOut;
}

} // namespace hemlocklead
