#pragma once

#include "base/Clock.h"
#include "coordination/HostEjector.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

/// Chooses the host for a request of one service. Prefers hosts with free slots in the own data centre; among the
/// candidates it picks two at random and takes the one with the better score of load, average latency and failure rate.
class TargetChooser {
public:
    /// State of the service's targets on one host together, as its agent reports it.
    struct Report {
        std::string dataCentre;
        int64_t slots { 0 };
        int64_t busy { 0 }; ///< Slots in use and requests queued, by all entries.
        std::chrono::microseconds latency { 0 }; ///< 0 when the agent has no measurement.
    };

    /// Properties of a request that restrict the choice.
    struct Requirements {
        bool idempotent { false };
        std::set<std::string, std::less<>> tried; ///< Hosts to avoid while others are usable.
    };

    /// Whether the data centre is taken out of service.
    using IsOut = std::function<bool(std::string_view dataCentre)>;

    TargetChooser(std::string ownDataCentre, uint64_t seed);

    void update(const std::string& host, const Report& report, Instant now);
    void remove(std::string_view host);
    void setLeaving(std::string_view host);

    /// Host for the next request, or nullopt when no host is usable. May choose an ejected host as a probe.
    std::optional<std::string> choose(const Requirements& requirements, const IsOut& isOut, Instant now);

    void sent(std::string_view host);

    /// Records the end of a request on the host. `latency` is the next sample of the moving average; nullopt for
    /// failures, so that a host that fails quickly does not appear fast.
    void ended(std::string_view host, std::optional<std::chrono::microseconds> latency);

    /// Updates the slots in use and requests queued from a reply of the host.
    void noteBusy(std::string_view host, int64_t busy, Instant now);

    HostEjector& ejector() { return m_ejector; }
    const HostEjector& ejector() const { return m_ejector; }

    struct Target {
        Report report;
        Instant reportedAt;
        int64_t inFlight { 0 }; ///< Sent by this entry and not ended.
        double latencyUs { 0 }; ///< Moving average of the samples, at first the reported latency; 0 when unknown.
        bool leaving { false };
    };
    const std::map<std::string, Target, std::less<>>& targets() const { return m_targets; }

private:
    using HostIterator = std::map<std::string, Target, std::less<>>::const_iterator;

    std::optional<std::string> chooseProbe(const Requirements& requirements, const IsOut& isOut, Instant now);
    std::vector<HostIterator> usableHosts(const Requirements& requirements, const IsOut& isOut, bool allowTried) const;
    std::vector<HostIterator> preferOwnDataCentre(const std::vector<HostIterator>& candidates, Instant now) const;
    double score(HostIterator candidate, Instant now) const;

    std::string m_ownDataCentre;
    std::mt19937_64 m_random;
    HostEjector m_ejector;
    std::map<std::string, Target, std::less<>> m_targets;
};

} // namespace hemlocklead
