#pragma once

#include "state/ControlState.h"

namespace hemlocklead {

/// The configuration as this agent knows it, from deltas in keepalive replies. Never goes back to an older offset.
class AgentControl {
public:
    const ControlState& state() const { return m_state; }
    void apply(const ControlDelta& delta) { m_state.apply(delta); }

private:
    ControlState m_state;
};

} // namespace hemlocklead
