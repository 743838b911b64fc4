#pragma once

#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

struct bufferevent;
struct ev_token_bucket_cfg;
struct evconnlistener;
struct sockaddr;

namespace hemlocklead::soak {

/// Forwards TCP connections to one address on this machine and injects network faults into them.
class FaultProxy {
public:
    enum class Fault : uint8_t {
        None,
        Delay, ///< Bytes arrive 300 ms late, in both directions.
        BlockToTarget, ///< Bytes to the target are withheld; connections stay open.
        BlockToClient, ///< Bytes to the client are withheld; connections stay open.
        Blocked, ///< Bytes are withheld in both directions; connections stay open.
        Thin, ///< Each direction of a connection carries at most 8 KB a second.
        Refused, ///< Open connections are reset, and new ones are reset once they are accepted.
    };

    /// Returns the client that opened a connection from `clientPort` to `proxyPort`; empty if it is not known.
    using ClientLookup = std::function<std::optional<size_t>(uint16_t clientPort, uint16_t proxyPort)>;

    FaultProxy(EventLoop& loop, const Address& target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    Result<void> listen(const Address& address);

    /// Tells clients apart by `lookup`, which is called for each connection when it is accepted.
    void setClientLookup(ClientLookup lookup) { m_clientLookup = std::move(lookup); }

    /// Forwards withheld bytes in the directions that no fault blocks.
    void setFault(Fault fault);

    /// Blocks the connections of one client, also those that it opens later. `fault` is None or one that blocks.
    void setClientFault(size_t client, Fault fault);

    /// After a fault, a connection that one side closed meanwhile first passes on the bytes that were withheld, as TCP
    /// does once a network is connected again. Without this, they are lost.
    void setPassesOnClosed(bool passesOn) { m_passesOnClosed = passesOn; }

    /// Number of connections whose client was known.
    size_t knownClients() const { return m_knownClients; }

    /// Resets every open connection (TCP RST).
    void reset();

private:
    struct ConnectionPair {
        FaultProxy* proxy;
        bufferevent* client;
        bufferevent* target;
        std::optional<size_t> clientNumber {};
        bool isClosePending { false }; ///< One side closed during a fault; both are closed once it ends.
    };

    static void accepted(evconnlistener*, int socket, sockaddr* client, int, void* self);
    static void readable(bufferevent* from, void* pair);
    static void closed(bufferevent*, short events, void* pair);
    Fault clientFault(const ConnectionPair& pair) const;
    bool isBlocked(const ConnectionPair& pair, bool toTarget) const;
    bool isDisturbed(const ConnectionPair& pair) const;
    void applyFaults();
    static void written(bufferevent*, void* pair);
    void closeOnceWritten(ConnectionPair& pair);
    void forward(ConnectionPair& pair, bufferevent* from);
    void forwardDelayed();
    void closePair(ConnectionPair& pair, bool sendReset);
    void limitRate(const ConnectionPair& pair);

    EventLoop& m_loop;
    BootClock m_clock;
    Address m_target;
    evconnlistener* m_listener { nullptr };
    ev_token_bucket_cfg* m_thinRate;
    Timer m_timer;
    Fault m_fault { Fault::None };
    std::map<size_t, Fault> m_clientFaults;
    ClientLookup m_clientLookup;
    uint16_t m_port { 0 }; ///< Where the proxy listens.
    size_t m_knownClients { 0 };
    bool m_passesOnClosed { false };
    std::list<std::unique_ptr<ConnectionPair>> m_pairs;
    /// Readable sides of connections, by the time at which their bytes are forwarded.
    std::multimap<Instant, std::pair<ConnectionPair*, bufferevent*>> m_delayed;
};

} // namespace hemlocklead::soak
