#pragma once

#include "support/TestSite.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hemlocklead {

/// One request of a CallLoad. Times are CLOCK_MONOTONIC milliseconds.
struct CallRecord {
    size_t entry { 0 };
    std::string testId;
    bool isIdempotent { false };
    int64_t sentAt { 0 };
    std::optional<HttpResponse> response;

    /// Entry, test id, time and response, for a failing test.
    std::string describe() const;
};

/// A steady load of requests with distinct `X-Test-Id`, half of them idempotent (GET) and half not (POST), over the
/// entries in turn.
class CallLoad {
public:
    /// `name` is the catalogue entry that is called.
    CallLoad(const TestSite& site, std::string name);
    ~CallLoad();
    CallLoad(const CallLoad&) = delete;
    CallLoad& operator=(const CallLoad&) = delete;

    /// From now on no request goes to this entry.
    void avoid(size_t entry) { m_avoided = static_cast<int>(entry); }

    /// Waits for the responses to all requests and returns all records.
    std::vector<CallRecord> stop();

private:
    void run(size_t caller);
    CallRecord call(size_t entry, size_t caller, size_t number) const;

    const TestSite& m_site;
    std::string m_name;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_avoided { -1 };
    std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::vector<std::thread> m_threads;
};

/// Descriptions of the requests without a whole 200 response to themselves; empty when there is none.
std::string failedCalls(const std::vector<CallRecord>& records);

/// Whether the response is a 200 with a whole body that carries the request's own test id.
bool isOwnWholeResponse(const CallRecord& record);

} // namespace hemlocklead
