#include "RunLog.h"

namespace hemlocklead::review {

RunLog::RunLog(const std::string& file)
    : m_start(m_clock.now())
    , m_file(file)
{
}

std::string RunLog::time(Instant at) const
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f s", static_cast<double>((at - m_start).count()) / 1000);
    return text;
}

void RunLog::line(const std::string& text) { m_file << time(m_clock.now()) << ' ' << text << std::endl; }

size_t RunLog::started(const std::string& task, uint32_t attempt, const std::string& server)
{
    m_runs.push_back({ task, attempt, server, m_clock.now(), {}, {}, {}, false });
    line(server + " starts " + task + " run " + std::to_string(attempt));
    return m_runs.size() - 1;
}

void RunLog::ended(size_t index, const std::string& how)
{
    Run& run = m_runs[index];
    run.endedAt = m_clock.now();
    run.how = how;
    line(run.server + " ends " + run.task + " run " + std::to_string(run.attempt) + " " + how);
}

void RunLog::noted(size_t index)
{
    Run& run = m_runs[index];
    if (run.notedAt)
        return;
    run.notedAt = m_clock.now();
    line(run.server + " end of " + run.task + " run " + std::to_string(run.attempt) + " is taken note of");
}

void RunLog::leaseLapsed(const std::string& server)
{
    line(server + " lease lapses");
    for (Run& run : m_runs) {
        if (run.server == server && run.endedAt && !run.notedAt)
            run.lapsedBeforeNoted = true;
    }
}

std::string RunLog::describe(const Run& run) const
{
    return run.task + " run " + std::to_string(run.attempt) + " on " + run.server + " from " + time(run.startedAt)
        + " to " + (run.endedAt ? time(*run.endedAt) + " (" + run.how + ")" : "-");
}

std::vector<std::string> RunLog::runTwice() const
{
    std::map<std::string, std::vector<const Run*>> byTask;
    for (const Run& run : m_runs)
        byTask[run.task].push_back(&run);
    std::vector<std::string> violations;
    for (const auto& [task, runs] : byTask) {
        for (size_t i = 0; i < runs.size(); ++i) {
            const Run& first = *runs[i];
            for (size_t k = i + 1; k < runs.size(); ++k) {
                const Run& second = *runs[k];
                const bool overlaps = !first.endedAt || second.startedAt < *first.endedAt;
                const bool doneBefore = !overlaps && first.how == "done" && first.notedAt && !first.lapsedBeforeNoted;
                if (overlaps)
                    violations.push_back("two runs at the same time: " + describe(first) + "; " + describe(second));
                if (doneBefore)
                    violations.push_back("started after a run had ended done, taken note of at " + time(*first.notedAt)
                        + ": " + describe(first) + "; " + describe(second));
            }
        }
    }
    return violations;
}

} // namespace hemlocklead::review
