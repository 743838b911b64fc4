#include "transport/FrameConnection.h"

#include "base/Log.h"
#include "protocol/Codec.h"
#include "transport/Traffic.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <optional>

namespace hemlocklead {

namespace {

    void disableNagle(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    sockaddr_in nativeAddress(const Address& address)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
        return native;
    }

} // namespace

FrameConnection::FrameConnection(EventLoop& loop, int socket)
    : m_closeTimer(loop)
{
    initialize(loop, socket);
}

FrameConnection::FrameConnection(EventLoop& loop, const Address& address)
    : m_closeTimer(loop)
{
    initialize(loop, -1);
    const sockaddr_in native = nativeAddress(address);
    if (bufferevent_socket_connect(m_native, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0)
        m_closeTimer.startOnce(Duration { 0 }, [this] { close(); });
}

FrameConnection::~FrameConnection()
{
    *m_alive = false;
    if (m_native)
        bufferevent_free(m_native);
}

void FrameConnection::initialize(EventLoop& loop, int socket)
{
    m_native = bufferevent_socket_new(loop.native(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_native, &FrameConnection::onRead, nullptr, &FrameConnection::onEvent, this);
    bufferevent_enable(m_native, EV_READ | EV_WRITE);
    if (socket >= 0)
        disableNagle(socket);
}

void FrameConnection::setCallbacks(Callbacks callbacks)
{
    m_callbacks = std::make_shared<Callbacks>(std::move(callbacks));
}

bool FrameConnection::send(const Message& message)
{
    if (!m_native)
        return true;
    const std::string frame = encodeFrame(message);
    if (frame.size() > maxFrameBytes + frameHeaderBytes) {
        LogEvent(LogLevel::Error, "frame_too_large").field("bytes", static_cast<uint64_t>(frame.size()));
        return false;
    }
    Traffic::instance().recordSent(message, frame.size());
    bufferevent_write(m_native, frame.data(), frame.size());
    if (evbuffer_get_length(bufferevent_get_output(m_native)) > maxPendingBytes)
        m_closeTimer.startOnce(Duration { 0 }, [this] { close(); });
    return true;
}

void FrameConnection::readFrames()
{
    const std::shared_ptr<bool> alive = m_alive;
    while (*alive && m_native && readFrame()) { }
}

bool FrameConnection::readFrame()
{
    evbuffer* input = bufferevent_get_input(m_native);
    const size_t available = evbuffer_get_length(input);
    if (available < frameHeaderBytes)
        return false;
    char header[frameHeaderBytes];
    evbuffer_copyout(input, header, frameHeaderBytes);
    const size_t length = orElse(
        [&] {
            return parseFrameHeader({ header, frameHeaderBytes });
        },
        [](const Error&) { return maxFrameBytes + 1; });
    if (length > maxFrameBytes) {
        LogEvent(LogLevel::Warning, "frame_rejected").field("reason", "too large");
        close();
        return false;
    }
    if (available < frameHeaderBytes + length)
        return false;
    evbuffer_drain(input, frameHeaderBytes);
    std::string payload(length, '\0');
    evbuffer_remove(input, payload.data(), length);

    return deliver(payload);
}

bool FrameConnection::deliver(std::string_view payload)
{
    Message message;
    const std::optional<ErrorKind> failure = orElse(
        [&]() -> Result<std::optional<ErrorKind>> {
            BOOST_LEAF_ASSIGN(message, decodePayload(payload));
            return std::optional<ErrorKind>();
        },
        [](const Error& error) {
            LogEvent(LogLevel::Warning, "frame_rejected").field("reason", error.message);
            return std::optional(error.kind);
        });
    if (failure == ErrorKind::NotFound) {
        // A newer version may send message types that this version does not know.
        Traffic::instance().recordUnknown();
        return true;
    }
    if (failure) {
        close();
        return false;
    }
    Traffic::instance().recordReceived(message, frameHeaderBytes + payload.size());
    if (const std::shared_ptr<const Callbacks> callbacks = m_callbacks; callbacks->onMessage)
        callbacks->onMessage(std::move(message));
    return true;
}

void FrameConnection::close()
{
    if (!m_native)
        return;
    bufferevent_free(m_native);
    m_native = nullptr;
    if (const std::shared_ptr<const Callbacks> callbacks = m_callbacks; callbacks->onClosed)
        callbacks->onClosed();
}

void FrameConnection::onRead(bufferevent*, void* self) { static_cast<FrameConnection*>(self)->readFrames(); }

void FrameConnection::onEvent(bufferevent* native, short what, void* self)
{
    auto* connection = static_cast<FrameConnection*>(self);
    if (what & BEV_EVENT_CONNECTED)
        disableNagle(bufferevent_getfd(native));
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        connection->close();
}

} // namespace hemlocklead
