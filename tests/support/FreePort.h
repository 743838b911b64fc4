#pragma once

#include "transport/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>

namespace hemlocklead {

/// An address on 127.0.0.1 whose port the kernel chose as free. Nothing reserves it after the call.
inline Address freeAddress()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof native;
    const bool isBound = bind(socket, reinterpret_cast<const sockaddr*>(&native), length) == 0
        && getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length) == 0;
    assert(isBound);
    close(socket);
    return { "127.0.0.1", ntohs(native.sin_port) };
}

} // namespace hemlocklead
