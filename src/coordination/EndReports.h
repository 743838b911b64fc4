#pragma once

#include "coordination/HeldAttempt.h"

#include <map>
#include <vector>

namespace hemlocklead {

/// When to report the end of an attempt again: after 1 s, then after twice as long each time, up to 8 s, so that a long
/// outage of the log does not fill the links.
class EndReports {
public:
    /// Begins to report; the first report is due at once.
    void add(const AttemptKey& key, Instant now);

    void remove(const AttemptKey& key) { m_reports.erase(key); }

    /// Attempts whose report is due now; their next one is scheduled.
    std::vector<AttemptKey> takeDue(Instant now);

private:
    struct Report {
        Instant due;
        Duration interval { 1000 };
    };

    std::map<AttemptKey, Report> m_reports;
};

} // namespace hemlocklead
