// Records what requesters, minions and the store see, and checks the rules on the runs of tasks.
#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace review {

using hemlocklead::BootClock;
using hemlocklead::Duration;
using hemlocklead::Instant;

/// One run of a task, as its minion sees it.
struct Run {
    std::string task;
    int64_t runId { 0 };
    std::string minion;
    int64_t born { 0 };
    Instant startedAt {};
    bool ended { false };
    Instant endedAt {};
    std::string how {}; ///< Empty when it went down with its minion.
    bool leaseLapsed { false }; ///< The minion's lease has lapsed since the end; the end can't be taken note of any more.
    bool noted { false }; ///< `lastSeen` has reached the end.
};

class RunLog {
public:
    explicit RunLog(const std::string& file)
        : m_record(file)
        , m_begin(m_clock.now())
    {
    }

    void line(const std::string& text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>((m_clock.now() - m_begin).count()) / 1000);
        m_record << time << text << std::endl;
    }

    /// Returns the number of the run.
    size_t started(const std::string& task, int64_t runId, const std::string& minion, int64_t born)
    {
        line("start " + task + " run " + std::to_string(runId) + " on " + minion + " born " + std::to_string(born));
        for (const size_t number : m_byTask[task]) {
            const Run& run = m_runs[number];
            if (!run.ended)
                broken("TWICE: " + task + " runs as run " + std::to_string(run.runId) + " on " + run.minion + " and as run "
                    + std::to_string(runId) + " on " + minion + " at the same time");
            else if (run.how == "done" && run.noted)
                broken("TWICE: " + task + " starts as run " + std::to_string(runId) + " on " + minion + " after run "
                    + std::to_string(run.runId) + " on " + run.minion + " has ended done and its end was taken note of");
        }
        m_byTask[task].push_back(m_runs.size());
        m_runs.push_back({ .task = task, .runId = runId, .minion = minion, .born = born, .startedAt = m_clock.now() });
        return m_runs.size() - 1;
    }

    /// `how` is empty when the run went down with its minion.
    void ended(size_t number, const std::string& how)
    {
        Run& run = m_runs[number];
        run.ended = true;
        run.endedAt = m_clock.now();
        run.how = how;
        line("end   " + run.task + " run " + std::to_string(run.runId) + " on " + run.minion + ": "
            + (how.empty() ? "gone with its minion" : how));
    }

    void leaseLapsed(size_t number)
    {
        if (!m_runs[number].noted)
            m_runs[number].leaseLapsed = true;
    }

    /// `lastSeen` has reached the end of the run.
    void noted(size_t number)
    {
        Run& run = m_runs[number];
        if (run.noted || run.leaseLapsed)
            return;
        run.noted = true;
        if (run.how != "done")
            return;
        for (const size_t other : m_byTask[run.task]) {
            if (other > number && m_runs[other].startedAt >= run.endedAt)
                broken("TWICE: " + run.task + " started as run " + std::to_string(m_runs[other].runId) + " on "
                    + m_runs[other].minion + " after run " + std::to_string(run.runId) + " on " + run.minion
                    + " had ended done, and that end is taken note of now");
        }
    }

    void broken(const std::string& text)
    {
        ++m_broken;
        line("BROKEN " + text);
        std::printf("%s\n", text.c_str());
    }

    size_t brokenCount() const { return m_broken; }
    size_t runCount() const { return m_runs.size(); }
    const std::vector<Run>& runs() const { return m_runs; }

private:
    BootClock m_clock;
    std::ofstream m_record;
    Instant m_begin;
    std::vector<Run> m_runs;
    std::map<std::string, std::vector<size_t>> m_byTask;
    size_t m_broken { 0 };
};

} // namespace review
