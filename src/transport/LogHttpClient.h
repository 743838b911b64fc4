#pragma once

#include "coordination/LogService.h"
#include "transport/HttpClient.h"

namespace hemlocklead {

/// Maximum body size of a log record or page. Snapshots of a shard are the largest bodies.
constexpr size_t maxLogBodyBytes = 64 * 1024 * 1024;

/// Client of the platform's log over HTTP:
///
/// `POST /streams/NAME` with the record as body -> 200 `{"offset": N}`
/// `GET /streams/NAME?from=N&limit=M` -> 200 `{"first", "end", "records": [{"offset", "data"}]}`
class LogHttpClient final : public LogService {
public:
    /// An operation without a complete response within `timeout` counts as unanswered.
    LogHttpClient(EventLoop& loop, Address address, Duration timeout = Duration { 5000 });

    /// Reports `NotStored` if the request was not sent or the log rejected it (status 4xx), and `Unknown` for any other
    /// result without an offset.
    void append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done) override;

    /// Reports no page unless the response has status 200 and a well-formed body.
    void read(const std::string& stream, uint64_t from, size_t limit,
        std::function<void(std::optional<LogPage>)> done) override;

private:
    const Duration m_timeout;
    HttpClient m_client;
};

} // namespace hemlocklead
