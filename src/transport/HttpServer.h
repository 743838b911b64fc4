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

/// Answers one request, once, now or later. If the caller has gone the answer is dropped.
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
    bool isGone() const { return m_gone; }

    /// Called once if the caller goes away before the reply.
    void onGone(std::function<void()> handler) { m_onGone = std::move(handler); }

private:
    /// Gives up the request and returns it; null when it was answered or freed before.
    evhttp_request* release();
    void stopWatching();
    void callerGone();
    static void connectionClosed(evhttp_connection*, void* self);
    static void becameReadable(int socket, short, void* self);

    evhttp_request* m_request;
    event* m_readable { nullptr }; ///< Watches for a caller that closes its connection.
    bool m_gone { false };
    std::function<void()> m_onGone;
};

/// HTTP server on evhttp. Bodies over `maxRequestBytes` get 413, malformed requests 400.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    HttpServer(EventLoop& loop, Handler handler, size_t maxRequestBytes = maxBodyBytes);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and listens; fails with `InvalidSettings`.
    Result<void> listen(const Address& address);

    /// Address listened on.
    Address address() const;

    /// Stops accepting connections; those that are open go on.
    void stopAccepting();

    /// Asks clients to close their connection with the next reply.
    void closeAfterReply() { m_closeAfterReply = true; }

private:
    static void received(evhttp_request* request, void* self);

    evhttp* m_native;
    evhttp_bound_socket* m_socket { nullptr };
    Handler m_handler;
    bool m_closeAfterReply { false };
};

} // namespace hemlocklead
