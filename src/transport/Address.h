#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

/// IPv4 address and port.
struct Address {
    std::string ip;
    uint16_t port { 0 };

    bool operator==(const Address&) const = default;

    /// Returns `IP:port`.
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Returns the address that a socket is bound to. For a socket bound to port 0 it has the port that the system chose.
Address boundAddress(int socket);

/// Parses `IP:port` with a numeric IPv4 address; host names are not resolved. Fails with `InvalidRequest`.
Result<Address> parseAddress(std::string_view text);

} // namespace hemlocklead
