#pragma once

#include "dispatch/InterferenceModel.h"

namespace hemlocklead::dispatch {

/// Processor cores that best-effort tasks use on a host, averaged over the same time as the worker's measurements.
class SmoothedUsage {
public:
    /// Sets the usage that applies from `now` on.
    void update(const CoresByImage& current, Instant now);

    const CoresByImage& cores() const { return m_cores; }

    /// Whether a best-effort task has ended so recently that tail latencies still show its interference.
    bool isSettling() const { return m_settling; }

private:
    CoresByImage m_cores;
    Instant m_updatedAt {};
    bool m_settling { false };
};

} // namespace hemlocklead::dispatch
