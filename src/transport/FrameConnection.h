#pragma once

#include "protocol/Messages.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;

namespace hemlocklead {

/// One TCP connection that carries frames. A frame that fails the codec's check closes it.
///
/// Callbacks run from the loop, never from inside `send`. `onClosed` is called at most once, and nothing after it.
/// The owner may destroy the connection inside either callback.
class FrameConnection {
public:
    struct Callbacks {
        std::function<void(Message)> onMessage;
        std::function<void()> onClosed;
    };

    /// Most bytes that may wait for a slow reader before the connection is closed.
    static constexpr size_t maxPendingBytes = 32 * 1024 * 1024;

    /// Takes over a connected socket.
    FrameConnection(EventLoop& loop, int socket);

    /// Starts to connect; messages sent meanwhile are queued.
    FrameConnection(EventLoop& loop, const Address& address);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    void setCallbacks(Callbacks callbacks);

    /// Queues a message. Does nothing once the connection has closed.
    void send(const Message& message);

    bool isOpen() const { return m_native != nullptr; }

private:
    void initialize(EventLoop& loop, int socket);
    void readFrames();
    bool readFrame();
    bool deliver(std::string_view payload);
    void close();
    static void onRead(bufferevent*, void* self);
    static void onEvent(bufferevent*, short what, void* self);

    bufferevent* m_native { nullptr };
    Timer m_closeTimer;
    Callbacks m_callbacks;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace hemlocklead
