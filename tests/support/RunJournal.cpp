#include "support/RunJournal.h"

#include <algorithm>
#include <sstream>

namespace hemlocklead {

namespace {

    TaskRun startedRun(size_t host, int64_t at, const std::string& id)
    {
        const std::string task = id.substr(0, id.rfind('.'));
        return { task.substr(0, task.rfind('.')), task, id, host, at, stillRunning, "" };
    }

    void addRuns(std::vector<TaskRun>& runs, size_t host, const std::string& journal)
    {
        std::istringstream lines(journal);
        int64_t at = 0;
        std::string event;
        std::string id;
        while (lines >> at >> event >> id) {
            if (event == "start") {
                runs.push_back(startedRun(host, at, id));
                continue;
            }
            const auto open = std::ranges::find_if(runs, [&](const TaskRun& run) {
                return run.host == host && run.attempt == id && run.endedAt == stillRunning;
            });
            if (open == runs.end() || (event != "finish" && event != "stop" && event != "expire"))
                continue;
            open->endedAt = at;
            open->endEvent = event;
        }
    }

} // namespace

int64_t journalNow() { return SystemClock().now().time_since_epoch().count(); }

std::vector<TaskRun> taskRuns(const TestSite& site)
{
    std::vector<TaskRun> runs;
    for (size_t host = 0; host < site.hosts().size(); ++host)
        addRuns(runs, host, site.workerJournal(host));
    return runs;
}

std::string describeOverlaps(const std::vector<TaskRun>& runs)
{
    std::vector<TaskRun> overlapping;
    for (size_t i = 0; i < runs.size(); ++i) {
        for (size_t j = i + 1; j < runs.size(); ++j) {
            const bool areConcurrent = runs[i].startedAt < runs[j].endedAt && runs[j].startedAt < runs[i].endedAt;
            if (areConcurrent && runs[i].task == runs[j].task)
                overlapping.insert(overlapping.end(), { runs[i], runs[j] });
        }
    }
    return describe(overlapping);
}

std::map<std::string, int> finishCounts(const std::vector<TaskRun>& runs, const std::string& job)
{
    std::map<std::string, int> counts;
    for (const TaskRun& run : runs) {
        if (run.job == job)
            counts[run.task] += run.endEvent == "finish" ? 1 : 0;
    }
    return counts;
}

std::set<std::string> runningTasks(const std::vector<TaskRun>& runs, const std::string& job)
{
    std::set<std::string> tasks;
    for (const TaskRun& run : runs) {
        if (run.job == job && run.endedAt == stillRunning)
            tasks.insert(run.task);
    }
    return tasks;
}

std::string describe(const std::vector<TaskRun>& runs)
{
    std::ostringstream text;
    for (const TaskRun& run : runs) {
        text << run.attempt << " on host " << run.host << " from " << run.startedAt << " to ";
        if (run.endedAt == stillRunning)
            text << "now\n";
        else
            text << run.endedAt << ' ' << run.endEvent << '\n';
    }
    return text.str();
}

std::vector<TargetEvent> targetEvents(const TestSite& site, size_t host)
{
    std::vector<TargetEvent> events;
    std::istringstream lines(site.targetJournal(host));
    for (std::string line; std::getline(lines, line);) {
        const Json json = Json::parse(line, nullptr, false);
        // A line that the target is still writing does not parse.
        if (json.is_object())
            events.push_back(
                { json.value("ms", int64_t { 0 }), json.value("event", "") == "start", json.value("test_id", "") });
    }
    return events;
}

std::map<std::string, int> startCountsByTestId(const TestSite& site)
{
    std::map<std::string, int> counts;
    for (size_t host = 0; host < site.hosts().size(); ++host) {
        for (const TargetEvent& event : targetEvents(site, host))
            counts[event.testId] += event.isStart ? 1 : 0;
    }
    return counts;
}

} // namespace hemlocklead
