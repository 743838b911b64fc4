#include "learning/RecordSchedule.h"

#include <algorithm>

namespace hemlocklead::learning {

RecordSchedule::RecordSchedule(Settings settings)
    : m_settings(settings)
{
}

void RecordSchedule::start(LearnedState recorded, Duration age, Instant now)
{
    m_recorded = std::move(recorded);
    m_recordedAt = now - std::clamp(age, Duration { 0 }, m_settings.refreshInterval);
    m_checkedAt = now;
    m_dueSince.reset();
}

bool RecordSchedule::isCheckDue(Instant now) const
{
    return !m_dueSince && now - m_recordedAt >= m_settings.minInterval && now - m_checkedAt >= m_settings.checkInterval;
}

void RecordSchedule::check(const LearnedState& state, bool mustStayFresh, Instant now)
{
    m_checkedAt = now;
    const bool isOld = mustStayFresh && now - m_recordedAt >= m_settings.refreshInterval;
    if (isOld || hasChanged(state, m_recorded))
        m_dueSince = now;
}

bool RecordSchedule::isDue(bool withOthers, Instant now) const
{
    return m_dueSince && (withOthers || now - *m_dueSince >= m_settings.maxBatchDelay);
}

void RecordSchedule::noteRecorded(LearnedState state, Instant now)
{
    m_recorded = std::move(state);
    m_recordedAt = now;
    m_dueSince.reset();
}

} // namespace hemlocklead::learning
