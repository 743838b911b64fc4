#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hemlocklead::soak {

/// Returns which of the processes holds the open TCP socket with the local port `port` that is connected to `peerPort`,
/// as an index; empty if none does. Reads /proc, since a connection on the loopback interface does not name its
/// process.
std::optional<size_t> findSocketOwner(uint16_t port, uint16_t peerPort, const std::vector<pid_t>& processes);

} // namespace hemlocklead::soak
