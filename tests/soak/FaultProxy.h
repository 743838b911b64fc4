#pragma once

#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <cstddef>
#include <list>
#include <map>
#include <memory>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace hemlocklead::soak {

/// Passes TCP connections on to one address on this machine, and harms them as told.
class FaultProxy {
public:
    enum class Fault : uint8_t {
        None,
        Delay, ///< Bytes come 300 ms late, either way.
        CutToTarget, ///< Bytes to the target are held back; open connections stay open.
        CutToClient,
        Silent, ///< Bytes are held back either way.
    };

    FaultProxy(EventLoop& loop, const Address& target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    Result<void> listen(const Address& address);

    /// Bytes that were held back go on with `None`.
    void setFault(Fault fault);

    /// Resets every open connection.
    void reset();

private:
    struct Pair {
        FaultProxy* proxy;
        bufferevent* client;
        bufferevent* target;
        bool isOver { false }; ///< A side has closed while bytes are held back.
    };

    static void accepted(evconnlistener*, int socket, sockaddr*, int, void* self);
    static void readable(bufferevent* from, void* pair);
    static void closed(bufferevent*, short events, void* pair);
    bool isHeld(bool toTarget) const;
    void pass(Pair& pair, bufferevent* from);
    void pump();
    void drop(Pair& pair, bool hard);

    EventLoop& m_loop;
    BootClock m_clock;
    Address m_target;
    evconnlistener* m_listener { nullptr };
    Timer m_timer;
    Fault m_fault { Fault::None };
    std::list<std::unique_ptr<Pair>> m_pairs;
    std::multimap<Instant, std::pair<Pair*, bufferevent*>> m_delayed; ///< Directions with bytes to pass on.
};

} // namespace hemlocklead::soak
