#include "transport/HttpClient.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>
#include <utility>

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

    /// Long enough that libevent's own timeout does not end an exchange before the timeout of the request does.
    constexpr int nativeTimeoutSeconds = 3600;

    /// Returns whether the server closed an idle connection or sent bytes on it that belong to no request. Either may
    /// have happened since libevent last polled the socket. libevent would connect anew for the next request.
    bool isStale(evhttp_connection* connection)
    {
        bufferevent* native = evhttp_connection_get_bufferevent(connection);
        if (evbuffer_get_length(bufferevent_get_input(native)) > 0)
            return true;
        const evutil_socket_t socket = bufferevent_getfd(native);
        if (socket < 0)
            return true;
        char byte = 0;
        return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

} // namespace

struct HttpClient::Connection {
    evhttp_connection* native { nullptr };
    std::string passedCheck; ///< Name of the check that it has passed; empty without one.
};

/// Request queued until a connection is available.
struct HttpClient::PendingRequest {
    HttpRequest request;
    Callback callback;
    std::unique_ptr<Timer> timer;
    Duration timeout;
    TimeoutScope scope;
    Instant expiresAt;
    std::optional<ConnectionCheck> check;
};

/// Exchange in progress. Has exclusive use of a connection until it ends.
class HttpClient::Exchange {
public:
    Exchange(Core& core, EventLoop& loop, Connection connection, PendingRequest& request)
        : m_core(core)
        , m_connection(std::move(connection))
        , m_request(std::move(request.request))
        , m_check(std::move(request.check))
        , m_callback(std::move(request.callback))
        , m_timer(std::move(request.timer))
        , m_sendTimer(loop, Timer::Priority::BeforeInputOutput)
        , m_timeout(request.timeout)
        , m_scope(request.scope)
    {
    }

    ~Exchange() { stopWatching(); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    /// Ends the exchange if the request is not written within `sendTimeout`.
    void start(Duration sendTimeout);
    void timedOut();
    const Connection& connection() const { return m_connection; }

private:
    static void completed(evhttp_request* native, void* self);
    void checkCompleted(evhttp_request* native);
    void write(const HttpRequest& request);
    static void outputChanged(evbuffer*, const evbuffer_cb_info* info, void* self);
    static void inputChanged(evbuffer*, const evbuffer_cb_info* info, void* self);
    evbuffer* output() const { return bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection.native)); }
    evbuffer* input() const { return bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection.native)); }
    /// Whether the whole request was passed to the socket.
    bool isWritten() const { return !m_isChecking && m_mayBeSent && evbuffer_get_length(output()) == 0; }
    void stopWatching();
    HttpExchange failedExchange() const;
    void finish(HttpExchange result);

    Core& m_core;
    Connection m_connection;
    HttpRequest m_request;
    std::optional<ConnectionCheck> m_check;
    evhttp_request* m_native { nullptr };
    Callback m_callback;
    std::unique_ptr<Timer> m_timer;
    Timer m_sendTimer;
    Duration m_timeout;
    TimeoutScope m_scope;
    bool m_watching { false };
    bool m_starting { false };
    bool m_isChecking { false }; ///< The request waits until the connection has passed its check.
    bool m_mayBeSent { false }; ///< Whether any byte of the request was added to the output buffer of the connection.
};

struct HttpClient::Core : std::enable_shared_from_this<HttpClient::Core> {
    Core(EventLoop& eventLoop, Address serverAddress, size_t connectionLimit, size_t responseLimit)
        : loop(eventLoop)
        , address(std::move(serverAddress))
        , maxConnections(connectionLimit)
        , maxResponseBytes(responseLimit)
        , retireTimer(eventLoop)
    {
    }

    ~Core();
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    Connection takeConnection(const std::string& check);
    void startPending();
    void dropExpired();
    void exchangeEnded(Exchange* exchange, HttpExchange result, const Callback& callback);
    void freeLater(evhttp_connection* connection);
    void freeRetired();
    void closeIdle();
    void expirePending(const PendingRequest* pending);

    EventLoop& loop;
    BootClock clock; ///< Counts the time during which the machine is suspended; the timers of the loop do not.
    Address address;
    size_t maxConnections;
    size_t maxResponseBytes;
    bool closed { false };
    int callbackDepth { 0 };
    /// Keeps the core alive until the loop frees it, if the client was destroyed in a callback.
    std::shared_ptr<Core> self;
    std::vector<Connection> idle;
    std::vector<evhttp_connection*> retired; ///< Freed later from the loop, because libevent may still use them.
    Timer retireTimer;
    std::list<std::unique_ptr<Exchange>> running;
    std::list<std::unique_ptr<PendingRequest>> pending;
};

