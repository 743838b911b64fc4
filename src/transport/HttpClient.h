#pragma once

#include "protocol/Http.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace hemlocklead {

/// Result of an HTTP exchange.
struct HttpExchange {
    enum class Status : uint8_t {
        Answered, ///< A complete response was received.
        NotSent, ///< No byte of the request was sent.
        Unknown, ///< The request was sent in part or completely, but no complete response was received.
    };

    Status status { Status::Unknown };
    HttpResponse response; ///< Valid only if `status` is `Answered`.
    std::optional<HttpResponse> failedCheck {}; ///< With `NotSent`: the response that did not pass the ConnectionCheck.
};

/// A request that is answered on a connection before others are sent there.
///
/// A connection reaches one process of the server, but a server that has restarted takes new connections at the same
/// address. So a check can ensure that a request reaches the process that it is meant for.
struct ConnectionCheck {
    std::string name; ///< Not empty. A connection that has passed a check is not checked again under the same name.
    HttpRequest request;
    std::function<bool(const HttpResponse&)> passes;
};

/// What the timeout of a request limits.
enum class TimeoutScope : uint8_t {
    Exchange, ///< The time until the response is complete.
    Silence, ///< The time until the next bytes of the response, which may be large for the link.
};

/// HTTP client for one server address, with a pool of persistent connections.
///
/// Each callback is called once, from the loop. Destroying the client drops the callbacks of unfinished requests.
class HttpClient {
public:
    using Callback = std::function<void(HttpExchange)>;

    /// Runs at most `maxConnections` exchanges at once; other requests are queued, and their timeout includes the time
    /// in the queue. One whose timeout has passed there is not sent, also after a pause of the process. A response body
    /// over `maxResponseBytes` ends the exchange as `Unknown`.
    HttpClient(EventLoop& loop, Address address, size_t maxConnections, size_t maxResponseBytes = maxBodyBytes);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request`. The exchange ends as `Unknown` or `NotSent` if there is no response within `timeout`.
    /// With `check`, it is sent only on a connection that has passed this check.
    void send(HttpRequest request, Duration timeout, Callback callback, TimeoutScope scope = TimeoutScope::Exchange,
        std::optional<ConnectionCheck> check = std::nullopt);

    /// Closes the idle connections, for example after a response that belongs to another request.
    void closeIdle();

    const Address& address() const { return m_address; }

private:
    static void releaseCore(int, short, void* core);

    class Exchange;
    struct Connection;
    struct PendingRequest;
    struct Core;

    Address m_address;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
