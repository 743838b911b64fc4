#pragma once

#include "protocol/Messages.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;

namespace hemlocklead {

/// TCP connection that carries frames. A frame that the codec rejects closes it; unknown message types are ignored.
///
/// Callbacks run from the loop, never from within `send`. `onClosed` is called at most once and is the last callback.
/// The owner may destroy the connection from within either callback.
class FrameConnection {
public:
    struct Callbacks {
        std::function<void(Message)> onMessage;
        std::function<void()> onClosed;
    };

    /// Maximum number of unsent bytes; the connection to a peer that reads too slowly is closed above it.
    static constexpr size_t maxPendingBytes = 32 * 1024 * 1024;

    /// Takes ownership of a connected socket.
    FrameConnection(EventLoop& loop, int socket);

    /// Starts connecting to `address`. Messages sent before the connection is established are queued.
    FrameConnection(EventLoop& loop, const Address& address);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    void setCallbacks(Callbacks callbacks);

    /// Queues a message. Does nothing if the connection is closed. Returns false if the message is larger than a frame
    /// may be; it is not sent then.
    bool send(const Message& message);

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
    /// Shared, so that a callback that destroys the connection does not destroy what it has captured.
    std::shared_ptr<const Callbacks> m_callbacks { std::make_shared<Callbacks>() };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace hemlocklead
