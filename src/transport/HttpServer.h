#pragma once

#include "protocol/Http.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <functional>
#include <memory>

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace hemlocklead {

/// Sends the response to one request, synchronously or later. The response is dropped if the caller has disconnected.
/// A responder that is destroyed without a reply sends an `Internal` error.
class HttpResponder {
public:
    explicit HttpResponder(evhttp_request* request);
    ~HttpResponder();
    HttpResponder(const HttpResponder&) = delete;
    HttpResponder& operator=(const HttpResponder&) = delete;

    /// Sends the response; later calls do nothing.
    void reply(const HttpResponse& response);

    /// Closes the connection without a response.
    void abort();

    /// Whether the caller has closed its connection.
    bool isDisconnected() const { return m_disconnected; }

    /// Sets a handler that is called once if the caller disconnects before the reply.
    void onDisconnect(std::function<void()> handler) { m_onDisconnect = std::move(handler); }

private:
    /// Releases ownership of the request and returns it, or null if it was already answered or freed.
    evhttp_request* release();
    void stopWatching();
    void handleDisconnect();
    static void connectionClosed(evhttp_connection*, void* self);
    static void becameReadable(int socket, short, void* self);

    evhttp_request* m_request;
    event* m_readable { nullptr }; ///< Read event that detects when the caller closes its connection.
    bool m_disconnected { false };
    std::function<void()> m_onDisconnect;
};

/// HTTP server based on evhttp. Responds with 413 to bodies over `maxRequestBytes` and with 400 to malformed requests.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    HttpServer(EventLoop& loop, Handler handler, size_t maxRequestBytes = maxBodyBytes);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and listens. Fails with `InvalidSettings`.
    Result<void> listen(const Address& address);

    /// Returns the address that the server is bound to.
    Address address() const;

    /// Stops accepting connections. Open connections are still served.
    void stopAccepting();

    /// Adds `Connection: close` to the response to every request received from now on.
    void closeAfterReply() { m_closeAfterReply = true; }

private:
    static void received(evhttp_request* request, void* self);

    evhttp* m_native;
    evhttp_bound_socket* m_socket { nullptr };
    Handler m_handler;
    bool m_closeAfterReply { false };
};

} // namespace hemlocklead
