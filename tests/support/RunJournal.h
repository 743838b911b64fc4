#pragma once

#include "support/TestSite.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// One run of a task on a worker, from the journals of the stand-in workers. Times are CLOCK_MONOTONIC milliseconds.
struct TaskRun {
    std::string job;
    std::string task; ///< `JOB.INDEX`
    std::string attempt; ///< `JOB.INDEX.ATTEMPT`
    size_t host { 0 };
    int64_t from { 0 };
    int64_t to { 0 }; ///< `stillRunning` for a run without an end.
    std::string ending; ///< `finish`, `stop`, `expire`, or empty.
};

constexpr int64_t stillRunning = INT64_MAX;

/// Milliseconds of the clock that the journals use.
int64_t journalNow();

/// All runs on all hosts of the site so far.
std::vector<TaskRun> taskRuns(const TestSite& site);

/// One line for each pair of runs of the same task that overlap; empty when there is none.
std::string overlaps(const std::vector<TaskRun>& runs);

/// How often each task of the job finished.
std::map<std::string, int> finishes(const std::vector<TaskRun>& runs, const std::string& job);

/// Tasks of the job that run now.
std::set<std::string> runningTasks(const std::vector<TaskRun>& runs, const std::string& job);

/// One line per run, for a failing test.
std::string describe(const std::vector<TaskRun>& runs);

/// One line of the journal of a stand-in target.
struct TargetEvent {
    int64_t at { 0 };
    bool isStart { false };
    std::string testId;
};

/// Events of the target of a host so far.
std::vector<TargetEvent> targetEvents(const TestSite& site, size_t host);

/// How often each test id started on any target.
std::map<std::string, int> startsByTestId(const TestSite& site);

} // namespace hemlocklead
