#pragma once

#include "base/Clock.h"
#include "entry/AgentHub.h"
#include "entry/PeerHub.h"

namespace hemlocklead {

/// Connected agents for `/status`: `[{host, data_centre, rack, heard_ms_ago, home, leaving, control_offset,
/// ledger_ready, capacity, free, targets}]`.
Json agentsStatus(const AgentHub& agents, Instant now);

/// Peers heard from within the last `within`: `[{entry, address, heard_ms_ago, serving, leaving, control_offset,
/// owned}]`.
Json peersStatus(const PeerHub& peers, Duration within, Instant now);

} // namespace hemlocklead
