#pragma once

#include "coordination/WorkerService.h"
#include "transport/HttpClient.h"

namespace hemlocklead {

/// Client of the platform's worker over HTTP. Section 11 of the design describes the interface.
///
/// A 2xx response counts as done and a 4xx response as rejected, except that a 404 response to `stop` counts as done.
/// A 5xx response counts as unknown, because a worker may fail after it has performed the operation.
class WorkerHttpClient final : public WorkerService {
public:
    WorkerHttpClient(EventLoop& loop, const Address& address);

    void capacity(std::function<void(std::optional<Resources>)> done) override;
    void list(std::function<void(std::optional<std::vector<WorkerTask>>)> done) override;
    void start(const WorkerTaskSpec& spec, ResultCallback done) override;
    void renew(const std::string& id, Duration lease, ResultCallback done) override;
    void checkpoint(const std::string& id, ResultCallback done) override;
    void throttle(const std::string& id, double factor, ResultCallback done) override;
    void stop(const std::string& id, ResultCallback done) override;

private:
    void send(std::string method, std::string path, const Json& body, ResultCallback done);

    HttpClient m_client;
};

/// Convert resources to and from the worker's JSON format `{cpu_milli, memory_mib, accelerators}`. Missing fields are
/// 0. Parsing fails with `InvalidRequest` on a wrong type.
Json workerResourcesJson(const Resources& resources);
Result<Resources> parseWorkerResources(const Json& json);

} // namespace hemlocklead
