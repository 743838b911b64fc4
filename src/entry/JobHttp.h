#pragma once

#include "entry/JobSubmission.h"
#include "entry/JobView.h"
#include "entry/ShardOwner.h"
#include "protocol/Http.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlocklead {

/// The HTTP interface under `/jobs`: checks, the shard that a request is for, forwarding, answers. Without sockets.
class JobHttp {
public:
    using Reply = std::function<void(HttpResponse)>;

    /// Where shards are owned.
    struct Routing {
        /// This entry's owner of the shard, or null.
        std::function<ShardOwner*(uint32_t shard)> local;

        /// Name of the live peer that owns the shard.
        std::function<std::optional<std::string>(uint32_t shard)> remote;
        std::function<void(const std::string& entry, Forward request, std::function<void(ForwardReply)>)> forward;

        /// Calls back once after a delay.
        std::function<void(Duration, std::function<void()>)> later;
    };

    /// Longest wait for the log before the outcome is reported as unknown.
    static constexpr Duration decisionTimeout { 5000 };

    /// `environment` outlives this object.
    JobHttp(const ShardEnvironment& environment, Routing routing);

    /// Answers a caller's request, forwarding it once where needed.
    void handle(const HttpRequest& request, Reply reply);

    /// Answers what a peer forwarded; never forwards.
    void handleForwarded(const Forward& request, std::function<void(ForwardReply)> reply);

private:
    struct Exchange {
        HttpRequest request;
        bool mayForward { false };
        Reply reply;
    };

    void dispatch(const Exchange& exchange);
    void submit(const Exchange& exchange);
    void accept(const Exchange& exchange, const JobSubmission& submission, ShardOwner& owner);
    void cancel(const Exchange& exchange, const std::string& id, ShardOwner& owner);
    void answerJob(const Exchange& exchange, const std::vector<std::string>& segments);
    void list(const Exchange& exchange);
    Json listLocal(const JobFilter& filter) const;

    /// The local owner of the shard, or null once the request has been forwarded or refused.
    ShardOwner* route(const Exchange& exchange, uint32_t shard, const std::string& path);
    Reply withDeadline(const Reply& reply, const std::string& job);

    const ShardEnvironment& m_environment;
    Routing m_routing;
    uint64_t m_nextForwardId { 1 };
};

} // namespace hemlocklead
