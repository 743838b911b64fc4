#pragma once

#include "base/Clock.h"
#include "base/ErrorKind.h"
#include "state/Attempt.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hemlocklead {

enum class AttemptStage : uint8_t {
    Starting, ///< A start call was sent to the worker; the task may be running.
    Running,
    Stopping, ///< Being checkpointed and stopped; its leases are no longer renewed.
    Ended, ///< Provably not running.
};

/// Steps of stopping a task on the worker.
enum class StopStep : uint8_t {
    Checkpoint, ///< Request a last checkpoint.
    ReadToken, ///< Wait for a task list that shows its token.
    Delete, ///< Repeat the stop call until the worker confirms it.
};

/// State of the agent's calls to the worker for one attempt.
struct WorkerAttemptState {
    Instant startedAt; ///< Time at which the start was confirmed; older task lists need not contain the task.
    std::optional<Instant> unansweredAt; ///< Time at which the start call ended without an answer.
    Instant leaseUntil; ///< Earliest time at which the worker lease can end.
    Instant nextRenew; ///< Earliest time of the next renewal call.
    Instant nextCheckpoint;
    bool listed { false }; ///< The worker's last task list contains the task.
    bool starting { false }; ///< A start call is in progress.
    bool renewing { false }; ///< A renewal call is in progress.
    bool checkpointing { false };
    bool deleting { false }; ///< A stop call is in progress.
    std::optional<StopStep> stop; ///< Set in stage Stopping.
    Instant stopStepAt; ///< Time at which `stop` was entered.
    std::optional<EndReason> pendingStop; ///< A stop that arrived in stage Starting.
    double throttle { 1 }; ///< Share of the full speed that the task runs at.
};

/// An attempt that this host runs, or has run or refused.
struct HeldAttempt {
    AttemptKey key;
    uint32_t shard { 0 };
    std::optional<size_t> owner; ///< Entry that last granted a lease; empty once its connection has closed.
    TaskSpec spec;
    AttemptStage stage { AttemptStage::Starting };
    std::optional<Instant> leaseEnd; ///< End of the attempt lease; empty for an adopted task until an owner renews it.
    Duration lease { 0 }; ///< Length of the lease last received.
    std::string token; ///< Token of the last checkpoint.
    int64_t progress { 0 };
    int64_t checkpointProgress { 0 };

    EndReason endReason { EndReason::Lost }; ///< Valid in the stages Stopping and Ended.
    std::string result;
    std::optional<ErrorKind> refusal; ///< Set when the start was refused: the attempt provably never ran.
    Instant endedAt;
    bool acknowledged { false };

    WorkerAttemptState worker;
};

} // namespace hemlocklead
