#pragma once

#include "transport/Address.h"

#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace hemlocklead {

/// Server with blocking sockets on a free port of 127.0.0.1. Handles one connection at a time in its own thread.
class RawServer {
public:
    using ConnectionHandler = std::function<void(int socket, int connection)>;

    /// Calls `handler` with each accepted socket and the connection number, counted from 0, then closes the socket.
    explicit RawServer(ConnectionHandler handler, int backlog = 16);

    /// Listens without accepting connections.
    explicit RawServer(int backlog);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    Address address() const { return m_address; }

private:
    void acceptConnections(const ConnectionHandler& handler) const;

    Address m_address;
    int m_socket;
    std::thread m_thread;
};

/// Returns an address of 127.0.0.1 with a port on which nothing listens.
Address unusedAddress();

/// Returns a connected blocking socket, or -1 on failure.
int rawConnect(const Address& address);

/// Reads one request or response with its Content-Length body. Stops early if no data arrives for a second.
std::string rawReadMessage(int socket);

/// Reads until the peer closes the connection or no data arrives for a second.
std::string rawReadAll(int socket);
void rawWrite(int socket, std::string_view bytes);

/// Makes closing the socket send a TCP reset.
void resetOnClose(int socket);

} // namespace hemlocklead
