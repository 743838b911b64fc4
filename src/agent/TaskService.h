#pragma once

#include "agent/AgentControl.h"
#include "agent/EntryLinks.h"
#include "coordination/WorkerService.h"

#include <memory>

namespace hemlocklead {

/// Tasks on this host: reservation ledger, attempts and their leases, worker leases, checkpoints, throttling.
class TaskService final : public EntryHandler {
public:
    TaskService(EventLoop& loop, const Clock& clock, const AgentSettings& settings, const AgentControl& control,
        EntryLinks& links, WorkerService& worker, Counters& counters);
    ~TaskService() override;

    /// Rebuilds the ledger from the worker; nothing is granted before that has succeeded.
    void start();

    /// Average latency of a service's target here, in microseconds: input for interference learning.
    void noteLatency(const std::string& service, int64_t latencyUs);

    /// Checkpoints and stops all tasks and reports the ends; `done` once they are acknowledged or `timeout` has passed.
    void drain(Duration timeout, std::function<void()> done);

    void fillKeepalive(size_t entry, Keepalive& keepalive) override;
    void entryMessage(size_t entry, const Message& message) override;
    void entryGone(size_t entry) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
