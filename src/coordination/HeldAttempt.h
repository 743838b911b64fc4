#pragma once

#include "base/Clock.h"
#include "base/ErrorKind.h"
#include "state/Attempt.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hemlocklead {

enum class AttemptStage : uint8_t {
    Starting, ///< The worker was asked to start it; it counts as maybe running.
    Running,
    Stopping, ///< Being checkpointed and stopped; its leases are not renewed any more.
    Ended, ///< Proved not to run.
};

/// Steps of stopping a task on the worker.
enum class StopStep : uint8_t {
    Checkpoint, ///< Ask for a last checkpoint.
    ReadToken, ///< Wait for a list that shows its token.
    Delete, ///< Stop the task until the worker confirms.
};

/// What the agent has asked of the worker for one attempt.
struct WorkerSide {
    Instant startedAt; ///< Time of the start call's answer; lists read before do not show the task.
    std::optional<Instant> unansweredAt; ///< The start call got no answer at that time.
    Instant leaseUntil; ///< Earliest end of the worker lease.
    Instant nextRenew; ///< Earliest time of the next renewal call.
    Instant nextCheckpoint;
    bool listed { false }; ///< The worker's last list shows the task.
    bool starting { false }; ///< A start call is under way.
    bool renewing { false };
    bool checkpointing { false };
    bool deleting { false };
    std::optional<StopStep> stop; ///< Set in stage Stopping.
    Instant stopStepAt; ///< Time at which `stop` was entered.
    std::optional<EndReason> stopWanted; ///< A stop that arrived in stage Starting.
    double throttle { 1 }; ///< Share of its speed.
};

/// One attempt on this host.
struct HeldAttempt {
    AttemptKey key;
    uint32_t shard { 0 };
    std::optional<size_t> owner; ///< Entry that sent its last lease, while it is connected.
    TaskSpec spec;
    AttemptStage stage { AttemptStage::Starting };
    std::optional<Instant> leaseEnd; ///< Empty for a task found on the worker, until an owner renews it.
    Duration lease { 0 }; ///< Length of the lease last received.
    std::string token; ///< Last checkpoint.
    int64_t progress { 0 };
    int64_t checkpointProgress { 0 };

    EndReason endReason { EndReason::Lost }; ///< Of a stop under way, or of the end.
    std::string result;
    std::optional<ErrorKind> refusal; ///< Set when it was refused: provably never started.
    Instant endedAt;
    bool acknowledged { false };

    WorkerSide worker;
};

} // namespace hemlocklead
