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

/// Chooses the host for a request of one service: the own data centre first while it has free slots, then power of two
/// choices on requests in flight and average latency.
class TargetChooser {
public:
    /// The service's targets on one host, as its agent reports them.
    struct Report {
        std::string dataCentre;
        int64_t slots { 0 };
        int64_t busy { 0 }; ///< Slots in use and requests queued, by all entries.
        std::chrono::microseconds latency { 0 }; ///< 0 when the agent has measured none.
    };

    /// What a request asks of the choice.
    struct Need {
        bool idempotent { false };
        std::set<std::string, std::less<>> tried; ///< Hosts to avoid while there are others.
    };

    using IsOut = std::function<bool(std::string_view dataCentre)>;

    TargetChooser(std::string ownDataCentre, uint64_t seed);

    void update(const std::string& host, const Report& report, Instant now);
    void remove(std::string_view host);
    void setLeaving(std::string_view host);

    /// Host for the next request, or nullopt when no usable one exists.
    std::optional<std::string> choose(const Need& need, const IsOut& isOut, Instant now);

    void sent(std::string_view host);

    /// A request on the host ended. `latency` is the average's next sample; nullopt for failures, so that a host that
    /// fails fast does not look quick.
    void ended(std::string_view host, std::optional<std::chrono::microseconds> latency);

    /// Slots in use that a reply stated.
    void noteBusy(std::string_view host, int64_t busy, Instant now);

    HostEjector& ejector() { return m_ejector; }
    const HostEjector& ejector() const { return m_ejector; }

    struct Target {
        Report report;
        Instant reportedAt;
        int64_t inFlight { 0 }; ///< Sent by this entry and not ended.
        double latencyUs { 0 }; ///< Moving average measured here.
        bool leaving { false };
    };
    const std::map<std::string, Target, std::less<>>& targets() const { return m_targets; }

private:
    using Entry = std::map<std::string, Target, std::less<>>::const_iterator;

    std::optional<std::string> chooseProbe(const Need& need, const IsOut& isOut, Instant now);
    std::vector<Entry> usable(const Need& need, const IsOut& isOut, bool allowTried) const;
    std::vector<Entry> preferOwn(const std::vector<Entry>& entries, Instant now) const;
    double score(Entry entry, Instant now) const;

    std::string m_ownDataCentre;
    std::mt19937_64 m_random;
    HostEjector m_ejector;
    std::map<std::string, Target, std::less<>> m_targets;
};

} // namespace hemlocklead
