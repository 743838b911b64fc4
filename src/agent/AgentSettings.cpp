#include "agent/AgentSettings.h"

#include "transport/SettingsReader.h"

#include <algorithm>
#include <array>

namespace hemlocklead {

namespace {

    using Settings = AgentSettings;
    using Field = SettingsField<Settings>;
    using Rule = SettingsRule<Settings>;

    constexpr bool required = true;

    /// Upper bound on the time from accepting a configuration change until it is in force everywhere.
    constexpr Duration configurationBound { 4000 };

    const std::array<Field, 18> fields { {
        { "host", &Settings::host, required },
        { "data_centre", &Settings::dataCentre, required },
        { "region", &Settings::region, required },
        { "rack", &Settings::rack, required },
        { "entries", &Settings::entries, required },
        { "http_address", &Settings::httpAddress, required },
        { "worker_address", &Settings::workerAddress, required },
        { "home_keepalive_ms", &Settings::homeKeepalive },
        { "keepalive_ms", &Settings::keepalive },
        { "start_freshness_ms", &Settings::startFreshness },
        { "worker_lease_ms", &Settings::workerLease },
        { "drift_margin_ms", &Settings::driftMargin },
        { "announcement_ttl_ms", &Settings::announcementTtl },
        { "reservation_ttl_ms", &Settings::reservationTtl },
        { "worker_poll_ms", &Settings::workerPoll },
        { "drain_ms", &Settings::drain },
        { "queue_per_target", &Settings::queuePerTarget, !required, { 0, 100'000 } },
        { "throttling", &Settings::throttling },
    } };

    const std::array<Rule, 7> rules { {
        { "entries", "at least one entry is required", [](const Settings& s) { return !s.entries.empty(); } },
        { "home_keepalive_ms", "home_keepalive_ms must be below 4000",
            [](const Settings& s) { return s.homeKeepalive < configurationBound; } },
        { "keepalive_ms", "keepalive_ms must be at least home_keepalive_ms",
            [](const Settings& s) { return s.keepalive >= s.homeKeepalive; } },
        { "start_freshness_ms", "start_freshness_ms must be below 4000",
            [](const Settings& s) { return s.startFreshness < configurationBound; } },
        { "drift_margin_ms", "drift_margin_ms must be below worker_lease_ms",
            [](const Settings& s) { return s.driftMargin < s.workerLease; } },
        { "worker_poll_ms", "2 x worker_poll_ms must be below worker_lease_ms",
            [](const Settings& s) { return 2 * s.workerPoll < s.workerLease; } },
        { "http_address", "http_address and worker_address must differ",
            [](const Settings& s) { return s.httpAddress != s.workerAddress; } },
    } };

} // namespace

Result<AgentSettings> parseAgentSettings(const std::string& file)
{
    return readSettings<AgentSettings>(file, "agent", fields, rules);
}

} // namespace hemlocklead
