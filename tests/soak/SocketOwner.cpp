#include "soak/SocketOwner.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace hemlocklead::soak {

namespace {

    /// Parses the port of `ADDRESS:PORT`, both hexadecimal.
    uint16_t parsePort(const std::string& address)
    {
        const size_t separator = address.find(':');
        return separator == std::string::npos
            ? 0
            : static_cast<uint16_t>(std::strtoul(address.c_str() + separator + 1, nullptr, 16));
    }

    /// Inode of the connected socket as text; empty if there is none.
    std::string findInode(uint16_t port, uint16_t peerPort)
    {
        std::ifstream table("/proc/net/tcp");
        std::string line;
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string skipped;
            std::string inode;
            fields >> number >> local >> remote;
            if (parsePort(local) != port || parsePort(remote) != peerPort)
                continue;
            // State, queues, timer, retransmissions, user and time-out precede the inode.
            for (int i = 0; i < 6; ++i)
                fields >> skipped;
            fields >> inode;
            return inode;
        }
        return {};
    }

} // namespace

std::optional<size_t> findSocketOwner(uint16_t port, uint16_t peerPort, const std::vector<pid_t>& processes)
{
    const std::string inode = findInode(port, peerPort);
    if (inode.empty())
        return std::nullopt;
    const std::string target = "socket:[" + inode + "]";
    for (size_t i = 0; i < processes.size(); ++i) {
        // The process may end meanwhile; errors count as not found.
        std::error_code error;
        std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(processes[i]) + "/fd", error);
        for (; !error && descriptors != std::filesystem::directory_iterator(); descriptors.increment(error)) {
            std::error_code ignored;
            if (std::filesystem::read_symlink(descriptors->path(), ignored) == target)
                return i;
        }
    }
    return std::nullopt;
}

} // namespace hemlocklead::soak
