#pragma once

#include "base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Keeps hosts out of placement on which everything fails.
class StartEjector {
public:
    struct Settings {
        int failures { 5 }; ///< Failed starts or runs in a row that eject a host.
        size_t jobs { 2 }; ///< Different jobs that these must come from, so that one bad job ejects no host.
        Duration ejection { 30'000 };
        int maxEjectedPercent { 30 }; ///< Of the known hosts.
    };

    explicit StartEjector(Settings settings);

    /// Notes a failed start or run of a task of `job`. `hosts` is the number of known hosts.
    void noteFailure(const std::string& host, const std::string& job, size_t hosts, Instant now);

    /// Notes a task that started and ended well; the host is used again without limit.
    void noteSuccess(const std::string& host);

    /// Notes that a task is placed on the host. After an ejection this is the probe, and the host gets nothing more
    /// until the probe has ended or another ejection time has passed.
    void notePlaced(const std::string& host, Instant now);

    /// Whether nothing may be placed on the host now.
    bool isEjected(const std::string& host, Instant now) const;

    /// Ejected hosts, in the order of their names.
    std::vector<std::string> ejected(Instant now) const;

    void forget(const std::string& host);

private:
    struct Record {
        int failuresInRow { 0 };
        std::set<std::string> jobs;
        bool onProbation { false }; ///< Ejected before, and no success since.
        Instant until; ///< Nothing is placed before this time while on probation.
    };

    bool mayEjectMore(size_t hosts, Instant now) const;

    Settings m_settings;
    std::map<std::string, Record> m_records;
};

} // namespace hemlocklead
