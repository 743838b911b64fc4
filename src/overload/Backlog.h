#pragma once

#include "overload/Admission.h"
#include "overload/RoomDivision.h"

#include <map>
#include <string>
#include <vector>

namespace hemlocklead::overload {

using QueueLoads = std::map<std::string, QueueLoad>; ///< By queue.

/// An open job that competes for room, as of the last plan.
struct BacklogJob {
    std::string queue;
    RoomKind kind { RoomKind::Reserved };
    RoomClass roomClass { RoomClass::InTime };
    int64_t priority { 0 };
    double coreSeconds { 0 }; ///< Unfinished work.
    Duration slack { 0 }; ///< From the submission: time that the job could wait and still end in time.
};

/// Estimates the wait that a new job of each queue meets from the work that would be placed before it.
///
/// A new job is taken to be like the average open job of its queue. If it would still end in time, it waits for the
/// jobs in time of its own and of lower priority numbers. Otherwise it also waits for the late jobs of its priority
/// that need no more work than it does.
class Backlog {
public:
    void add(BacklogJob job) { m_jobs.push_back(std::move(job)); }

    /// Loads by queue. `cores` is the rate of work by kind, see RoomDivision::cores(); a kind without a rate has no
    /// load. A queue with jobs of several kinds has the lowest one.
    QueueLoads loads(const std::array<std::optional<double>, roomKindCount>& cores) const;

private:
    struct QueueJobs;

    QueueLoad loadOf(const QueueJobs& queue, RoomKind kind, double cores) const;

    std::vector<BacklogJob> m_jobs;
};

} // namespace hemlocklead::overload
