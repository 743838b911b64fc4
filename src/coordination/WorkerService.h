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

/// A task as the worker reports it; usage lags behind.
struct WorkerTask {
    std::string id; ///< `JOB.INDEX.ATTEMPT`.
    WorkerTaskState state { WorkerTaskState::Running };
    Resources usage;
    int64_t progress { 0 };
    int64_t checkpointProgress { 0 };
    std::string checkpoint; ///< Token of the last checkpoint.
    std::string result; ///< Result, or the error of a failed task.
    Json labels = Json::object(); ///< As given at the start.
};

/// What to run on the worker.
struct WorkerTaskSpec {
    std::string id;
    std::string name;
    std::string payload;
    Resources resources;
    Duration lease { 0 };
    std::string checkpoint; ///< Token to resume from; empty for a first run.
    Json labels = Json::object(); ///< Kept by the worker; the agent rebuilds its ledger from them.
};

/// How a call to the worker ended.
enum class WorkerCall : uint8_t {
    Done,
    Rejected, ///< The worker answered that it did not do it.
    NotSent, ///< Proved: the worker never got it.
    Unknown, ///< No answer: it may have been done, or may be done later.
};

/// The platform's worker on this host. Callbacks run later, from the event loop, once per call.
class WorkerService {
public:
    using Done = std::function<void(WorkerCall)>;

    virtual ~WorkerService() = default;
    virtual void capacity(std::function<void(std::optional<Resources>)> done) = 0;
    virtual void list(std::function<void(std::optional<std::vector<WorkerTask>>)> done) = 0;
    virtual void start(const WorkerTaskSpec& spec, Done done) = 0;
    virtual void renew(const std::string& id, Duration lease, Done done) = 0;
    virtual void checkpoint(const std::string& id, Done done) = 0;
    virtual void throttle(const std::string& id, double factor, Done done) = 0;

    /// Stops and forgets the task; `Done` also when the worker does not know it.
    virtual void stop(const std::string& id, Done done) = 0;
};

} // namespace hemlocklead
