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
        if (!rollout.everywhereAt && reach(rollout.offset).isEverywhere())
            rollout.everywhereAt = m_clock.now();
    }
}

Rollouts::Reach Rollouts::reach(uint64_t offset) const
{
    Reach reach;
    const bool vouched = peersVouch(offset);
    for (const auto& [host, agent] : m_agents.agents()) {
        ++reach.agents;
        if (agent.last.controlOffset > offset || (vouched && !agent.last.home))
            ++reach.agentsInForce;
    }
    for (const PeerView& peer : m_peers.livePeers(m_settings.ownerTimeout)) {
        ++reach.peers;
        if (peer.last.controlOffset > offset)
            ++reach.peersInForce;
    }
    return reach;
}

bool Rollouts::peersVouch(uint64_t offset) const
{
    const std::vector<PeerView> peers = m_peers.livePeers(m_settings.ownerTimeout);
    return !peers.empty() && peers.size() == m_settings.peers.size()
        && std::ranges::all_of(peers, [&](const PeerView& peer) { return peer.last.homeAgentsOffset > offset; });
}

Json Rollouts::describe(const std::string& name, uint64_t offset)
{
    update();
    const Reach now = reach(offset);
    Json description { { "offset", offset }, { "agents", now.agents }, { "agents_in_force", now.agentsInForce },
        { "peers", now.peers }, { "peers_in_force", now.peersInForce }, { "everywhere", now.isEverywhere() },
        { "folded_ms_ago", nullptr }, { "everywhere_ms_ago", nullptr }, { "took_ms", nullptr } };
    const auto found = m_rollouts.find(name);
    if (found == m_rollouts.end() || found->second.offset != offset)
        return description;
    const Rollout& rollout = found->second;
    description["folded_ms_ago"] = m_clock.now() - rollout.foldedAt;
    if (rollout.everywhereAt) {
        description["everywhere_ms_ago"] = m_clock.now() - *rollout.everywhereAt;
        description["took_ms"] = *rollout.everywhereAt - rollout.foldedAt;
    }
    return description;
}

} // namespace hemlocklead
