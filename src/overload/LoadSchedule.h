#pragma once

#include "overload/Backlog.h"

namespace hemlocklead::overload {

/// Decides when the owner publishes its load: every 2 s while there is a backlog, and once when it has ended.
class LoadSchedule {
public:
    /// At least this long between two records. Entries ignore a record after `maxLoadAge`, which leaves 1 s for the
    /// commit and the read.
    static constexpr Duration interval { 2000 };

    /// Whether enough time has passed for another record.
    bool isDue(Instant now) const { return !m_publishedAt || now - *m_publishedAt >= interval; }

    /// Whether a due record with these loads is of use to the entries.
    bool isNeeded(const QueueLoads& loads) const { return !loads.empty() || m_hasBacklog; }

    void notePublished(const QueueLoads& loads, Instant now)
    {
        m_publishedAt = now;
        m_hasBacklog = !loads.empty();
    }

private:
    std::optional<Instant> m_publishedAt;
    bool m_hasBacklog { false }; ///< In the newest record.
};

} // namespace hemlocklead::overload
