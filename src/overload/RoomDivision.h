#pragma once

#include "overload/RoomEstimator.h"
#include "overload/RoomPlan.h"

#include <array>
#include <map>
#include <string>

namespace hemlocklead::overload {

/// What tasks occupy; room of one kind is of no use to work of the other one.
enum class RoomKind : uint8_t {
    Reserved, ///< Processors that are reserved for the task.
    BestEffort, ///< Processor time that others leave idle, beside latency-critical tasks that bear it.
};
constexpr size_t roomKindCount = 2;

/// Divides scarce room among jobs: plans each kind of room anew at short intervals and keeps the classes in between.
///
/// Answers an overload in which more work arrives than can end in time. Without a division all jobs share the room and
/// most of them end late. While room of a kind is not scarce, no job gives way for it.
class RoomDivision {
public:
    struct Settings {
        /// A task ends about every 10 ms at the load of one customer, so a plan is never far off; a shorter interval
        /// costs the owner processor time.
        Duration planInterval { 100 };
        RoomEstimator::Settings estimator {};
    };

    struct Job {
        std::string id;
        RoomKind kind { RoomKind::Reserved };
        RoomDemand demand;
    };

    /// Jobs by class, as of the last plan.
    using ClassCounts = std::array<size_t, roomClassCount>;

    explicit RoomDivision(Settings settings);

    bool isPlanDue(Instant now) const { return !m_plannedAt || now - *m_plannedAt >= m_settings.planInterval; }

    /// When the classes last changed.
    std::optional<Instant> plannedAt() const { return m_plannedAt; }

    /// Classifies the jobs; those that are not named any more are forgotten. Sets their RoomDemand::deferredFor.
    void plan(std::vector<Job> jobs, Instant now);

    /// A task that could run has found no host.
    void noteLack(RoomKind kind, Instant now) { estimator(kind).noteLack(now); }

    /// A task has ended with success.
    void noteWorkDone(RoomKind kind, double coreSeconds) { estimator(kind).noteWorkDone(coreSeconds); }

    /// `InTime` for a job that has not been planned yet.
    RoomClass classOf(const std::string& job) const;

    /// Unfinished work in core-seconds; 0 for a job that has not been planned yet.
    double workOf(const std::string& job) const;

    /// Core-seconds of work done a second, or nothing while room of the kind is not scarce.
    std::optional<double> cores(RoomKind kind) const { return m_cores[static_cast<size_t>(kind)]; }
    bool isScarce(RoomKind kind) const { return cores(kind).has_value(); }

    /// Whether the job gives way to others for scarce room of the kind.
    bool givesWay(const std::string& job, RoomKind kind) const
    {
        return isScarce(kind) && classOf(job) != RoomClass::InTime;
    }

    const ClassCounts& classCounts(RoomKind kind) const { return m_counts[static_cast<size_t>(kind)]; }

    void clear();

private:
    struct Planned {
        RoomClass roomClass { RoomClass::InTime };
        double coreSeconds { 0 };
        std::optional<Instant> deferredSince;
        bool isNamed { true }; ///< The newest plan names the job.
    };

    RoomEstimator& estimator(RoomKind kind) { return m_estimators[static_cast<size_t>(kind)]; }

    Settings m_settings;
    std::array<RoomEstimator, roomKindCount> m_estimators;
    std::array<std::optional<double>, roomKindCount> m_cores;
    std::array<ClassCounts, roomKindCount> m_counts {};
    std::optional<Instant> m_plannedAt;
    std::map<std::string, Planned> m_jobs;
};

} // namespace hemlocklead::overload
