#include "entry/EntrySettings.h"

#include "transport/SettingsReader.h"

#include <algorithm>
#include <array>

namespace hemlocklead {

namespace {

    using Settings = EntrySettings;
    using Field = SettingsField<Settings>;
    using Rule = SettingsRule<Settings>;

    constexpr bool required = true;

    /// Time within which an accepted configuration change must be in force everywhere.
    constexpr Duration configurationBound { 4000 };

    const std::array<Field, 23> fields { {
        { "name", &Settings::name, required },
        { "data_centre", &Settings::dataCentre, required },
        { "region", &Settings::region, required },
        { "http_address", &Settings::httpAddress, required },
        { "peer_address", &Settings::peerAddress, required },
        { "log_address", &Settings::logAddress, required },
        { "peers", &Settings::peers },
        { "shards", &Settings::shards, !required, { 1, 1024 } },
        { "control_poll_ms", &Settings::controlPoll },
        { "start_freshness_ms", &Settings::startFreshness },
        { "shard_authority_ms", &Settings::shardAuthority },
        { "attempt_lease_ms", &Settings::attemptLease },
        { "drift_margin_ms", &Settings::driftMargin },
        { "worker_lease_ms", &Settings::workerLease },
        { "owner_timeout_ms", &Settings::ownerTimeout },
        { "group_commit_ms", &Settings::groupCommit },
        { "snapshot_interval_ms", &Settings::snapshotInterval },
        { "log_retention_ms", &Settings::logRetention },
        { "result_retention_ms", &Settings::resultRetention },
        { "drain_ms", &Settings::drain },
        { "keepalive_ms", &Settings::keepalive },
        { "retry_budget_percent", &Settings::retryBudgetPercent, !required, { 0, 100 } },
        { "hedging", &Settings::hedging },
    } };

    const std::array<Rule, 7> rules { {
        { "control_poll_ms", "control_poll_ms + start_freshness_ms must be below 4000",
            [](const Settings& s) { return s.controlPoll + s.startFreshness < configurationBound; } },
        { "keepalive_ms", "2 x keepalive_ms must be below attempt_lease_ms",
            [](const Settings& s) { return 2 * s.keepalive < s.attemptLease; } },
        { "worker_lease_ms", "worker_lease_ms + drift_margin_ms must be below attempt_lease_ms",
            [](const Settings& s) { return s.workerLease + s.driftMargin < s.attemptLease; } },
        { "snapshot_interval_ms", "4 x snapshot_interval_ms must be below log_retention_ms",
            [](const Settings& s) { return 4 * s.snapshotInterval < s.logRetention; } },
        { "log_retention_ms", "log_retention_ms must be at least 3600000",
            [](const Settings& s) { return s.logRetention >= std::chrono::hours { 1 }; } },
        { "peers", "peers must not list the entry's own peer_address",
            [](const Settings& s) { return std::ranges::find(s.peers, s.peerAddress) == s.peers.end(); } },
        { "http_address", "http_address, peer_address and log_address must differ",
            [](const Settings& s) {
                return s.httpAddress != s.peerAddress && s.httpAddress != s.logAddress && s.peerAddress != s.logAddress;
            } },
    } };

} // namespace

Result<EntrySettings> parseEntrySettings(const std::string& file)
{
    return readSettings<EntrySettings>(file, "entry", fields, rules);
}

} // namespace hemlocklead
