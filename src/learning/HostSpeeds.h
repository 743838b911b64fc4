#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlocklead::learning {

/// Estimates the speeds of hosts from the durations of the runs that ended there.
///
/// A run counts by the ratio of its expected to its measured duration, relative to the same ratio of comparable runs on
/// other hosts: of the same step, or of the same image. A step that is slow everywhere and an expectation that is
/// wrong everywhere therefore make no host slow. A run without a comparable one on another host is no evidence.
class HostSpeeds {
public:
    struct Settings {
        double smoothedRuns { 10 }; ///< The estimate of a host covers about this many runs.
        Duration keepTime { 5000 }; ///< An estimate without new evidence is valid for this long, several batch tasks.
        /// An estimate without evidence for this long is 1. Until then it approaches 1 linearly, so that a host that
        /// has recovered gets work that shows it.
        Duration forgetTime { 20'000 };
        /// A host counts as slow below the first speed, and as recovered above the second one. Durations of one image
        /// vary by about a tenth after smoothing.
        double slowBelow { 0.8 };
        double recoveredAbove { 0.9 };
        uint32_t minSlowRuns { 4 }; ///< Slow runs before a host counts as slow.
        size_t minSlowJobs { 2 }; ///< Jobs that these must come from, so that one faulty job makes no host slow.
        /// Most hosts that count as slow at once, as a divisor of their number. More point to a wrong expectation.
        size_t maxSlowDivisor { 3 };
        size_t comparedRuns { 32 }; ///< Newest runs of a step or an image that others are compared with.
    };

    /// A run that took its whole task through without being paused or slowed down on purpose.
    struct EndedRun {
        std::string host;
        std::string job;
        uint32_t step { 0 };
        std::string image; ///< Empty if unknown.
        Duration expected { 0 };
        Duration measured { 0 };
    };

    /// A host that has begun or ceased to count as slow.
    struct Change {
        std::string host;
        bool isSlow { false };
        double speed { 1 };

        bool operator==(const Change&) const = default;
    };

    explicit HostSpeeds(Settings settings);

    /// Uses the run as evidence if a comparable one is known. Ignores a run without a positive duration.
    void noteRun(const EndedRun& run, Instant now);

    /// Decides which hosts count as slow, and returns those for which that has changed. `hosts` is the number of known
    /// hosts. Called at least every few hundred milliseconds.
    std::vector<Change> update(size_t hosts, Instant now);

    /// The hosts that count as slow with their speeds, below 1.
    std::map<std::string, double> slowHosts(Instant now) const;

    /// Whether runs on the host show how long tasks take elsewhere. Turns false before the host counts as slow.
    bool isNormal(const std::string& host, Instant now) const;

    void clear() { *this = HostSpeeds(m_settings); }

private:
    struct Record {
        double speed { 1 }; ///< As of the last evidence.
        double runs { 0 }; ///< Number of runs that `speed` stands for.
        uint32_t slowRuns { 0 }; ///< Since the host was last seen at normal speed.
        std::set<std::string> slowJobs; ///< Some of the jobs of the slow runs, at most `minSlowJobs`.
        Instant evidenceAt {};
        bool isSlow { false };
    };

    /// Ratio of expected to measured duration of a run that others are compared with.
    struct Sample {
        std::string host;
        double ratio { 1 };
        Instant at {};
    };
    using Samples = std::deque<Sample>;

    /// Share of the evidence that is still valid, 0 to 1.
    double validity(const Record& record, Instant now) const;
    double speedOf(const Record& record, Instant now) const;
    bool hasSlowJobs(const Record& record) const { return record.slowJobs.size() >= m_settings.minSlowJobs; }
    bool appearsSlow(const Record& record, Instant now) const;
    /// Median ratio on other hosts, if at least `minimum` runs there are known.
    std::optional<double> medianElsewhere(
        const Samples& samples, const std::string& host, size_t minimum, Instant now) const;
    std::optional<double> ratioElsewhere(const EndedRun& run, Instant now) const;
    void addSample(const EndedRun& run, double ratio, Instant now);
    void addEvidence(const EndedRun& run, double speed, Instant now);
    void removeOldSamples(Instant now);

    Settings m_settings;
    std::map<std::string, Record> m_hosts;
    std::map<std::pair<std::string, uint32_t>, Samples> m_stepSamples; ///< By job and step.
    std::map<std::string, Samples> m_imageSamples;
    Instant m_samplesCheckedAt {};
};

} // namespace hemlocklead::learning
