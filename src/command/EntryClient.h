#pragma once

#include "protocol/Http.h"
#include "state/Json.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Result of an operator's request.
struct EntryResult {
    enum class Status : uint8_t {
        Answered,
        Unreachable, ///< Not executed: no entry received the request.
        Unknown, ///< Sent, but no complete response was received.
    };

    Status status { Status::Unreachable };
    HttpResponse response; ///< Valid if `status` is `Answered`.
    Address entry; ///< The entry that was tried.

    bool isSuccess() const { return status == Status::Answered && response.status / 100 == 2; }

    /// Response body parsed as JSON; null if it is not valid JSON.
    Json json() const;

    /// Exit code for this result.
    int exitCode() const;
};

/// Blocking client that tries the entries in order.
class EntryClient {
public:
    EntryClient(std::vector<Address> entries, Duration timeout);

    /// Sends to the first entry, and retries on the next one if the request was certainly not executed: not sent, or
    /// answered with 503 and the outcome `not-run`. A GET without a response is also retried.
    EntryResult send(const std::string& method, const std::string& path, const Json& body = nullptr);

    /// Sends to one entry only.
    EntryResult sendTo(const Address& entry, const std::string& method, const std::string& path, const Json& body);

    /// Blocks the calling thread.
    void sleep(Duration duration);

    const std::vector<Address>& entries() const { return m_entries; }

private:
    std::vector<Address> m_entries;
    Duration m_timeout;
    EventLoop m_loop;
};

/// Percent-encodes all bytes but letters, digits and `-_.~`, for use in a path segment or a query value.
std::string percentEncode(std::string_view text);

} // namespace hemlocklead
