#pragma once

#include "base/Clock.h"
#include "state/Resources.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

enum class WorkerTaskState : uint8_t {
    Running,
    Finished,
    Failed,
    Expired, ///< The worker lease ran out.
    Stopped,
};

NLOHMANN_JSON_SERIALIZE_ENUM(WorkerTaskState,
    { { WorkerTaskState::Running, "running" }, { WorkerTaskState::Finished, "finished" },
        { WorkerTaskState::Failed, "failed" }, { WorkerTaskState::Expired, "expired" },
        { WorkerTaskState::Stopped, "stopped" } })

/// A task as the worker reports it. The usage is a past measurement and may be out of date.
struct WorkerTask {
    std::string id; ///< `JOB.INDEX.ATTEMPT`.
    WorkerTaskState state { WorkerTaskState::Running };
    Resources usage;
    int64_t progress { 0 };
    int64_t checkpointProgress { 0 };
    std::string checkpoint; ///< Token of the last checkpoint.
    std::string result; ///< Result, or the error of a failed task.
    Json labels = Json::object(); ///< As passed in the start call.
};

/// A task to start on the worker.
struct WorkerTaskSpec {
    std::string id;
    std::string name;
    std::string payload;
    Resources resources;
    Duration lease { 0 };
    std::string checkpoint; ///< Token to resume from; empty for a first run.
    Json labels = Json::object(); ///< Stored by the worker; a restarted agent rebuilds its ledger from them.
};

/// Outcome of a call to the worker.
enum class WorkerCallResult : uint8_t {
    Done,
    Rejected, ///< The worker answered that it did not carry out the call.
    NotSent, ///< The worker provably never received the call.
    Unknown, ///< No answer: the worker may have carried out the call, or may still do so.
};

/// Client interface of the platform's worker on this host. Each callback runs exactly once, asynchronously, on the
/// event loop.
class WorkerService {
public:
    using ResultCallback = std::function<void(WorkerCallResult)>;

    virtual ~WorkerService() = default;
    virtual void capacity(std::function<void(std::optional<Resources>)> done) = 0;
    virtual void list(std::function<void(std::optional<std::vector<WorkerTask>>)> done) = 0;
    virtual void start(const WorkerTaskSpec& spec, ResultCallback done) = 0;
    virtual void renew(const std::string& id, Duration lease, ResultCallback done) = 0;
    virtual void checkpoint(const std::string& id, ResultCallback done) = 0;
    virtual void throttle(const std::string& id, double factor, ResultCallback done) = 0;

    /// Stops and deletes the task. The result is `Done` also when the worker does not know the task.
    virtual void stop(const std::string& id, ResultCallback done) = 0;
};

} // namespace hemlocklead
