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

/// The HTTP interface under `/jobs`: validates requests, finds the owner of the shard, forwards and responds.
///
/// Uses no sockets.
class JobHttp {
public:
    using Reply = std::function<void(HttpResponse)>;

    /// Access to the owners of the shards.
    struct Routing {
        /// The owner of the shard if it is this entry, or null.
        std::function<ShardOwner*(uint32_t shard)> local;

        /// Name of the live peer that owns the shard, or nullopt.
        std::function<std::optional<std::string>(uint32_t shard)> remote;
        std::function<void(const std::string& entry, Forward request, std::function<void(ForwardReply)>)> forward;

        /// Runs the callback once after the delay.
        std::function<void(Duration, std::function<void()>)> later;
    };

    /// Time to wait for the log before the outcome is reported as unknown.
    static constexpr Duration outcomeTimeout { 5000 };

    /// `environment` must outlive this object.
    JobHttp(const ShardEnvironment& environment, Routing routing);

    /// Handles a caller's request. Forwards it at most once, if a peer owns the shard.
    void handle(const HttpRequest& request, Reply reply);

    /// Handles a request that a peer forwarded. Never forwards it again.
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
    void handleJob(const Exchange& exchange, const std::vector<std::string>& segments);
    void list(const Exchange& exchange);
    Json listLocal(const JobFilter& filter) const;

    /// The local owner of the shard. If there is none, forwards or refuses the request and returns null.
    ShardOwner* route(const Exchange& exchange, uint32_t shard, const std::string& path);

    /// Wraps `reply`: without a response after `outcomeTimeout`, replies that the outcome is unknown and drops a later
    /// response.
    Reply withDeadline(const Reply& reply, const std::string& job);

    const ShardEnvironment& m_environment;
    Routing m_routing;
    uint64_t m_nextForwardId { 1 };
};

} // namespace hemlocklead
