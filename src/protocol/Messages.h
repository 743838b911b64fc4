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

/// An agent's own clock reading, echoed by entries so that leases and freshness count from the agent's clock.
struct Stamp {
    uint64_t incarnation { 0 }; ///< Random per process start; a stamp of another incarnation is refused.
    int64_t timeMs { 0 }; ///< The agent's monotonic clock.

    bool operator==(const Stamp&) const = default;
};

/// One target as its agent sees it.
struct TargetReport {
    std::string service;
    std::string instance;
    int64_t slots { 0 }; ///< Requests that the target serves at once.
    int64_t busy { 0 }; ///< Slots in use.
    int64_t queued { 0 }; ///< Requests waiting at the agent.
    int64_t latencyUs { 0 }; ///< Moving average of the time at the target, in microseconds.

    bool operator==(const TargetReport&) const = default;
};

/// One attempt as its agent sees it.
struct AttemptReport {
    AttemptKey key;
    TaskSpec spec;
    int64_t progress { 0 }; ///< Work done, in units of the worker.
    int64_t checkpointProgress { 0 }; ///< Progress at the last checkpoint.

    bool operator==(const AttemptReport&) const = default;
};

/// Learned slowdown of a service by a task, for one host's pairs.
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

/// Agent to entry, at the interval that the agent's settings state for a home entry or another entry.
struct Keepalive {
    Stamp stamp;
    uint64_t controlOffset { 0 }; ///< Next control offset that the agent wants.
    bool home { false }; ///< Whether the receiver is the agent's home entry.
    bool ledgerReady { false }; ///< Whether the ledger has been rebuilt from the worker.
    bool settled {
        false
    }; ///< Whether the worker lease has passed since that rebuild: an attempt not listed has ended.
    Resources capacity;
    Resources free;
    std::vector<TargetReport> targets;
    std::vector<AttemptReport> attempts; ///< Attempts held; only those that changed since the last, unless `full`.
    bool full { false }; ///< `attempts` lists every attempt that the agent holds.
    std::vector<InterferenceReport> interference; ///< Scores that changed.
};

struct KeepaliveReply {
    Stamp echo;
    Duration viewAge { 0 }; ///< Age of the entry's control view.
    ControlDelta delta;
};

/// The agent is stopping: no new work.
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
    std::string refusal; ///< Error name when not granted.
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
    std::string refusal; ///< Error name when not started; then the attempt was provably not started.
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
    bool checkpoint { true }; ///< Take a checkpoint first.
};

struct AttemptEnded {
    uint32_t shard { 0 };
    AttemptKey key;
    EndReason reason { EndReason::Failed };
    std::string token; ///< Last checkpoint.
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
    std::string id; ///< Request id, unique per exchange.
    std::string service;
    std::string method;
    std::string path; ///< With query, from `/`.
    std::vector<HeaderField> headers;
    std::string body;
    Duration remaining { 0 }; ///< Time left until the caller's deadline.
    std::string traceparent;
};

enum class CallOutcome : uint8_t {
    Done,
    NotRun, ///< No byte reached the target.
    Unknown, ///< The target may have run it.
};

NLOHMANN_JSON_SERIALIZE_ENUM(CallOutcome,
    { { CallOutcome::Unknown, "unknown" }, { CallOutcome::Done, "done" }, { CallOutcome::NotRun, "not-run" } })

struct CallReply {
    std::string id;
    CallOutcome outcome { CallOutcome::Unknown };
    std::string error; ///< Error name unless done.
    int status { 0 };
    std::vector<HeaderField> headers;
    std::string body;
    uint64_t bodyBytes { 0 }; ///< Length of `body`.
    uint64_t bodyHash { 0 }; ///< XXH3-64 of `body`.
    Duration atTarget { 0 }; ///< Time the target took.
    int64_t busy { 0 }; ///< Slots in use at the agent, for routing.
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
    uint64_t homeAgentsOffset { 0 }; ///< Lowest control offset that the agents report whose home entry this is.
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
    uint64_t offset { 0 }; ///< Next control offset of `state`.
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
    StateReply, Forward, ForwardReply, HostReport, HostOrders>;

} // namespace hemlocklead
