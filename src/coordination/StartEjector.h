#pragma once

#include "base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// Excludes from placement the hosts on which all recent starts and runs of tasks failed.
class StartEjector {
public:
    struct Settings {
        int failures { 5 }; ///< Failed starts or runs in a row that eject a host.
        size_t jobs { 2 }; ///< Distinct jobs that these must come from, so that one faulty job ejects no host.
        Duration ejection { 30'000 };
        int maxEjectedPercent { 30 }; ///< Limit of ejected hosts among the known ones.
    };

    explicit StartEjector(Settings settings);

    /// Records a failed start or run of a task of `job`. `hosts` is the number of known hosts.
    void noteFailure(const std::string& host, const std::string& job, size_t hosts, Instant now);

    /// Records a task that started and ended successfully, which clears the failures and the probation of the host.
    void noteSuccess(const std::string& host);

    /// Records that a task that was first seen running at `seenAt` is at work. Counts as a success if the host has
    /// failed no task since then: a task that runs until its job is cancelled never ends successfully.
    void noteAtWork(const std::string& host, Instant seenAt);

    /// Records that a task is placed on the host. After an ejection this task is the probe: no further task is placed
    /// on the host until the probe has ended or another ejection time has passed.
    void notePlaced(const std::string& host, Instant now);

    /// Whether no task may be placed on the host now.
    bool isEjected(const std::string& host, Instant now) const;

    /// Ejected hosts, sorted by name.
    std::vector<std::string> ejected(Instant now) const;

    /// Hosts that are ejected or whose probe has not succeeded yet, with the time until the next task may be placed.
    std::map<std::string, Duration> ejections(Instant now) const;

    /// Takes over such a host from another ejector, within the limit of ejected hosts. `hosts` is the number of known
    /// hosts.
    void adopt(const std::string& host, Duration remaining, size_t hosts, Instant now);

    void forget(const std::string& host);

private:
    struct Record {
        int failuresInRow { 0 };
        std::set<std::string> jobs;
        Instant lastFailureAt; ///< For an adopted ejection, when it was adopted.
        bool onProbation { false }; ///< Ejected, with no successful task since.
        Instant until; ///< While on probation, no task is placed before this time.
    };

    bool mayEjectMore(size_t hosts, Instant now) const;

    Settings m_settings;
    std::map<std::string, Record> m_records;
};

} // namespace hemlocklead
