#include "transport/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>

namespace hemlocklead {

Address boundAddress(int socket)
{
    sockaddr_in native {};
    socklen_t length = sizeof native;
    getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length);
    char ip[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &native.sin_addr, ip, sizeof ip);
    return { ip, ntohs(native.sin_port) };
}

Result<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(ErrorKind::InvalidRequest, "no port in address '" + std::string(text) + "'");
    Address address { std::string(text.substr(0, colon)), 0 };
    in_addr ignored {};
    if (inet_pton(AF_INET, address.ip.c_str(), &ignored) != 1)
        return fail(ErrorKind::InvalidRequest, "no IP number in address '" + std::string(text) + "'");
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size() || address.port == 0)
        return fail(ErrorKind::InvalidRequest, "bad port in address '" + std::string(text) + "'");
    return address;
}

} // namespace hemlocklead
