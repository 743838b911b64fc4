#pragma once

#include "dispatch/DisturbanceModel.h"

namespace hemlocklead::dispatch {

/// Processors that filling tasks use on a host, averaged as the worker's figures are.
class SmoothedUse {
public:
    /// `current` is in use from now on.
    void update(const CoresByImage& current, Instant now);

    const CoresByImage& cores() const { return m_cores; }

    /// Whether a filling task has left so lately that tails still show it.
    bool isSettling() const { return m_settling; }

private:
    CoresByImage m_cores;
    Instant m_updatedAt {};
    bool m_settling { false };
};

} // namespace hemlocklead::dispatch
