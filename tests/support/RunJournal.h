#pragma once

#include "support/TestSite.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// One run of a task on a worker, read from the journal of the stand-in worker. Times are in CLOCK_MONOTONIC
/// milliseconds.
struct TaskRun {
    std::string job;
    std::string task; ///< `JOB.INDEX`
    std::string attempt; ///< `JOB.INDEX.ATTEMPT`
    size_t host { 0 };
    int64_t startedAt { 0 };
    int64_t endedAt { 0 }; ///< `stillRunning` while the run has not ended.
    std::string endEvent; ///< `finish`, `stop` or `expire`; empty while running.
};

constexpr int64_t stillRunning = INT64_MAX;

/// Current time in CLOCK_MONOTONIC milliseconds, as in the journals.
int64_t journalNow();

/// All runs recorded so far on all hosts of the site.
std::vector<TaskRun> taskRuns(const TestSite& site);

/// Two lines for each pair of runs of the same task that overlap in time; empty if there is none.
std::string describeOverlaps(const std::vector<TaskRun>& runs);

/// Number of finished runs of each task of the job.
std::map<std::string, int> finishCounts(const std::vector<TaskRun>& runs, const std::string& job);

/// Tasks of the job that have a run without an end.
std::set<std::string> runningTasks(const std::vector<TaskRun>& runs, const std::string& job);

/// One line per run, for failure messages.
std::string describe(const std::vector<TaskRun>& runs);

/// One event in the journal of a stand-in target.
struct TargetEvent {
    int64_t at { 0 }; ///< In CLOCK_MONOTONIC milliseconds.
    bool isStart { false };
    std::string testId;
};

/// Events recorded so far by the target of a host.
std::vector<TargetEvent> targetEvents(const TestSite& site, size_t host);

/// Number of starts of each test id, over all targets.
std::map<std::string, int> startCountsByTestId(const TestSite& site);

} // namespace hemlocklead
