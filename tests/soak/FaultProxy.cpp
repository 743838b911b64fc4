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
#include <array>
#include <vector>

namespace hemlocklead::soak {

namespace {

    constexpr Duration delay { 300 };
    constexpr Duration forwardInterval { 10 };
    constexpr size_t thinBytesPerSecond = 8000;

    sockaddr_in toSockaddr(const Address& address)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
        return native;
    }

    /// Makes the kernel reset the connection when the socket is closed.
    void resetOnClose(evutil_socket_t socket)
    {
        const linger abortive { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    }

    bool blocks(FaultProxy::Fault fault, bool toTarget)
    {
        using Fault = FaultProxy::Fault;
        return fault == Fault::Blocked || fault == (toTarget ? Fault::BlockToTarget : Fault::BlockToClient);
    }

} // namespace

FaultProxy::FaultProxy(EventLoop& loop, const Address& target)
    : m_loop(loop)
    , m_target(target)
    , m_thinRate(ev_token_bucket_cfg_new(
          thinBytesPerSecond, thinBytesPerSecond, thinBytesPerSecond, thinBytesPerSecond, nullptr))
    , m_timer(loop)
{
    m_timer.startRepeating(forwardInterval, [this] { forwardDelayed(); });
}

FaultProxy::~FaultProxy()
{
    while (!m_pairs.empty())
        closePair(*m_pairs.front(), false);
    if (m_listener)
        evconnlistener_free(m_listener);
    ev_token_bucket_cfg_free(m_thinRate);
}

Result<void> FaultProxy::listen(const Address& address)
{
    const sockaddr_in native = toSockaddr(address);
    m_port = address.port;
    m_listener = evconnlistener_new_bind(m_loop.native(), &FaultProxy::accepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr*>(&native), sizeof native);
    if (!m_listener)
        return fail(ErrorKind::InvalidSettings, "the proxy cannot listen on " + address.text());
    return {};
}

void FaultProxy::accepted(evconnlistener*, int socket, sockaddr* client, int, void* self)
{
    auto* proxy = static_cast<FaultProxy*>(self);
    if (proxy->m_fault == Fault::Refused) {
        resetOnClose(socket);
        close(socket);
        return;
    }
    proxy->m_pairs.push_back(std::make_unique<ConnectionPair>());
    ConnectionPair& pair = *proxy->m_pairs.back();
    pair.proxy = proxy;
    if (proxy->m_clientLookup) {
        const auto* native = reinterpret_cast<const sockaddr_in*>(client);
        pair.clientNumber = proxy->m_clientLookup(ntohs(native->sin_port), proxy->m_port);
        proxy->m_knownClients += pair.clientNumber.has_value();
    }
    pair.client = bufferevent_socket_new(proxy->m_loop.native(), socket, BEV_OPT_CLOSE_ON_FREE);
    pair.target = bufferevent_socket_new(proxy->m_loop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* side : { pair.client, pair.target }) {
        bufferevent_setcb(side, &FaultProxy::readable, nullptr, &FaultProxy::closed, &pair);
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    proxy->limitRate(pair);
    const sockaddr_in target = toSockaddr(proxy->m_target);
    bufferevent_socket_connect(pair.target, reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

void FaultProxy::limitRate(const ConnectionPair& pair)
{
    for (bufferevent* side : { pair.client, pair.target })
        bufferevent_set_rate_limit(side, m_fault == Fault::Thin ? m_thinRate : nullptr);
}

void FaultProxy::readable(bufferevent* from, void* context)
{
    auto& pair = *static_cast<ConnectionPair*>(context);
    FaultProxy& proxy = *pair.proxy;
    if (proxy.m_fault == Fault::Delay)
        proxy.m_delayed.emplace(proxy.m_clock.now() + delay, std::pair(&pair, from));
    else
        proxy.forward(pair, from);
}

FaultProxy::Fault FaultProxy::clientFault(const ConnectionPair& pair) const
{
    const auto found = pair.clientNumber ? m_clientFaults.find(*pair.clientNumber) : m_clientFaults.end();
    return found == m_clientFaults.end() ? Fault::None : found->second;
}

bool FaultProxy::isBlocked(const ConnectionPair& pair, bool toTarget) const
{
    return blocks(m_fault, toTarget) || blocks(clientFault(pair), toTarget);
}

bool FaultProxy::isDisturbed(const ConnectionPair& pair) const
{
    return m_fault != Fault::None || clientFault(pair) != Fault::None;
}

void FaultProxy::forward(ConnectionPair& pair, bufferevent* from)
{
    if (!isBlocked(pair, from == pair.client))
        bufferevent_write_buffer(from == pair.client ? pair.target : pair.client, bufferevent_get_input(from));
}

void FaultProxy::forwardDelayed()
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= m_clock.now()) {
        const auto [pair, from] = m_delayed.extract(m_delayed.begin()).mapped();
        forward(*pair, from);
    }
}

void FaultProxy::closed(bufferevent*, short events, void* context)
{
    auto& pair = *static_cast<ConnectionPair*>(context);
    // During a fault, neither side is notified that the other one has closed its connection.
    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    if (pair.proxy->isDisturbed(pair))
        pair.isClosePending = true;
    else
        pair.proxy->closePair(pair, false);
}

void FaultProxy::setFault(Fault fault)
{
    m_fault = fault;
    if (fault == Fault::Refused)
        reset();
    applyFaults();
}

void FaultProxy::setClientFault(size_t client, Fault fault)
{
    m_clientFaults[client] = fault;
    applyFaults();
}

void FaultProxy::applyFaults()
{
    std::vector<ConnectionPair*> closing;
    for (const auto& pair : m_pairs) {
        limitRate(*pair);
        forward(*pair, pair->client);
        forward(*pair, pair->target);
        if (pair->isClosePending && !isDisturbed(*pair))
            closing.push_back(pair.get());
    }
    for (ConnectionPair* pair : closing) {
        if (m_passesOnClosed)
            closeOnceWritten(*pair);
        else
            closePair(*pair, false);
    }
}

void FaultProxy::written(bufferevent*, void* context)
{
    auto& pair = *static_cast<ConnectionPair*>(context);
    if (pair.isClosePending && !pair.proxy->isDisturbed(pair))
        pair.proxy->closeOnceWritten(pair);
}

void FaultProxy::closeOnceWritten(ConnectionPair& pair)
{
    const bool hasOutput = std::ranges::any_of(std::array { pair.client, pair.target },
        [](bufferevent* side) { return evbuffer_get_length(bufferevent_get_output(side)) > 0; });
    if (!hasOutput)
        return closePair(pair, false);
    for (bufferevent* side : { pair.client, pair.target })
        bufferevent_setcb(side, &FaultProxy::readable, &FaultProxy::written, &FaultProxy::closed, &pair);
}

void FaultProxy::reset()
{
    while (!m_pairs.empty())
        closePair(*m_pairs.front(), true);
}

void FaultProxy::closePair(ConnectionPair& pair, bool sendReset)
{
    for (bufferevent* side : { pair.client, pair.target }) {
        const evutil_socket_t socket = bufferevent_getfd(side);
        if (sendReset && socket >= 0)
            resetOnClose(socket);
        bufferevent_free(side);
    }
    std::erase_if(m_delayed, [&](const auto& entry) { return entry.second.first == &pair; });
    std::erase_if(m_pairs, [&](const auto& entry) { return entry.get() == &pair; });
}

} // namespace hemlocklead::soak
