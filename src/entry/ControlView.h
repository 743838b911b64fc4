#pragma once

#include "base/Clock.h"
#include "state/ControlState.h"

namespace hemlocklead {

/// The configuration as this entry knows it.
class ControlView {
public:
    virtual ~ControlView() = default;

    virtual const ControlState& state() const = 0;

    /// Time since the poll was sent that the log last answered with the tail folded here; a year before the first.
    virtual Duration age() const = 0;

    /// Whether this entry may serve: caught up, or a peer's state adopted.
    virtual bool isServing() const = 0;
};

} // namespace hemlocklead
