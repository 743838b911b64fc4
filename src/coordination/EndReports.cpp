#include "coordination/EndReports.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr Duration longestInterval { 8000 };

} // namespace

void EndReports::add(const AttemptKey& key, Instant now) { m_reports.insert_or_assign(key, Report { now }); }

std::vector<DueReport> EndReports::takeDue(Instant now)
{
    std::vector<DueReport> due;
    for (auto& [key, report] : m_reports) {
        if (now < report.due)
            continue;
        due.push_back({ key, report.interval == shortestInterval });
        report.due = now + report.interval;
        report.interval = std::min(report.interval * 2, longestInterval);
    }
    return due;
}

} // namespace hemlocklead
