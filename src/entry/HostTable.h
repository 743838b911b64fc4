#pragma once

#include "coordination/Placement.h"
#include "coordination/StartEjector.h"
#include "protocol/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocklead {

/// Data centre and rack of a host.
struct HostLocation {
    std::string dataCentre;
    std::string rack;
};

/// State of the hosts as known to this entry: capacity, free resources, attempts, reported interference. Shared by all
/// shards of the entry and rebuilt from the agents' messages.
class HostTable {
public:
    HostTable();

    /// Adds the host, or updates it and discards the attempts and pending reservations of its previous connection.
    void handleConnected(const Hello& hello, Instant now);

    /// Makes the host unusable, but keeps its capacity for 10 min, so that a short interruption makes no job
    /// unplaceable.
    void handleDisconnected(const std::string& host, Instant now);

    /// Updates the host from a message of its agent. False if the message must be ignored: the host is not connected,
    /// or the message is from another incarnation than the agent's last Hello.
    bool handleMessage(const std::string& host, const Message& message, Instant now);

    /// Updates `PlacementHost::usable` of all hosts and the total capacity, and removes hosts that have been
    /// disconnected for more than 10 min.
    void refresh(const ControlState& control, Instant now);

    std::span<const PlacementHost> hosts() const { return m_hosts; }
    size_t connectedCount() const;
    Resources totalCapacity() const { return m_totalCapacity; }

    /// Incremented with each change that may make an unplaceable job placeable.
    uint64_t version() const { return m_version; }

    bool isConnected(std::string_view host) const;

    /// Newest stamp of the host's agent; nullopt if it is not connected or has sent none yet.
    std::optional<Stamp> stampOf(std::string_view host) const;

    /// Newest stamp of the agent if it has listed the attempt on its current connection, else nullopt.
    std::optional<Stamp> stampIfListed(std::string_view host, const AttemptKey& key) const;

    /// Nullopt for an unknown host: it never connected to this entry, or was removed by `refresh`.
    std::optional<HostLocation> locationOf(std::string_view host) const;

    /// Deducts a requested reservation from the host's free resources until `removePendingReservation` is called, on
    /// the reply or after its timeout.
    void addPendingReservation(const std::string& host, const AttemptKey& key, const Resources& resources);
    void removePendingReservation(const std::string& host, const AttemptKey& key);

    /// Counts the resources of an ended attempt as free until the agent next reports its free resources.
    void noteEnded(const std::string& host, const AttemptKey& key, const Resources& resources);

    /// Excludes the host from placement until `until`, after a refusal for another reason than a lack of resources.
    void avoid(const std::string& host, Instant until);

    /// Predicted slowdown of each service by tasks with the catalogue name `task`, as an exponential moving average
    /// of the reported scores.
    std::map<std::string, double> interferenceOf(const std::string& task) const;

    /// Attempts on usable hosts that may be evicted: neither urgent nor standing watches, and not currently marked by
    /// `markEvicting`.
    std::vector<EvictionCandidate> evictable(Instant now) const;

    /// Excludes the attempt from `evictable` until `until`.
    void markEvicting(const AttemptKey& key, Instant until);

    StartEjector& ejector() { return m_ejector; }

    /// All hosts as JSON: location, connection, capacity, free resources, number of attempts, ejection.
    Json status(Instant now) const;

private:
    struct Held {
        Resources resources;
        bool evictable { false };
        int64_t progressSinceCheckpoint { 0 };
    };
    struct Record {
        uint64_t incarnation { 0 };
        bool connected { false };
        bool leaving { false };
        bool ledgerReady { false };
        Stamp stamp;
        Instant disconnectedAt;
        Instant avoidedUntil;
        Resources reportedFree;
        std::map<AttemptKey, Resources> pendingReservations; ///< Requested, not yet answered.
        std::map<AttemptKey, Held> held; ///< Listed by the agent on its latest connection, not yet ended.
    };

    Record* find(std::string_view host);
    const Record* find(std::string_view host) const;
    size_t indexOf(std::string_view host) const { return m_index.find(host)->second; }
    bool noteStamp(Record& record, const Stamp& stamp) const;
    void noteKeepalive(const std::string& host, Record& record, const Keepalive& keepalive);
    void noteAttempts(Record& record, const Keepalive& keepalive) const;
    void noteInterference(const std::vector<InterferenceReport>& reports);
    void updateFree(const std::string& host);
    void removeExpired(Instant now);
    void remove(size_t index);

    std::vector<PlacementHost> m_hosts;
    std::vector<Record> m_records; ///< Same order as `m_hosts`.
    std::map<std::string, size_t, std::less<>> m_index;
    std::map<std::pair<std::string, std::string>, double> m_interference; ///< By task name and service.
    std::map<AttemptKey, Instant> m_evicting; ///< End of the time set by `markEvicting`.
    StartEjector m_ejector;
    Resources m_totalCapacity;
    uint64_t m_version { 0 };
};

} // namespace hemlocklead
