#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

/// IP number and port.
struct Address {
    std::string ip;
    uint16_t port { 0 };

    bool operator==(const Address&) const = default;

    /// `IP:port`.
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Address that a listening socket is bound to: with the port that the system chose when port 0 was asked for.
Address boundAddress(int socket);

/// Parses `IP:port` (IPv4 number). Fails with `InvalidRequest`; names are not resolved.
Result<Address> parseAddress(std::string_view text);

} // namespace hemlocklead
