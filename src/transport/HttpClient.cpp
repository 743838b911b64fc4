#include "transport/HttpClient.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <deque>
#include <list>

namespace hemlocklead {

namespace {

    struct MethodType {
        const char* name;
        evhttp_cmd_type type;
    };

    constexpr std::array<MethodType, 7> methodTypes { {
        { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
        { "HEAD", EVHTTP_REQ_HEAD },
        { "PATCH", EVHTTP_REQ_PATCH },
        { "OPTIONS", EVHTTP_REQ_OPTIONS },
    } };

    evhttp_cmd_type methodType(const std::string& name)
    {
        for (const MethodType& method : methodTypes) {
            if (name == method.name)
                return method.type;
        }
        return EVHTTP_REQ_GET;
    }

    HttpResponse parseNative(evhttp_request* native)
    {
        HttpResponse response;
        response.status = evhttp_request_get_response_code(native);
        const evkeyvalq* headers = evhttp_request_get_input_headers(native);
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            response.headers.push_back({ header->key, header->value });
        evbuffer* input = evhttp_request_get_input_buffer(native);
        response.body.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, response.body.data(), response.body.size());
        return response;
    }

    void freeConnection(evutil_socket_t, short, void* connection)
    {
        evhttp_connection_free(static_cast<evhttp_connection*>(connection));
    }

} // namespace

/// A request that waits for a connection.
struct HttpClient::Waiting {
    HttpRequest request;
    Callback callback;
    std::unique_ptr<Timer> timer;
};

/// One exchange in progress on its own connection of the pool.
class HttpClient::Exchange {
public:
    Exchange(Core& core, evhttp_connection* connection, Callback callback, std::unique_ptr<Timer> timer)
        : m_core(core)
        , m_connection(connection)
        , m_callback(std::move(callback))
        , m_timer(std::move(timer))
    {
    }

    void start(const HttpRequest& request, const Address& address);
    void timedOut();
    evhttp_connection* connection() const { return m_connection; }

private:
    static void completed(evhttp_request* native, void* self);
    static void failed(evhttp_request_error error, void* self);
    void finish(HttpExchange result);

    Core& m_core;
    evhttp_connection* m_connection;
    evhttp_request* m_native { nullptr };
    Callback m_callback;
    std::unique_ptr<Timer> m_timer;
    bool m_failedAfterSend { false };
};

struct HttpClient::Core : std::enable_shared_from_this<HttpClient::Core> {
    Core(EventLoop& eventLoop, Address target, size_t most)
        : loop(eventLoop)
        , address(std::move(target))
        , maxConnections(most)
    {
    }

    evhttp_connection* takeConnection();
    void startWaiting();
    void exchangeEnded(Exchange* exchange, HttpExchange result, const Callback& callback);
    void freeLater(evhttp_connection* connection);
    void dropWaiting(const Waiting* waiting);

