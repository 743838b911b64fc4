#pragma once

#include "state/ControlState.h"

namespace hemlocklead {

/// This agent's copy of the configuration, built from the deltas in keepalive replies. Its offset never decreases.
class AgentControl {
public:
    const ControlState& state() const { return m_state; }
    void apply(const ControlDelta& delta) { m_state.apply(delta); }

private:
    ControlState m_state;
};

} // namespace hemlocklead
