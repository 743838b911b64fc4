#pragma once

#include "transport/FrameConnection.h"

#include <functional>
#include <memory>

struct evconnlistener;

namespace hemlocklead {

/// Accepts connections from agents and peer entries.
class FrameListener {
public:
    using OnAccept = std::function<void(std::unique_ptr<FrameConnection>)>;

    FrameListener(EventLoop& loop, OnAccept onAccept);
    ~FrameListener();
    FrameListener(const FrameListener&) = delete;
    FrameListener& operator=(const FrameListener&) = delete;

    /// Binds and listens. Fails with `InvalidSettings` if the address is in use or does not belong to this host.
    Result<void> listen(const Address& address);

    /// Returns the address that the listener is bound to.
    Address address() const;

    /// Stops accepting connections.
    void close();

private:
    EventLoop& m_loop;
    OnAccept m_onAccept;
    evconnlistener* m_native { nullptr };
};

} // namespace hemlocklead
