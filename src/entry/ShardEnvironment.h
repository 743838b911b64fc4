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

/// Dependencies of a shard owner. Contains no sockets or timers, so that tests can supply all of it.
struct ShardEnvironment {
    const EntrySettings& settings;
    const Clock& clock;
    const ControlView& control;
    LogService& log;
    HostTable& hosts;
    Counters& counters;

    /// Sends to the agent of a host. False if the agent is not connected; then the message was provably not sent.
    std::function<bool(const std::string& host, const Message& message)> send;

    /// Wall-clock time in Unix milliseconds, for timestamps and retention only.
    std::function<int64_t()> unixMs;

    /// Last known epoch of the current owner of a shard; 0 if unknown.
    std::function<uint64_t(uint32_t shard)> epochOf;

    /// The other entries that have been heard from so far.
    std::function<std::vector<LiveEntry>()> otherEntries;
};

} // namespace hemlocklead
