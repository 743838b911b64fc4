#pragma once

#include "agent/AgentControl.h"
#include "agent/EntryLinks.h"
#include "coordination/WorkerService.h"

#include <memory>

namespace hemlocklead {

/// Manages the tasks on this host: reservation ledger, attempts and their leases, worker leases, checkpoints,
/// throttling.
class TaskService final : public EntryHandler {
public:
    TaskService(EventLoop& loop, const Clock& clock, const AgentSettings& settings, const AgentControl& control,
        EntryLinks& links, WorkerService& worker, Counters& counters);
    ~TaskService() override;

    /// Starts to rebuild the ledger from the worker's tasks. No reservation is granted until that has succeeded.
    void start();

    /// Records the latency of a call to a service's target on this host, in microseconds, as input of the interference
    /// model.
    void noteLatency(const std::string& service, int64_t latencyUs);

    /// Checkpoints and stops all tasks and reports their ends. Calls `done` once the reports are acknowledged or
    /// `timeout` has passed.
    void drain(Duration timeout, std::function<void()> done);

    void fillKeepalive(size_t entry, Keepalive& keepalive) override;
    void entryMessage(size_t entry, const Message& message) override;
    void entryGone(size_t entry) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
