#pragma once

#include "base/Clock.h"
#include "entry/AgentHub.h"
#include "entry/EntrySettings.h"
#include "entry/PeerHub.h"

#include <map>
#include <optional>
#include <string>

namespace hemlocklead {

/// How far one control edit has come.
struct Rollout {
    uint64_t offset { 0 }; ///< Offset of the edit.
    Instant foldedAt; ///< When this entry folded it.
    std::optional<Instant> everywhereAt; ///< When every connected agent and live peer had reported it.
};

/// Tells at how many agents and peers an edit of the control stream is in force, from the offsets that they report. For
/// an agent whose home is another entry, that entry hears first and tells it in its pings.
///
/// An agent that is not connected is not counted: without a fresh view it starts nothing (design section 7).
class Rollouts {
public:
    Rollouts(const Clock& clock, const AgentHub& agents, const PeerHub& peers, const EntrySettings& settings);

    /// Notes an edit of `name` that was just folded; it replaces an earlier edit of the name.
    void add(const std::string& name, uint64_t offset);

    /// Looks which edits have arrived everywhere since the last call.
    void update();

    /// `{offset, agents, agents_in_force, peers, peers_in_force, everywhere, folded_ms_ago, everywhere_ms_ago,
    /// took_ms}`. The times are null for an edit that this process did not see folded; `took_ms` counts from the fold.
    Json describe(const std::string& name, uint64_t offset);

private:
    struct Reach {
        int64_t agents { 0 };
        int64_t agentsInForce { 0 };
        int64_t peers { 0 };
        int64_t peersInForce { 0 };

        bool isEverywhere() const { return agents == agentsInForce && peers == peersInForce; }
    };

    Reach reach(uint64_t offset) const;

    /// Whether all peers are heard and say that the edit is in force at their home agents.
    bool peersVouch(uint64_t offset) const;

    const Clock& m_clock;
    const AgentHub& m_agents;
    const PeerHub& m_peers;
    const EntrySettings& m_settings;
    std::map<std::string, Rollout, std::less<>> m_rollouts;
};

} // namespace hemlocklead
