#pragma once

#include "coordination/LogService.h"
#include "entry/AgentHub.h"
#include "entry/ControlView.h"
#include "entry/EntrySettings.h"
#include "entry/PeerHub.h"
#include "transport/HttpServer.h"

#include <memory>

namespace hemlocklead {

/// Jobs: ownership of shards, the queue, placement, leases of attempts, and the HTTP interface under `/jobs`.
class JobService final : public AgentHandler {
public:
    using Reply = std::function<void(HttpResponse)>;

    JobService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
        AgentHub& agents, PeerHub& peers, LogService& log, Counters& counters);
    ~JobService() override;

    /// Starts to claim shards.
    void start();

    /// Answers a request whose path begins with `/jobs`, forwarding it to the shard's owner where needed.
    void handle(const HttpRequest& request, Reply reply);

    /// Answers a request that a peer forwarded; never forwards again.
    void handleForwarded(const Forward& request, std::function<void(ForwardReply)> reply);

    /// Shards that this entry owns.
    std::vector<ShardOwnership> owned() const;

    /// Shards, queues, unplaceable jobs and watches without a place, hosts, for `/status`.
    Json status() const;

    /// Releases the shards; `done` runs when the releases are in the log or `timeout` has passed.
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
