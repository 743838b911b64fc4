#pragma once

#include "base/Counters.h"
#include "coordination/LogService.h"
#include "coordination/ShardAuthority.h"
#include "entry/ControlView.h"
#include "entry/EntrySettings.h"
#include "entry/HostTable.h"

#include <functional>
#include <string>
#include <vector>

namespace hemlocklead {

/// What the owner of a shard uses of its process. Holds no socket and no timer, so that tests can supply all of it.
struct ShardEnvironment {
    const EntrySettings& settings;
    const Clock& clock;
    const ControlView& control;
    LogService& log;
    HostTable& hosts;
    Counters& counters;

    /// Sends to the agent of a host; false when it is not connected (then provably not sent).
    std::function<bool(const std::string& host, const Message& message)> send;

    /// Wall-clock time in milliseconds, for people and for retention.
    std::function<int64_t()> unixMs;

    /// Epoch of the current owner of a shard as last heard, or 0.
    std::function<uint64_t(uint32_t shard)> epochOf;

    /// The other entries heard so far.
    std::function<std::vector<LiveEntry>()> otherEntries;
};

} // namespace hemlocklead
