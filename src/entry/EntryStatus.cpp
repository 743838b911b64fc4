#include "entry/EntryStatus.h"

#include "protocol/MessageJson.h"

namespace hemlocklead {

namespace {

    Json agentStatus(const AgentView& agent, Instant now)
    {
        Json targets = Json::array();
        for (const TargetReport& target : agent.last.targets)
            targets.push_back(target);
        return { { "host", agent.identity.host }, { "data_centre", agent.identity.dataCentre },
            { "rack", agent.identity.rack }, { "heard_ms_ago", now - agent.heardAt }, { "home", agent.last.home },
            { "leaving", agent.leaving }, { "control_offset", agent.last.controlOffset },
            { "ledger_ready", agent.last.ledgerReady }, { "capacity", agent.last.capacity },
            { "free", agent.last.free }, { "targets", targets } };
    }

    Json peerStatus(const PeerView& peer, Instant now)
    {
        Json owned = Json::array();
        for (const ShardOwnership& shard : peer.last.owned)
            owned.push_back(shard);
        return { { "entry", peer.last.entry }, { "address", peer.last.address }, { "heard_ms_ago", now - peer.heardAt },
            { "serving", peer.last.serving }, { "leaving", peer.last.leaving },
            { "control_offset", peer.last.controlOffset }, { "owned", owned } };
    }

} // namespace

Json agentsStatus(const AgentHub& agents, Instant now)
{
    Json list = Json::array();
    for (const auto& [host, agent] : agents.agents())
        list.push_back(agentStatus(agent, now));
    return list;
}

Json peersStatus(const PeerHub& peers, Duration within, Instant now)
{
    Json list = Json::array();
    for (const PeerView& peer : peers.livePeers(within))
        list.push_back(peerStatus(peer, now));
    return list;
}

} // namespace hemlocklead
