#pragma once

#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <cstddef>
#include <list>
#include <map>
#include <memory>

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
    };

    FaultProxy(EventLoop& loop, const Address& target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    Result<void> listen(const Address& address);

    /// Forwards withheld bytes in the directions that `fault` does not block.
    void setFault(Fault fault);

    /// Resets every open connection (TCP RST).
    void reset();

private:
    struct ConnectionPair {
        FaultProxy* proxy;
        bufferevent* client;
        bufferevent* target;
        bool isClosePending { false }; ///< One side closed during a fault; both are closed once it ends.
    };

    static void accepted(evconnlistener*, int socket, sockaddr*, int, void* self);
    static void readable(bufferevent* from, void* pair);
    static void closed(bufferevent*, short events, void* pair);
    bool isBlocked(bool toTarget) const;
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
    std::list<std::unique_ptr<ConnectionPair>> m_pairs;
    /// Readable sides of connections, by the time at which their bytes are forwarded.
    std::multimap<Instant, std::pair<ConnectionPair*, bufferevent*>> m_delayed;
};

} // namespace hemlocklead::soak
