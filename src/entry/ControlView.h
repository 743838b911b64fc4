#pragma once

#include "base/Clock.h"
#include "state/ControlState.h"

namespace hemlocklead {

/// Read access to the configuration that this entry has folded.
class ControlView {
public:
    virtual ~ControlView() = default;

    virtual const ControlState& state() const = 0;

    /// Upper bound on the age of the state: time since this entry sent the latest poll whose answer confirmed that all
    /// records are folded here. One year before the first such answer.
    virtual Duration age() const = 0;

    /// Whether this entry may serve: it has caught up with the log or adopted a peer's state.
    virtual bool isServing() const = 0;
};

} // namespace hemlocklead
