#include "soak/FaultProxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace hemlocklead::soak {

namespace {

    constexpr Duration delay { 300 };
    constexpr Duration pumpInterval { 10 };

    sockaddr_in nativeOf(const Address& address)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
        return native;
    }

} // namespace

FaultProxy::FaultProxy(EventLoop& loop, const Address& target)
    : m_loop(loop)
    , m_target(target)
    , m_timer(loop)
{
    m_timer.startRepeating(pumpInterval, [this] { pump(); });
}

FaultProxy::~FaultProxy()
{
    while (!m_pairs.empty())
        drop(*m_pairs.front(), false);
    if (m_listener)
        evconnlistener_free(m_listener);
}

Result<void> FaultProxy::listen(const Address& address)
{
    const sockaddr_in native = nativeOf(address);
    m_listener = evconnlistener_new_bind(m_loop.native(), &FaultProxy::accepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr*>(&native), sizeof native);
    if (!m_listener)
        return fail(ErrorKind::InvalidSettings, "the proxy cannot listen on " + address.text());
    return {};
}

void FaultProxy::accepted(evconnlistener*, int socket, sockaddr*, int, void* self)
{
    auto* proxy = static_cast<FaultProxy*>(self);
    proxy->m_pairs.push_back(std::make_unique<Pair>());
    Pair& pair = *proxy->m_pairs.back();
    pair.proxy = proxy;
    pair.client = bufferevent_socket_new(proxy->m_loop.native(), socket, BEV_OPT_CLOSE_ON_FREE);
    pair.target = bufferevent_socket_new(proxy->m_loop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* side : { pair.client, pair.target }) {
        bufferevent_setcb(side, &FaultProxy::readable, nullptr, &FaultProxy::closed, &pair);
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    const sockaddr_in native = nativeOf(proxy->m_target);
    bufferevent_socket_connect(pair.target, reinterpret_cast<const sockaddr*>(&native), sizeof native);
}

void FaultProxy::readable(bufferevent* from, void* context)
{
    auto& pair = *static_cast<Pair*>(context);
    FaultProxy& proxy = *pair.proxy;
    if (proxy.m_fault == Fault::Delay)
        proxy.m_delayed.emplace(proxy.m_clock.now() + delay, std::pair(&pair, from));
    else
        proxy.pass(pair, from);
}

bool FaultProxy::isHeld(bool toTarget) const
{
    return m_fault == Fault::Silent || m_fault == (toTarget ? Fault::CutToTarget : Fault::CutToClient);
}

void FaultProxy::pass(Pair& pair, bufferevent* from)
{
    if (!isHeld(from == pair.client))
        bufferevent_write_buffer(from == pair.client ? pair.target : pair.client, bufferevent_get_input(from));
}

void FaultProxy::pump()
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= m_clock.now()) {
        const auto [pair, from] = m_delayed.extract(m_delayed.begin()).mapped();
        pass(*pair, from);
    }
}

void FaultProxy::closed(bufferevent*, short events, void* context)
{
    auto& pair = *static_cast<Pair*>(context);
    // While bytes are held back, neither side learns that the other one is gone.
    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    if (pair.proxy->m_fault == Fault::None)
        pair.proxy->drop(pair, false);
    else
        pair.isOver = true;
}

void FaultProxy::setFault(Fault fault)
{
    m_fault = fault;
    std::vector<Pair*> over;
    for (const auto& pair : m_pairs) {
        pass(*pair, pair->client);
        pass(*pair, pair->target);
        if (fault == Fault::None && pair->isOver)
            over.push_back(pair.get());
    }
    for (Pair* pair : over)
        drop(*pair, false);
}

void FaultProxy::reset()
{
    while (!m_pairs.empty())
        drop(*m_pairs.front(), true);
}

void FaultProxy::drop(Pair& pair, bool hard)
{
    for (bufferevent* side : { pair.client, pair.target }) {
        const evutil_socket_t socket = bufferevent_getfd(side);
        const linger abortive { 1, 0 };
        if (hard && socket >= 0)
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        bufferevent_free(side);
    }
    std::erase_if(m_delayed, [&](const auto& entry) { return entry.second.first == &pair; });
    std::erase_if(m_pairs, [&](const auto& entry) { return entry.get() == &pair; });
}

} // namespace hemlocklead::soak