    EventLoop& loop;
    Address address;
    size_t maxConnections;
    bool closed { false };
    std::vector<evhttp_connection*> idle;
    std::list<std::unique_ptr<Exchange>> running;
    std::list<std::unique_ptr<Waiting>> waiting;
};

void HttpClient::Exchange::start(const HttpRequest& request, const Address& address)
{
    m_native = evhttp_request_new(&Exchange::completed, this);
    evhttp_request_set_error_cb(m_native, &Exchange::failed);
    evkeyvalq* headers = evhttp_request_get_output_headers(m_native);
    evhttp_add_header(headers, "Host", address.text().c_str());
    for (const HeaderField& header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(m_native), request.body.data(), request.body.size());
    if (!request.body.empty() && request.header("Content-Length").empty())
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
    if (evhttp_make_request(m_connection, m_native, methodType(request.method), request.path.c_str()) != 0) {
        m_native = nullptr;
        m_timer->startOnce(Duration { 0 }, [this] { finish({ HttpExchange::Status::NotSent, {} }); });
    }
}

void HttpClient::Exchange::timedOut() { finish({ HttpExchange::Status::Unknown, {} }); }

void HttpClient::Exchange::failed(evhttp_request_error, void* self)
{
    static_cast<Exchange*>(self)->m_failedAfterSend = true;
}

void HttpClient::Exchange::completed(evhttp_request* native, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    exchange->m_native = nullptr;
    if (native && evhttp_request_get_response_code(native) != 0) {
        exchange->finish({ HttpExchange::Status::Answered, parseNative(native) });
        return;
    }
    // The error callback runs only for failures after the connection was made; without it connecting failed.
    const bool mayBeSent = exchange->m_failedAfterSend || !native;
    exchange->finish({ mayBeSent ? HttpExchange::Status::Unknown : HttpExchange::Status::NotSent, {} });
}

void HttpClient::Exchange::finish(HttpExchange result)
{
    if (m_native) {
        // Timed out: keep the library from calling back into this exchange.
        evhttp_request_set_error_cb(m_native, nullptr);
        evhttp_cancel_request(m_native);
        m_native = nullptr;
    }
    const Callback callback = std::move(m_callback);
    m_core.exchangeEnded(this, std::move(result), callback);
}

evhttp_connection* HttpClient::Core::takeConnection()
{
    if (!idle.empty()) {
        evhttp_connection* connection = idle.back();
        idle.pop_back();
        return connection;
    }
    evhttp_connection* connection
        = evhttp_connection_base_new(loop.native(), nullptr, address.ip.c_str(), address.port);
    evhttp_connection_set_max_body_size(connection, maxBodyBytes);
    evhttp_connection_set_max_headers_size(connection, maxHeaderBytes);
    evhttp_connection_set_retries(connection, 0);
    return connection;
}

void HttpClient::Core::startWaiting()
{
    while (!closed && !waiting.empty() && running.size() < maxConnections) {
        const std::unique_ptr<Waiting> next = std::move(waiting.front());
        waiting.pop_front();
        Timer* timer = next->timer.get();
        running.push_back(
            std::make_unique<Exchange>(*this, takeConnection(), std::move(next->callback), std::move(next->timer)));
        Exchange* exchange = running.back().get();
        timer->setCallback([exchange] { exchange->timedOut(); });
        exchange->start(next->request, address);
    }
}

void HttpClient::Core::exchangeEnded(Exchange* exchange, HttpExchange result, const Callback& callback)
{
    const std::shared_ptr<Core> keep = shared_from_this();
    const bool reusable = result.status == HttpExchange::Status::Answered && !closed;
    if (reusable)
        idle.push_back(exchange->connection());
    else
        freeLater(exchange->connection());
    running.remove_if([exchange](const std::unique_ptr<Exchange>& entry) { return entry.get() == exchange; });
    if (!closed)
        callback(std::move(result));
    startWaiting();
}

void HttpClient::Core::freeLater(evhttp_connection* connection)
{
    // The library may still use the connection after the callback that we are in.
    event_base_once(loop.native(), -1, EV_TIMEOUT, &freeConnection, connection, nullptr);
}

void HttpClient::Core::dropWaiting(const Waiting* dropped)
{
    const auto found
        = std::ranges::find_if(waiting, [&](const std::unique_ptr<Waiting>& entry) { return entry.get() == dropped; });
    const std::unique_ptr<Waiting> owned = std::move(*found);
    waiting.erase(found);
    owned->callback({ HttpExchange::Status::NotSent, {} });
}

HttpClient::HttpClient(EventLoop& loop, Address address, size_t maxConnections)
    : m_address(std::move(address))
    , m_core(std::make_shared<Core>(loop, m_address, maxConnections))
{
}

HttpClient::~HttpClient()
{
    m_core->closed = true;
    m_core->waiting.clear();
    for (const std::unique_ptr<Exchange>& exchange : m_core->running)
        evhttp_connection_free(exchange->connection());
    m_core->running.clear();
    for (evhttp_connection* connection : m_core->idle)
        evhttp_connection_free(connection);
}

void HttpClient::send(HttpRequest request, Duration timeout, Callback callback)
{
    auto entry = std::make_unique<Waiting>(
        Waiting { std::move(request), std::move(callback), std::make_unique<Timer>(m_core->loop) });
    Core* core = m_core.get();
    const Waiting* raw = entry.get();
    entry->timer->startOnce(timeout, [core, raw] { core->dropWaiting(raw); });
    core->waiting.push_back(std::move(entry));
    core->startWaiting();
}

} // namespace hemlocklead
