#pragma once

#include "coordination/HeldAttempt.h"

#include <map>
#include <vector>

namespace hemlocklead {

/// A report of an attempt's end that is due.
struct DueReport {
    AttemptKey key;
    bool isFirst { false };
};

/// When to report the end of an attempt again: after 1 s, then after twice as long each time, up to 8 s, so that a long
/// outage of the log does not fill the links.
class EndReports {
public:
    /// Begins to report; the first report is due at once.
    void add(const AttemptKey& key, Instant now);

    void remove(const AttemptKey& key) { m_reports.erase(key); }

    /// Reports that are due now; the next one of each is scheduled.
    std::vector<DueReport> takeDue(Instant now);

private:
    static constexpr Duration shortestInterval { 1000 };

    struct Report {
        Instant due;
        Duration interval { shortestInterval };
    };

    std::map<AttemptKey, Report> m_reports;
};

} // namespace hemlocklead
