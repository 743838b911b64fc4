#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <span>
#include <vector>

namespace hemlocklead::overload {

/// Bounds the share of each latency-critical job's tasks that best-effort work slows at the same time.
///
/// While best-effort work slows a quarter of a job's tasks, its users have no service at all. Jobs are named by their
/// index in the last update, so that no decision looks up names.
class InterferenceBound {
public:
    /// A higher share than this leaves the users without service.
    static constexpr uint32_t maxPercent = 24;

    /// Longest time for which a pause holds without renewal.
    static constexpr Duration maxHold { 1500 };

    struct Settings {
        uint32_t percent { 0 }; ///< Of a job's tasks, at most `maxPercent`; 0 for no bound.
        /// Most pauses that begin in one step. The estimates of several pauses at once are uncertain, and the next step
        /// follows in a fraction of a second.
        uint32_t maxNewPauses { 8 };
        /// A placement that slows fewer additional tasks of a job than this is within the bound: less than the error of
        /// the forecast.
        double minEffect { 0.01 };
    };

    /// The tasks of one latency-critical job on all hosts.
    struct Job {
        uint32_t tasks { 0 };
        double slowedNow { 0 }; ///< Slowed by best-effort work according to the newest reports.
        double slowedExpected { 0 }; ///< Expected to be slowed in the next second while no pause is in force.
    };

    /// Expected number of tasks of a job that a placement slows in addition.
    struct Effect {
        uint32_t job { 0 };
        double tasks { 0 };
    };

    /// The tasks of one job and image on one host.
    struct Group {
        uint32_t job { 0 };
        double slowedNow { 0 };
        double slowedExpected { 0 };
        double missingHeadroom { 0 }; ///< Headroom that has to be freed until the tasks are not slowed any more.
    };

    /// A best-effort run that can be paused.
    struct Run {
        bool isPaused { false }; ///< By an earlier decision that still holds.
        std::vector<double> headroom; ///< That it uses of each group on its host, in the order of Host::groups.
    };

    struct Host {
        std::vector<Group> groups;
        std::vector<Run> runs;
    };

    /// A run to pause, by its indices.
    struct Pause {
        size_t host { 0 };
        size_t run { 0 };
        uint32_t job { 0 }; ///< The job for which it is paused.
        Duration hold { maxHold };

        bool operator==(const Pause&) const = default;
    };

    explicit InterferenceBound(Settings settings);

    bool isOn() const { return m_settings.percent > 0; }

    /// Replaces the state of all jobs.
    void update(std::vector<Job> jobs);

    const std::vector<Job>& jobs() const { return m_jobs; }

    /// Whether more tasks of the job are slowed, or expected to be, than the bound allows.
    bool isOver(uint32_t job) const { return isOn() && isOver(m_jobs[job]); }

    /// Whether more tasks of the job are slowed now than the bound allows.
    bool isOverNow(uint32_t job) const { return isOn() && m_jobs[job].slowedNow > limitOf(m_jobs[job]); }

    /// By how many tasks the effects of one placement exceed the bound, summed over the jobs. 0 if it may be placed.
    /// Each job occurs once in `effects`.
    double excess(std::span<const Effect> effects) const;

    /// Accounts for a placement until the next update.
    void notePlaced(std::span<const Effect> effects);

    /// Chooses the runs to pause until the next step: as few as bring each job below its bound. A pause that holds and
    /// is not among them is not needed any more. `hosts` has at least the hosts on which jobs over their bound are
    /// slowed.
    std::vector<Pause> choosePauses(std::span<const Host> hosts) const;

private:
    double limitOf(const Job& job) const { return job.tasks * m_settings.percent / 100.0; }
    bool isOver(const Job& job) const;

    Settings m_settings;
    std::vector<Job> m_jobs;
    std::vector<double> m_placed; ///< By job: expected tasks that placements since the last update slow.
};

} // namespace hemlocklead::overload
