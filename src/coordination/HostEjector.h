#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Ejects hosts on which a service's requests fail, by the failure rate over a sliding window of 10 s, and re-admits
/// them after successful probes. At most half of the hosts are ejected at the same time.
class HostEjector {
public:
    struct Settings {
        int64_t minSamples { 5 }; ///< A host with fewer results in the window is not ejected.
        double maxFailureRate { 0.5 }; ///< A host at or above this rate is ejected.
        Duration ejection { 5000 }; ///< Time until the first probe, and from a failed probe to the next.
        Duration probeInterval { 500 }; ///< Minimum time between two probes.
        int64_t probesNeeded { 3 }; ///< Successes in a row that re-admit the host.
    };

    HostEjector() = default;
    explicit HostEjector(const Settings& settings)
        : m_settings(settings)
    {
    }

    void addHost(const std::string& host);
    void removeHost(std::string_view host);

    /// Records the result of a request on the host.
    void record(std::string_view host, bool success, Instant now);

    bool isEjected(std::string_view host) const;

    /// Whether a request may be sent to an ejected host as a probe. A request that is not idempotent is used only when
    /// a probe has been due for the length of `Settings::ejection` without an idempotent request having been sent.
    bool isProbeDue(std::string_view host, Instant now, bool idempotent) const;
    void probeSent(std::string_view host, Instant now);

    /// Share of failed requests in the window, from 0 to 1; 0 without results.
    double failureRate(std::string_view host, Instant now) const;

    size_t ejectedCount() const;

private:
    static constexpr size_t bucketCount = 10;
    static constexpr Duration bucketLength { 1000 };

    struct Bucket {
        int64_t period { -1 }; ///< Index of the bucket's period, counted in `bucketLength` from the clock's epoch.
        int64_t succeeded { 0 };
        int64_t failed { 0 };
    };

    struct Host {
        std::array<Bucket, bucketCount> buckets;
        bool ejected { false };
        Instant probeFrom; ///< Earliest time of the next probe while ejected.
        int64_t probesSucceeded { 0 }; ///< In a row.
    };

    struct Sum {
        int64_t total { 0 };
        int64_t failed { 0 };
    };

    static Sum sum(const Host& host, Instant now);
    static void count(Host& host, bool success, Instant now);
    void recordProbe(Host& host, bool success, Instant now) const;
    void ejectIfFailing(Host& host, Instant now) const;

    Settings m_settings;
    std::map<std::string, Host, std::less<>> m_hosts;
};

} // namespace hemlocklead
