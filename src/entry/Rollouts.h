#pragma once

#include "base/Clock.h"
#include "entry/AgentHub.h"
#include "entry/EntrySettings.h"
#include "entry/PeerHub.h"

#include <map>
#include <optional>
#include <string>

namespace hemlocklead {

/// Progress of one control edit.
struct Rollout {
    uint64_t offset { 0 }; ///< Offset of the edit.
    Instant foldedAt; ///< When this entry folded it.
    std::optional<Instant> completedAt; ///< When all connected agents and live peers had reported it.
};

/// Counts the agents and peers at which an edit of the control stream is in force, by the offsets that they report. An
/// agent reports first to its home entry, so other entries also rely on the offset of home agents in that entry's
/// pings.
///
/// An agent that is not connected is not counted: without a fresh view it starts nothing (design section 7).
class Rollouts {
public:
    Rollouts(const Clock& clock, const AgentHub& agents, const PeerHub& peers, const EntrySettings& settings);

    /// Tracks an edit of `name` that was just folded, in place of an earlier edit of that name.
    void add(const std::string& name, uint64_t offset);

    /// Records the time for each edit that is in force everywhere now and was not at the last call.
    void update();

    /// `{offset, agents, agents_in_force, peers, peers_in_force, everywhere, folded_ms_ago, everywhere_ms_ago,
    /// took_ms}`. The times are null for an edit that this process has not folded itself; `took_ms` counts from the
    /// fold.
    Json describe(const std::string& name, uint64_t offset);

private:
    struct Coverage {
        int64_t agents { 0 };
        int64_t agentsInForce { 0 };
        int64_t peers { 0 };
        int64_t peersInForce { 0 };

        bool isEverywhere() const { return agents == agentsInForce && peers == peersInForce; }
    };

    Coverage coverage(uint64_t offset) const;

    /// Whether all configured peers are live and report that the edit is in force at their home agents.
    bool allPeersConfirm(uint64_t offset) const;

    const Clock& m_clock;
    const AgentHub& m_agents;
    const PeerHub& m_peers;
    const EntrySettings& m_settings;
    std::map<std::string, Rollout, std::less<>> m_rollouts;
};

} // namespace hemlocklead
