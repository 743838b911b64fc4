#include "entry/Rollouts.h"

#include <algorithm>

namespace hemlocklead {

Rollouts::Rollouts(const Clock& clock, const AgentHub& agents, const PeerHub& peers, const EntrySettings& settings)
    : m_clock(clock)
    , m_agents(agents)
    , m_peers(peers)
    , m_settings(settings)
{
}

void Rollouts::add(const std::string& name, uint64_t offset)
{
    m_rollouts.insert_or_assign(name, Rollout { offset, m_clock.now(), std::nullopt });
}

void Rollouts::update()
{
    for (auto& [name, rollout] : m_rollouts) {
        if (!rollout.completedAt && coverage(rollout.offset).isEverywhere())
            rollout.completedAt = m_clock.now();
    }
}

Rollouts::Coverage Rollouts::coverage(uint64_t offset) const
{
    Coverage coverage;
    const bool confirmedByPeers = allPeersConfirm(offset);
    for (const auto& [host, agent] : m_agents.agents()) {
        ++coverage.agents;
        if (agent.last.controlOffset > offset || (confirmedByPeers && !agent.last.home))
            ++coverage.agentsInForce;
    }
    for (const PeerView& peer : m_peers.livePeers(m_settings.ownerTimeout)) {
        ++coverage.peers;
        if (peer.last.controlOffset > offset)
            ++coverage.peersInForce;
    }
    return coverage;
}

bool Rollouts::allPeersConfirm(uint64_t offset) const
{
    const std::vector<PeerView> peers = m_peers.livePeers(m_settings.ownerTimeout);
    return !peers.empty() && peers.size() == m_settings.peers.size()
        && std::ranges::all_of(peers, [&](const PeerView& peer) { return peer.last.homeAgentsOffset > offset; });
}

Json Rollouts::describe(const std::string& name, uint64_t offset)
{
    update();
    const Coverage current = coverage(offset);
    Json description { { "offset", offset }, { "agents", current.agents }, { "agents_in_force", current.agentsInForce },
        { "peers", current.peers }, { "peers_in_force", current.peersInForce },
        { "everywhere", current.isEverywhere() }, { "folded_ms_ago", nullptr }, { "everywhere_ms_ago", nullptr },
        { "took_ms", nullptr } };
    const auto found = m_rollouts.find(name);
    if (found == m_rollouts.end() || found->second.offset != offset)
        return description;
    const Rollout& rollout = found->second;
    description["folded_ms_ago"] = m_clock.now() - rollout.foldedAt;
    if (rollout.completedAt) {
        description["everywhere_ms_ago"] = m_clock.now() - *rollout.completedAt;
        description["took_ms"] = *rollout.completedAt - rollout.foldedAt;
    }
    return description;
}

} // namespace hemlocklead
