#pragma once

#include "transport/FrameConnection.h"

#include <functional>
#include <memory>

struct evconnlistener;

namespace hemlocklead {

/// Listens for connections of agents and peer entries.
class FrameListener {
public:
    using OnAccept = std::function<void(std::unique_ptr<FrameConnection>)>;

    FrameListener(EventLoop& loop, OnAccept onAccept);
    ~FrameListener();
    FrameListener(const FrameListener&) = delete;
    FrameListener& operator=(const FrameListener&) = delete;

    /// Binds and listens; fails with `InvalidSettings` when the address is in use or not of this host.
    Result<void> listen(const Address& address);

    /// Address listened on.
    Address address() const;

    /// Stops accepting.
    void close();

private:
    EventLoop& m_loop;
    OnAccept m_onAccept;
    evconnlistener* m_native { nullptr };
};

} // namespace hemlocklead
