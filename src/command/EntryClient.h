#pragma once

#include "protocol/Http.h"
#include "state/Json.h"
#include "transport/Address.h"
#include "transport/EventLoop.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// How an operator's request ended.
struct EntryAnswer {
    enum class Status : uint8_t {
        Answered,
        Unreachable, ///< Provably not run: no entry got it.
        Unknown, ///< Sent without a whole response.
    };

    Status status { Status::Unreachable };
    HttpResponse response; ///< Valid when answered.
    Address entry; ///< The entry that answered last.

    bool isDone() const { return status == Status::Answered && response.status / 100 == 2; }

    /// Body as JSON; null when it is none.
    Json json() const;

    /// Exit code for this answer.
    int exitCode() const;
};

/// Sends requests to the entries, one after the other, and waits for the response.
class EntryClient {
public:
    EntryClient(std::vector<Address> entries, Duration timeout);

    /// Sends to the first entry, and to the next one when the request was provably not run: not sent, or answered by
    /// 503 with the outcome `not-run`. A GET without a response also goes to the next one.
    EntryAnswer send(const std::string& method, const std::string& path, const Json& body = nullptr);

    /// Sends to one entry only.
    EntryAnswer sendTo(const Address& entry, const std::string& method, const std::string& path, const Json& body);

    /// Waits in this thread.
    void sleep(Duration duration);

    const std::vector<Address>& entries() const { return m_entries; }

private:
    std::vector<Address> m_entries;
    Duration m_timeout;
    EventLoop m_loop;
};

/// `text` with the bytes escaped that are not allowed in a path segment.
std::string percentEncode(std::string_view text);

} // namespace hemlocklead
