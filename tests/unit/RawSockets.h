#pragma once

#include "transport/Address.h"

#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace hemlocklead {

/// Blocking server on a raw socket of 127.0.0.1, with a free port. Serves one connection after the other in a thread.
class RawServer {
public:
    using Serve = std::function<void(int socket, int connection)>;

    /// `serve` gets each accepted socket with its number from 0; the socket is closed after it.
    explicit RawServer(Serve serve, int backlog = 16);

    /// Listens without accepting.
    explicit RawServer(int backlog);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    Address address() const { return m_address; }

private:
    void acceptAll(const Serve& serve) const;

    Address m_address;
    int m_socket;
    std::thread m_thread;
};

/// Address of a port on which nothing listens.
Address unusedAddress();

/// Connected blocking socket, or -1.
int rawConnect(const Address& address);

/// Reads one request or response with its Content-Length body, as far as it comes within a second.
std::string rawReadMessage(int socket);

/// Reads until the other side closes, at most a second.
std::string rawReadAll(int socket);
void rawWrite(int socket, std::string_view bytes);

/// Makes the close of the socket a reset.
void resetOnClose(int socket);

} // namespace hemlocklead
