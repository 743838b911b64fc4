#pragma once

#include "protocol/Http.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <functional>
#include <memory>
#include <vector>

namespace hemlocklead {

/// How an HTTP exchange ended.
struct HttpExchange {
    enum class Status : uint8_t {
        Answered, ///< A whole response arrived.
        NotSent, ///< No byte of the request left this process.
        Unknown, ///< Sent in part or whole, but there is no whole response.
    };

    Status status { Status::Unknown };
    HttpResponse response; ///< Valid when answered.
};

/// HTTP client for one address, with a pool of persistent connections.
///
/// Callbacks run from the loop, once per request. Destroying the client drops them.
class HttpClient {
public:
    using Callback = std::function<void(HttpExchange)>;

    /// At most `maxConnections` exchanges run at once; others wait their turn within their timeout. A response with a
    /// body over `maxResponseBytes` ends its exchange as `Unknown`.
    HttpClient(EventLoop& loop, Address address, size_t maxConnections, size_t maxResponseBytes = maxBodyBytes);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request`; the exchange ends as `Unknown` or `NotSent` when `timeout` passes.
    void send(HttpRequest request, Duration timeout, Callback callback);

    /// Closes the connections without an exchange, for example after a response that belongs to another request.
    void closeIdle();

    const Address& address() const { return m_address; }

private:
    static void releaseCore(int, short, void* core);

    class Exchange;
    struct Waiting;
    struct Core;

    Address m_address;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
