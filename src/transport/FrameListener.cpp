#include "transport/FrameListener.h"

#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace hemlocklead {

FrameListener::FrameListener(EventLoop& loop, OnAccept onAccept)
    : m_loop(loop)
    , m_onAccept(std::move(onAccept))
{
}

FrameListener::~FrameListener() { close(); }

Result<void> FrameListener::listen(const Address& address)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    const auto accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        auto* listener = static_cast<FrameListener*>(self);
        listener->m_onAccept(std::make_unique<FrameConnection>(listener->m_loop, static_cast<int>(socket)));
    };
    constexpr int defaultBacklog = -1;
    m_native = evconnlistener_new_bind(m_loop.native(), accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        defaultBacklog, reinterpret_cast<const sockaddr*>(&native), sizeof native);
    if (!m_native)
        return fail(ErrorKind::InvalidSettings, "cannot listen on " + address.text());
    return {};
}

Address FrameListener::address() const { return boundAddress(evconnlistener_get_fd(m_native)); }

void FrameListener::close()
{
    if (m_native)
        evconnlistener_free(m_native);
    m_native = nullptr;
}

} // namespace hemlocklead
