#pragma once

#include "coordination/HeldAttempt.h"

#include <map>
#include <vector>

namespace hemlocklead {

/// An attempt whose end is to be reported now.
struct DueReport {
    AttemptKey key;
    bool isFirst { false };
};

/// Schedules the reports of ended attempts, which are repeated until they are acknowledged. The interval starts at 1 s
/// and doubles up to 8 s, so that repeated reports do not saturate the connections during a long outage of the log.
class EndReportSchedule {
public:
    /// Schedules the reports of an attempt's end; the first is due immediately.
    void add(const AttemptKey& key, Instant now);

    void remove(const AttemptKey& key) { m_reports.erase(key); }

    /// Returns the reports that are due now and schedules the next one of each.
    std::vector<DueReport> takeDue(Instant now);

private:
    static constexpr Duration minInterval { 1000 };

    struct Report {
        Instant due;
        Duration interval { minInterval };
    };

    std::map<AttemptKey, Report> m_reports;
};

} // namespace hemlocklead
