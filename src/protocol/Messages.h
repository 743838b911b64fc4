#pragma once

#include "base/Clock.h"
#include "protocol/DispatchMessages.h"
#include "state/Attempt.h"
#include "state/ControlState.h"
#include "state/ShardState.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hemlocklead {

/// Reading of an agent's clock. Entries echo it, so that the agent measures leases and message age on its own clock.
struct Stamp {
    uint64_t incarnation { 0 }; ///< Random per process start; a stamp with another incarnation is rejected.
    int64_t timeMs { 0 }; ///< Monotonic clock of the agent, in milliseconds.

    bool operator==(const Stamp&) const = default;
};

/// State of one target as reported by its agent.
struct TargetReport {
    std::string service;
    std::string instance;
    int64_t slots { 0 }; ///< Maximum number of requests that the target serves concurrently.
    int64_t busy { 0 }; ///< Slots in use.
    int64_t queued { 0 }; ///< Requests queued at the agent.
    int64_t latencyUs { 0 }; ///< Moving average of the response time of the target, in microseconds.

    bool operator==(const TargetReport&) const = default;
};

/// State of one attempt as reported by its agent.
struct AttemptReport {
    AttemptKey key;
    TaskSpec spec;
    int64_t progress { 0 }; ///< Completed work, in units that the worker defines.
    int64_t checkpointProgress { 0 }; ///< Progress at the last checkpoint.

    bool operator==(const AttemptReport&) const = default;
};

/// Learned slowdown of a service by a task on the same host.
struct InterferenceReport {
    std::string service;
    std::string task; ///< Catalogue name of the task.
    double score { 0 }; ///< Relative latency increase; 0 means none.

    bool operator==(const InterferenceReport&) const = default;
};

struct Hello {
    std::string host;
    std::string dataCentre;
    std::string rack;
    uint64_t incarnation { 0 };
    uint32_t protocolVersion { 1 };
};

/// Sent from an agent to an entry at the interval set for home entries or for other entries in the agent's settings.
struct Keepalive {
    Stamp stamp;
    uint64_t controlOffset { 0 }; ///< Next control offset that the agent needs.
    bool home { false }; ///< Whether the receiver is the agent's home entry.
    bool ledgerReady { false }; ///< Whether the ledger has been rebuilt from the worker.
    /// Whether the duration of a worker lease has passed since the ledger was rebuilt; then an attempt that is not
    /// listed has ended.
    bool settled { false };
    Resources capacity;
    Resources free;
    std::vector<TargetReport> targets;
    std::vector<AttemptReport> attempts; ///< Attempts changed since the last keepalive, or all if `full`.
    bool full { false }; ///< Whether `attempts` lists every attempt that the agent holds.
    std::vector<InterferenceReport> interference; ///< Scores changed since the last keepalive.
};

struct KeepaliveReply {
    Stamp echo;
    Duration viewAge { 0 }; ///< Age of the control state that the entry holds.
    ControlDelta delta;
};

/// The agent is shutting down and accepts no new work.
struct Leaving {
    std::string host;
};

struct Reserve {
    uint32_t shard { 0 };
    AttemptKey key;
    Resources resources;
};

struct ReserveReply {
    uint32_t shard { 0 };
    AttemptKey key;
    bool granted { false };
    std::string refusal; ///< Error name if not granted.
    Stamp stamp;
    Resources free;
};

struct Start {
    uint32_t shard { 0 };
    uint64_t epoch { 0 };
    AttemptKey key;
    TaskSpec spec;
    std::string checkpoint;
    Stamp echo;
    Duration viewAge { 0 };
    Duration lease { 0 };
    std::string traceparent;
};

struct StartReply {
    uint32_t shard { 0 };
    AttemptKey key;
    bool started { false };
    std::string refusal; ///< Error name if not started; guarantees that the attempt was not started.
    Stamp stamp;
};

struct Renew {
    uint32_t shard { 0 };
    uint64_t epoch { 0 };
    std::vector<AttemptKey> keys;
    Stamp echo;
    Duration lease { 0 };
};

struct Stop {
    uint32_t shard { 0 };
    uint64_t epoch { 0 };
    AttemptKey key;
    EndReason reason { EndReason::Evicted };
    bool checkpoint { true }; ///< Whether to take a checkpoint before stopping.
};

struct AttemptEnded {
    uint32_t shard { 0 };
    AttemptKey key;
    EndReason reason { EndReason::Failed };
    std::string token; ///< Token of the last checkpoint.
    std::string result;
};

struct AttemptEndedAck {
    AttemptKey key;
};

struct Checkpointed {
    uint32_t shard { 0 };
    AttemptKey key;
    std::string token;
    int64_t progress { 0 };
};

struct HeaderField {
    std::string name;
    std::string value;

    bool operator==(const HeaderField&) const = default;
};

struct Call {
    std::string id; ///< Request id, unique for each exchange.
    std::string service;
    std::string method;
    std::string path; ///< Path and query, starting with `/`.
    std::vector<HeaderField> headers;
    std::string body;
    Duration remaining { 0 }; ///< Time remaining until the caller's deadline.
    std::string traceparent;
};

enum class CallOutcome : uint8_t {
    Done,
    NotRun, ///< No byte of the request reached the target.
    Unknown, ///< The target may have run the request.
};

NLOHMANN_JSON_SERIALIZE_ENUM(CallOutcome,
    { { CallOutcome::Unknown, "unknown" }, { CallOutcome::Done, "done" }, { CallOutcome::NotRun, "not-run" } })

struct CallReply {
    std::string id;
    CallOutcome outcome { CallOutcome::Unknown };
    std::string error; ///< Error name unless the outcome is `Done`.
    int status { 0 };
    std::vector<HeaderField> headers;
    std::string body;
    uint64_t bodyBytes { 0 }; ///< Length of `body` in bytes.
    uint64_t bodyHash { 0 }; ///< XXH3 64-bit hash of `body`.
    Duration atTarget { 0 }; ///< Time that the target took to respond.
    int64_t busy { 0 }; ///< Slots in use at the agent; used for routing.
};

struct CallCancel {
    std::string id;
};

struct ShardOwnership {
    uint32_t shard { 0 };
    uint64_t epoch { 0 };
};

struct PeerPing {
    std::string entry;
    std::string address;
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    bool serving { false };
    bool leaving { false };
    uint64_t controlOffset { 0 };
    uint64_t homeAgentsOffset { 0 }; ///< Lowest control offset reported by the agents whose home entry this is.
    std::vector<ShardOwnership> owned;
};

struct PeerPong {
    std::string entry;
    uint64_t sequence { 0 };
};

struct StateRequest {
    uint64_t sequence { 0 };
};

struct StateReply {
    uint64_t sequence { 0 };
    bool serving { false };
    uint64_t offset { 0 }; ///< Control offset that follows the last one applied to `state`.
    std::string state; ///< ControlState as JSON text.
};

struct Forward {
    uint64_t id { 0 };
    std::string method;
    std::string path;
    std::string body;
    std::string traceparent;
};

struct ForwardReply {
    uint64_t id { 0 };
    int status { 0 };
    std::string body;
    std::string outcome; ///< Value of the header `Hemlocklead-Outcome`.
};

using Message = std::variant<Hello, Keepalive, KeepaliveReply, Leaving, Reserve, ReserveReply, Start, StartReply, Renew,
    Stop, AttemptEnded, AttemptEndedAck, Checkpointed, Call, CallReply, CallCancel, PeerPing, PeerPong, StateRequest,
    StateReply, Forward, ForwardReply, HostReport, HostOrders, PackedHostReport>;

} // namespace hemlocklead
