#pragma once

#include "base/Counters.h"
#include "dispatch/HostRegistry.h"
#include "dispatch/JobRegistry.h"
#include "dispatch/ServiceAccount.h"

#include <array>
#include <set>

namespace hemlocklead::dispatch {

/// Accounts for how the tasks of long-running jobs are served.
///
/// The times of a job are summed over its tasks. The counters `long_running_task_ms{state}` hold the totals of all
/// jobs, and each log line `service_level` has the sums of one job since its previous line. The last line of a job has
/// `ended=1`.
class ServiceLevelMonitor {
public:
    /// What a task of a long-running job gives its users.
    enum class State : uint8_t {
        Waiting, ///< It has no run.
        Starting, ///< A run has been placed, and the worker has not reported it yet.
        OverTarget, ///< Its tail latency is over the target, and no best-effort task runs on its host.
        Interfered, ///< Its tail latency is over the target while best-effort tasks run on its host.
        Served,
    };
    static constexpr size_t stateCount = 5;

    /// Weight of an interfered task in the account of its job: its users lose four times its value.
    static constexpr double interferedWeight = 4;

    struct Settings {
        Duration sampleInterval { 500 }; ///< About one report of a worker.
        Duration logInterval { 5000 }; ///< Shortest interval between two lines of a job.
    };

    ServiceLevelMonitor(const Clock& clock, Counters& counters, Settings settings);

    /// Whether `sampleInterval` has passed since the last sample.
    bool isDue() const;

    /// Attributes the time since the previous sample to the present states of the tasks. Ignores jobs without
    /// long-running steps.
    void sample(const std::vector<const Job*>& openJobs, const HostRegistry& hosts, const InterferenceModel& model);

    /// The weight of harm to the job's tasks; see dispatch::interferenceWeight(). 1 for a job without an account.
    double interferenceWeight(const std::string& job) const;

    void exportTo(learning::LearnedState& state) const;

    /// Takes over the accounts of jobs. The next sample discards those of jobs that are not open.
    void importAccounts(const std::vector<learning::AccountBalance>& accounts);

    /// Logs and discards all sums. The next sample only starts the measurement.
    void reset();

private:
    using Times = std::array<Duration, stateCount>;

    struct JobSums {
        std::string queue;
        uint32_t tasks { 0 };
        int64_t cpuMilli { 0 }; ///< Declared processors of all tasks, thousandths of a core.
        std::set<std::string> hosts; ///< Of the placed tasks, as of the last sample.
        ServiceAccount account;

        // Since the last log line.
        Times times {};
        std::map<std::string, Duration> interferedBy; ///< By the best-effort image that slows a task down most.
        Instant since {};
    };

    void updateMeanAttainedShare();
    void sampleJob(const Job& job, const HostRegistry& hosts, const InterferenceModel& model, Duration elapsed);
    void log(const std::string& job, JobSums& sums, bool ended);

    const Clock& m_clock;
    Counters& m_counters;
    Settings m_settings;
    std::optional<Instant> m_sampledAt;
    std::map<std::string, JobSums> m_jobs;
    double m_meanAttainedShare { 1 }; ///< Of all jobs, as of the last sample.
};

} // namespace hemlocklead::dispatch