HttpClient::Core::~Core()
{
    for (const std::unique_ptr<Exchange>& exchange : running)
        retired.push_back(exchange->connection().native);
    running.clear();
    closeIdle();
    freeRetired();
}

void HttpClient::Exchange::start(Duration sendTimeout)
{
    m_sendTimer.startOnce(sendTimeout, [this] {
        // `m_timer` limits the wait for the response. After a pause it fires later than a response that has arrived is
        // read, but also later than a request that still waits for its socket is written.
        if (!isWritten())
            timedOut();
    });
    evbuffer_add_cb(output(), &Exchange::outputChanged, this);
    evbuffer_add_cb(input(), &Exchange::inputChanged, this);
    m_watching = true;
    m_isChecking = m_check && m_check->name != m_connection.passedCheck;
    write(m_isChecking ? m_check->request : m_request);
}

void HttpClient::Exchange::write(const HttpRequest& request)
{
    m_native = evhttp_request_new(&Exchange::completed, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(m_native);
    if (request.header("Host").empty())
        evhttp_add_header(headers, "Host", m_core.address.text().c_str());
    for (const HeaderField& header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(m_native), request.body.data(), request.body.size());
    if (!request.body.empty() && request.header("Content-Length").empty())
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
    m_mayBeSent = false;
    m_starting = true;
    const int started
        = evhttp_make_request(m_connection.native, m_native, methodType(request.method), request.path.c_str());
    m_starting = false;
    if (started != 0)
        m_native = nullptr;
    // If no socket can be created, evhttp_make_request fails or completes the request before it returns.
    if (!m_native)
        m_timer->startOnce(Duration { 0 }, [this] { finish(failedExchange()); });
}

void HttpClient::Exchange::checkCompleted(evhttp_request* native)
{
    if (!native || evhttp_request_get_response_code(native) == 0)
        return finish(failedExchange());
    HttpResponse response = parseNative(native);
    if (!m_check->passes(response))
        return finish({ HttpExchange::Status::NotSent, {}, std::move(response) });
    // A request would go to another process of the server if libevent had to connect anew for it.
    if (isStale(m_connection.native))
        return finish(failedExchange());
    m_connection.passedCheck = m_check->name;
    m_isChecking = false;
    write(m_request);
}

void HttpClient::Exchange::timedOut() { finish(failedExchange()); }

void HttpClient::Exchange::outputChanged(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    if (info->n_added > 0)
        static_cast<Exchange*>(self)->m_mayBeSent = true;
}

void HttpClient::Exchange::inputChanged(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    if (exchange->m_scope == TimeoutScope::Silence && info->n_added > 0)
        exchange->m_timer->startOnce(exchange->m_timeout, [exchange] { exchange->timedOut(); });
}

void HttpClient::Exchange::completed(evhttp_request* native, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    exchange->m_native = nullptr;
    if (exchange->m_starting)
        return;
    if (exchange->m_isChecking)
        return exchange->checkCompleted(native);
    if (native && evhttp_request_get_response_code(native) != 0)
        exchange->finish({ HttpExchange::Status::Answered, parseNative(native) });
    else
        exchange->finish(exchange->failedExchange());
}

void HttpClient::Exchange::stopWatching()
{
    if (m_watching) {
        evbuffer_remove_cb(output(), &Exchange::outputChanged, this);
        evbuffer_remove_cb(input(), &Exchange::inputChanged, this);
    }
    m_watching = false;
}

HttpExchange HttpClient::Exchange::failedExchange() const
{
    return { m_mayBeSent && !m_isChecking ? HttpExchange::Status::Unknown : HttpExchange::Status::NotSent, {} };
}

void HttpClient::Exchange::finish(HttpExchange result)
{
    stopWatching();
    if (m_native) {
        // The request timed out. libevent does not call the completion callback of a cancelled request.
        evhttp_cancel_request(m_native);
        m_native = nullptr;
    }
    const Callback callback = std::move(m_callback);
    m_core.exchangeEnded(this, std::move(result), callback);
}

HttpClient::Connection HttpClient::Core::takeConnection(const std::string& check)
{
    while (!idle.empty()) {
        Connection found = std::move(idle.back());
        idle.pop_back();
        // One that has passed another check may reach a process that is gone, which shows only in a timeout.
        const bool fits = found.passedCheck.empty() || found.passedCheck == check;
        if (fits && !isStale(found.native))
            return found;
        freeLater(found.native);
    }
    evhttp_connection* connection
        = evhttp_connection_base_new(loop.native(), nullptr, address.ip.c_str(), address.port);
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(maxResponseBytes));
    evhttp_connection_set_max_headers_size(connection, maxHeaderBytes);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_timeout(connection, nativeTimeoutSeconds);
    return { connection, {} };
}

