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

/// Where a host stands.
struct HostLocation {
    std::string dataCentre;
    std::string rack;
};

/// Hosts as this entry sees them: capacity, room, attempts held, learned interference. Shared by all shards of the
/// entry and rebuilt from the agents' messages.
class HostTable {
public:
    HostTable();

    void connected(const Hello& hello, Instant now);

    /// Keeps the host's capacity for a while, so that a short interruption makes no job unplaceable.
    void gone(const std::string& host, Instant now);

    /// Notes what a message says. False when it is of another incarnation than the agent's last Hello and must be
    /// ignored.
    bool note(const std::string& host, const Message& message, Instant now);

    /// Brings `usable` of all hosts up to date.
    void refresh(const ControlState& control, Instant now);

    std::span<const PlacementHost> hosts() const { return m_hosts; }
    size_t connectedCount() const;
    Resources totalCapacity() const { return m_totalCapacity; }

    /// Grows with each change that may give an unplaceable job a place.
    uint64_t version() const { return m_version; }

    bool isConnected(std::string_view host) const;

    /// Newest stamp of the connected agent.
    std::optional<Stamp> stampOf(std::string_view host) const;

    /// Newest stamp of the agent if it listed the attempt over its current connection, else nullopt.
    std::optional<Stamp> listedAt(std::string_view host, const AttemptKey& key) const;

    /// Nullopt for a host that never connected to this entry.
    std::optional<HostLocation> locationOf(std::string_view host) const;

    /// Counts a reservation that was asked for until `settle`, which the reply or its timeout calls.
    void reserve(const std::string& host, const AttemptKey& key, const Resources& resources);
    void settle(const std::string& host, const AttemptKey& key);

    /// Counts the room of an ended attempt as free; the next keepalive confirms it.
    void noteEnded(const std::string& host, const AttemptKey& key, const Resources& resources);

    /// Keeps the host out of placement until `until`, after a refusal that is not about room.
    void avoid(const std::string& host, Instant until);

    /// Predicted slowdown of each service by tasks of that catalogue name.
    std::map<std::string, double> interferenceOf(const std::string& task) const;

    /// Can-wait attempts on usable hosts, without urgent ones and those marked by `markEvicting`.
    std::vector<EvictionCandidate> evictable(Instant now) const;
    void markEvicting(const AttemptKey& key, Instant until);

    StartEjector& ejector() { return m_ejector; }

    /// Hosts with capacity and room, ejections.
    Json status(Instant now) const;

private:
    struct Held {
        Resources resources;
        bool evictable { false };
        int64_t sinceCheckpoint { 0 };
    };
    struct Record {
        uint64_t incarnation { 0 };
        bool connected { false };
        bool leaving { false };
        bool ledgerReady { false };
        Stamp stamp;
        Instant goneAt;
        Instant avoidedUntil;
        Resources reportedFree;
        std::map<AttemptKey, Resources> asked; ///< Reservations without a reply yet.
        std::map<AttemptKey, Held> held;
    };

    Record* find(std::string_view host);
    const Record* find(std::string_view host) const;
    size_t indexOf(std::string_view host) const { return m_index.find(host)->second; }
    bool noteStamp(Record& record, const Stamp& stamp) const;
    void noteKeepalive(const std::string& host, Record& record, const Keepalive& keepalive);
    void noteAttempts(Record& record, const Keepalive& keepalive) const;
    void noteInterference(const std::vector<InterferenceReport>& reports);
    void updateFree(const std::string& host);
    void dropForgotten(Instant now);
    void remove(size_t index);

    std::vector<PlacementHost> m_hosts;
    std::vector<Record> m_records; ///< Same order as `m_hosts`.
    std::map<std::string, size_t, std::less<>> m_index;
    std::map<std::pair<std::string, std::string>, double> m_interference; ///< By task name and service.
    std::map<AttemptKey, Instant> m_evicting;
    StartEjector m_ejector;
    Resources m_totalCapacity;
    uint64_t m_version { 0 };
};

} // namespace hemlocklead
