#include "coordination/EndReportSchedule.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr Duration maxInterval { 8000 };

} // namespace

void EndReportSchedule::add(const AttemptKey& key, Instant now) { m_reports.insert_or_assign(key, Report { now }); }

std::vector<DueReport> EndReportSchedule::takeDue(Instant now)
{
    std::vector<DueReport> due;
    for (auto& [key, report] : m_reports) {
        if (now < report.due)
            continue;
        due.push_back({ key, report.interval == minInterval });
        report.due = now + report.interval;
        report.interval = std::min(report.interval * 2, maxInterval);
    }
    return due;
}

} // namespace hemlocklead
