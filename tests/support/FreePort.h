#pragma once

#include "transport/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cassert>

namespace hemlocklead {

/// Returns an address on 127.0.0.1 with a free port chosen by the kernel.
///
/// The socket stays bound, without listening, until this process exits. Otherwise the kernel could assign the port to
/// an outgoing connection before the program under test listens. Listeners set SO_REUSEADDR, so they can bind to it.
inline Address freeAddress()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof native;
    const bool isBound = bind(socket, reinterpret_cast<const sockaddr*>(&native), length) == 0
        && getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length) == 0;
    assert(isBound);
    return { "127.0.0.1", ntohs(native.sin_port) };
}

} // namespace hemlocklead
