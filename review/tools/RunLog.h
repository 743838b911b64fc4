#pragma once

#include "base/Clock.h"

#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead::review {

/// Records what clients, the platform and the servers see, and checks the rules on runs.
class RunLog {
public:
    struct Run {
        std::string task;
        uint32_t attempt { 0 };
        std::string server; ///< Id of the incarnation that ran it.
        Instant startedAt {};
        std::optional<Instant> endedAt;
        std::string how; ///< `gone` if the server crashed.
        std::optional<Instant> notedAt; ///< When the system's `lastSeen` reached the end.
        bool lapsedBeforeNoted { false }; ///< The server's lease lapsed between the end and `notedAt`.
    };

    explicit RunLog(const std::string& file);

    /// Writes a line with the time since the start.
    void line(const std::string& text);

    /// Returns the index of the new run.
    size_t started(const std::string& task, uint32_t attempt, const std::string& server);
    void ended(size_t run, const std::string& how);
    void noted(size_t run);
    void leaseLapsed(const std::string& server);

    const std::vector<Run>& runs() const { return m_runs; }

    /// Violations of the rule TWICE, one line each.
    std::vector<std::string> runTwice() const;

    Instant now() const { return m_clock.now(); }
    std::string time(Instant at) const;

private:
    std::string describe(const Run& run) const;

    BootClock m_clock;
    Instant m_start;
    std::ofstream m_file;
    std::vector<Run> m_runs;
};

} // namespace hemlocklead::review
