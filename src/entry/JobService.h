#pragma once

#include "coordination/LogService.h"
#include "entry/AgentHub.h"
#include "entry/ControlView.h"
#include "entry/EntrySettings.h"
#include "entry/PeerHub.h"
#include "transport/HttpServer.h"

#include <memory>

namespace hemlocklead {

/// The job scheduler of an entry: owns shards, queues and places tasks, grants leases of attempts, and serves the HTTP
/// interface under `/jobs`.
class JobService final : public AgentHandler {
public:
    using Reply = std::function<void(HttpResponse)>;

    JobService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
        AgentHub& agents, PeerHub& peers, LogService& log, Counters& counters);
    ~JobService() override;

    /// Starts to claim unowned shards.
    void start();

    /// Handles a request whose path begins with `/jobs`. Forwards it if a peer owns the shard.
    void handle(const HttpRequest& request, Reply reply);

    /// Handles a request that a peer forwarded. Never forwards it again.
    void handleForwarded(const Forward& request, std::function<void(ForwardReply)> reply);

    /// Shards that this entry owns.
    std::vector<ShardOwnership> owned() const;

    /// Shards with their queues, unplaceable jobs and waiting standing watches, and hosts, for `/status`.
    Json status() const;

    /// Releases all shards. `done` runs once each release is recorded or provably not stored, or `timeout` has passed.
    void release(Duration timeout, std::function<void()> done);

    void agentConnected(const std::string& host) override;
    void agentGone(const std::string& host) override;
    void agentMessage(const std::string& host, const Message& message) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
    AgentHub& m_agents;
};

} // namespace hemlocklead
