#pragma once

#include "coordination/LogService.h"
#include "transport/HttpClient.h"

namespace hemlocklead {

/// Largest body of a record or a page of the log. Snapshots of a shard are larger than any other body.
constexpr size_t maxLogBodyBytes = 64 * 1024 * 1024;

/// The platform's log over HTTP:
///
/// `POST /streams/NAME` with the record as body -> 200 `{"offset": N}`
/// `GET /streams/NAME?from=N&limit=M` -> 200 `{"first", "end", "records": [{"offset", "data"}]}`
class LogHttpClient final : public LogService {
public:
    /// An operation without a whole response within `timeout` counts as not answered.
    LogHttpClient(EventLoop& loop, Address address, Duration timeout = Duration { 5000 });

    /// `NotStored` when the request was not sent or the log rejected it (status 4xx); `Unknown` for any other response
    /// without an offset.
    void append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done) override;

    /// No page for any response that is not 200 with a well-formed body.
    void read(const std::string& stream, uint64_t from, size_t limit,
        std::function<void(std::optional<LogPage>)> done) override;

private:
    const Duration m_timeout;
    HttpClient m_client;
};

} // namespace hemlocklead
