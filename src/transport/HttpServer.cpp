#include "transport/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <array>
#include <utility>

namespace hemlocklead {

namespace {

    struct MethodName {
        evhttp_cmd_type type;
        const char* name;
    };

    constexpr std::array<MethodName, 7> methods { {
        { EVHTTP_REQ_GET, "GET" },
        { EVHTTP_REQ_POST, "POST" },
        { EVHTTP_REQ_PUT, "PUT" },
        { EVHTTP_REQ_DELETE, "DELETE" },
        { EVHTTP_REQ_HEAD, "HEAD" },
        { EVHTTP_REQ_PATCH, "PATCH" },
        { EVHTTP_REQ_OPTIONS, "OPTIONS" },
    } };

    HttpRequest parseNative(evhttp_request* native)
    {
        HttpRequest request;
        for (const MethodName& method : methods) {
            if (method.type == evhttp_request_get_command(native))
                request.method = method.name;
        }
        request.path = evhttp_request_get_uri(native);
        const evkeyvalq* headers = evhttp_request_get_input_headers(native);
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            request.headers.push_back({ header->key, header->value });
        evbuffer* input = evhttp_request_get_input_buffer(native);
        request.body.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, request.body.data(), request.body.size());
        return request;
    }

    /// Returns whether the status or the request method forbids a response body; libevent would send one anyway.
    bool isBodyless(evhttp_request* request, int status)
    {
        return evhttp_request_get_command(request) == EVHTTP_REQ_HEAD || status == 204 || status == 304;
    }

} // namespace

HttpResponder::HttpResponder(evhttp_request* request)
    : m_request(request)
{
    evhttp_connection* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, &HttpResponder::connectionClosed, this);
    // libevent does not read while a request is being handled, so it would not detect that the caller disconnects.
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    m_readable
        = event_new(evhttp_connection_get_base(connection), socket, EV_READ, &HttpResponder::becameReadable, this);
    event_add(m_readable, nullptr);
}

HttpResponder::~HttpResponder() { reply(errorResponse({ ErrorKind::Internal, "request was dropped" })); }

void HttpResponder::reply(const HttpResponse& response)
{
    evhttp_request* request = release();
    if (!request)
        return;
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    for (const HeaderField& header : response.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    if (isBodyless(request, response.status)) {
        evhttp_send_reply(request, response.status, nullptr, nullptr);
        return;
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    // Frees the request, even if its connection is closed.
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

void HttpResponder::abort()
{
    evhttp_request* request = release();
    if (!request)
        return;
    if (evhttp_connection* connection = evhttp_request_get_connection(request))
        evhttp_connection_free(connection);
    else
        evhttp_request_free(request);
}

evhttp_request* HttpResponder::release()
{
    stopWatching();
    evhttp_request* request = std::exchange(m_request, nullptr);
    evhttp_connection* connection = request ? evhttp_request_get_connection(request) : nullptr;
    if (connection)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return request;
}

void HttpResponder::stopWatching()
{
    if (m_readable)
        event_free(m_readable);
    m_readable = nullptr;
}

void HttpResponder::handleDisconnect()
{
    m_disconnected = true;
    const std::function<void()> onDisconnect = std::exchange(m_onDisconnect, nullptr);
    if (onDisconnect)
        onDisconnect();
}

void HttpResponder::becameReadable(int socket, short, void* self)
{
    auto* responder = static_cast<HttpResponder*>(self);
    char byte = 0;
    // The caller has pipelined another request. The event is not re-armed, so a later disconnect is not detected.
    if (recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
        return;
    responder->stopWatching();
    responder->handleDisconnect();
}

void HttpResponder::connectionClosed(evhttp_connection*, void* self)
{
    auto* responder = static_cast<HttpResponder*>(self);
    responder->stopWatching();
    // If the caller closes the connection, libevent detaches the request and leaves it to the responder. If the server
    // is being destroyed, libevent frees the request itself.
    if (responder->m_request && evhttp_request_get_connection(responder->m_request))
        responder->m_request = nullptr;
    responder->handleDisconnect();
}

HttpServer::HttpServer(EventLoop& loop, Handler handler, size_t maxRequestBytes)
    : m_native(evhttp_new(loop.native()))
    , m_handler(std::move(handler))
{
    evhttp_set_max_body_size(m_native, static_cast<ev_ssize_t>(maxRequestBytes));
    evhttp_set_max_headers_size(m_native, maxHeaderBytes);
    evhttp_set_allowed_methods(m_native,
        EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH
            | EVHTTP_REQ_OPTIONS);
    evhttp_set_gencb(m_native, &HttpServer::received, this);
}

HttpServer::~HttpServer() { evhttp_free(m_native); }

Result<void> HttpServer::listen(const Address& address)
{
    m_socket = evhttp_bind_socket_with_handle(m_native, address.ip.c_str(), address.port);
    if (!m_socket)
        return fail(ErrorKind::InvalidSettings, "cannot listen on " + address.text());
    return {};
}

Address HttpServer::address() const { return boundAddress(evhttp_bound_socket_get_fd(m_socket)); }

void HttpServer::stopAccepting()
{
    if (m_socket)
        evhttp_del_accept_socket(m_native, m_socket);
    m_socket = nullptr;
}

void HttpServer::received(evhttp_request* request, void* self)
{
    auto* server = static_cast<HttpServer*>(self);
    if (server->m_closeAfterReply)
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    server->m_handler(parseNative(request), std::make_shared<HttpResponder>(request));
}

} // namespace hemlocklead
