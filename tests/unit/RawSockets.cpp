#include "RawSockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace hemlocklead {

namespace {

    sockaddr_in loopbackAddress(uint16_t port)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(port);
        native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return native;
    }

    int bindLoopback(Address& address)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in native = loopbackAddress(0);
        if (bind(socket, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0)
            std::abort();
        socklen_t length = sizeof native;
        getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length);
        address = { "127.0.0.1", ntohs(native.sin_port) };
        return socket;
    }

    void setReadTimeout(int socket)
    {
        const timeval second { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof second);
    }

    bool readMore(int socket, std::string& bytes)
    {
        char buffer[16 * 1024];
        const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        bytes.append(buffer, static_cast<size_t>(count));
        return true;
    }

    size_t messageLength(const std::string& bytes)
    {
        const size_t headers = bytes.find("\r\n\r\n");
        if (headers == std::string::npos)
            return std::string::npos;
        const size_t field = bytes.find("Content-Length: ");
        const size_t body = field < headers ? std::strtoul(bytes.c_str() + field + 16, nullptr, 10) : 0;
        return headers + 4 + body;
    }

} // namespace

RawServer::RawServer(ConnectionHandler handler, int backlog)
    : m_socket(bindLoopback(m_address))
{
    listen(m_socket, backlog);
    m_thread = std::thread([this, handler = std::move(handler)] { acceptConnections(handler); });
}

RawServer::RawServer(int backlog)
    : m_socket(bindLoopback(m_address))
{
    listen(m_socket, backlog);
}

RawServer::~RawServer()
{
    shutdown(m_socket, SHUT_RDWR);
    if (m_thread.joinable())
        m_thread.join();
    close(m_socket);
}

void RawServer::acceptConnections(const ConnectionHandler& handler) const
{
    for (int connection = 0;; ++connection) {
        const int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        setReadTimeout(socket);
        handler(socket, connection);
        close(socket);
    }
}

Address unusedAddress()
{
    Address address;
    close(bindLoopback(address));
    return address;
}

int rawConnect(const Address& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in native = loopbackAddress(address.port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
        close(socket);
        return -1;
    }
    setReadTimeout(socket);
    return socket;
}

std::string rawReadMessage(int socket)
{
    std::string bytes;
    while (bytes.size() < messageLength(bytes)) {
        if (!readMore(socket, bytes))
            break;
    }
    return bytes;
}

std::string rawReadAll(int socket)
{
    std::string bytes;
    while (readMore(socket, bytes)) { }
    return bytes;
}

void rawWrite(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
}

void resetOnClose(int socket)
{
    const linger now { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace hemlocklead