void HttpClient::Core::startPending()
{
    // After a pause of the process, the turn of a request may come before its timer. It is reported by `dropExpired` or
    // by the timer, since callbacks must not run from within `send`.
    const Instant now = clock.now();
    while (!closed && running.size() < maxConnections) {
        const auto found = std::ranges::find_if(
            pending, [now](const std::unique_ptr<PendingRequest>& entry) { return now <= entry->expiresAt; });
        if (found == pending.end())
            return;
        const std::unique_ptr<PendingRequest> next = std::move(*found);
        pending.erase(found);
        Timer* timer = next->timer.get();
        Connection connection = takeConnection(next->check ? next->check->name : std::string());
        running.push_back(std::make_unique<Exchange>(*this, loop, std::move(connection), *next));
        Exchange* exchange = running.back().get();
        timer->setCallback([exchange] { exchange->timedOut(); });
        exchange->start(next->expiresAt - now);
    }
}

void HttpClient::Core::exchangeEnded(Exchange* exchange, HttpExchange result, const Callback& callback)
{
    const std::shared_ptr<Core> keep = shared_from_this();
    ++callbackDepth;
    const bool isReusable = (result.status == HttpExchange::Status::Answered || result.failedCheck) && !closed;
    if (isReusable)
        idle.push_back(exchange->connection());
    else
        freeLater(exchange->connection().native);
    running.remove_if([exchange](const std::unique_ptr<Exchange>& entry) { return entry.get() == exchange; });
    if (!closed)
        callback(std::move(result));
    dropExpired();
    startPending();
    --callbackDepth;
}

void HttpClient::Core::freeLater(evhttp_connection* connection)
{
    retired.push_back(connection);
    retireTimer.startOnce(Duration { 0 }, [this] { freeRetired(); });
}

void HttpClient::Core::freeRetired()
{
    for (evhttp_connection* connection : std::exchange(retired, {}))
        evhttp_connection_free(connection);
}

void HttpClient::Core::closeIdle()
{
    for (const Connection& connection : std::exchange(idle, {}))
        freeLater(connection.native);
}

void HttpClient::Core::dropExpired()
{
    const Instant now = clock.now();
    const auto isExpired = [now](const std::unique_ptr<PendingRequest>& entry) { return now > entry->expiresAt; };
    for (auto found = std::ranges::find_if(pending, isExpired); found != pending.end();
         found = std::ranges::find_if(pending, isExpired))
        expirePending(found->get());
}

void HttpClient::Core::expirePending(const PendingRequest* dropped)
{
    const auto found = std::ranges::find_if(
        pending, [&](const std::unique_ptr<PendingRequest>& entry) { return entry.get() == dropped; });
    const std::unique_ptr<PendingRequest> owned = std::move(*found);
    pending.erase(found);
    owned->callback({ HttpExchange::Status::NotSent, {} });
}

HttpClient::HttpClient(EventLoop& loop, Address address, size_t maxConnections, size_t maxResponseBytes)
    : m_address(std::move(address))
    , m_core(std::make_shared<Core>(loop, m_address, maxConnections, maxResponseBytes))
{
}

HttpClient::~HttpClient()
{
    m_core->closed = true;
    m_core->pending.clear();
    // During a callback libevent still uses the connection, so the core is freed later from the loop.
    if (m_core->callbackDepth == 0)
        return;
    m_core->self = m_core;
    event_base_once(m_core->loop.native(), -1, EV_TIMEOUT, &releaseCore, m_core.get(), nullptr);
}

void HttpClient::releaseCore(int, short, void* core) { std::exchange(static_cast<Core*>(core)->self, nullptr); }

void HttpClient::closeIdle() { m_core->closeIdle(); }

void HttpClient::send(
    HttpRequest request, Duration timeout, Callback callback, TimeoutScope scope, std::optional<ConnectionCheck> check)
{
    auto entry = std::make_unique<PendingRequest>(PendingRequest { std::move(request), std::move(callback),
        std::make_unique<Timer>(m_core->loop), timeout, scope, m_core->clock.now() + timeout, std::move(check) });
    Core* core = m_core.get();
    const PendingRequest* raw = entry.get();
    entry->timer->startOnce(std::max(timeout, Duration { 0 }), [core, raw] { core->expirePending(raw); });
    core->pending.push_back(std::move(entry));
    core->startPending();
}

} // namespace hemlocklead
