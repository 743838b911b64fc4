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

/// One request of a CallLoad.
struct CallRecord {
    size_t entry { 0 };
    std::string testId;
    bool isIdempotent { false };
    int64_t sentAt { 0 }; ///< In CLOCK_MONOTONIC milliseconds.
    std::optional<HttpResponse> response;

    /// Entry, test id, time and response, for failure messages.
    std::string describe() const;
};

/// Sends requests with distinct `X-Test-Id` to the entries in turn from several threads, alternating between GET
/// (idempotent) and POST (not idempotent).
class CallLoad {
public:
    /// `name` is the catalogue entry that is called.
    CallLoad(const TestSite& site, std::string name);
    ~CallLoad();
    CallLoad(const CallLoad&) = delete;
    CallLoad& operator=(const CallLoad&) = delete;

    /// Sends no further requests to this entry.
    void exclude(size_t entry) { m_excludedEntry = static_cast<int>(entry); }

    /// Stops sending, waits for the outstanding responses and returns all records.
    std::vector<CallRecord> stop();

private:
    void run(size_t caller);
    CallRecord call(size_t entry, size_t caller, size_t number) const;

    const TestSite& m_site;
    std::string m_name;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_excludedEntry { -1 };
    std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::vector<std::thread> m_threads;
};

/// Descriptions of the requests for which `isCompleteOwnResponse` is false; empty if there are none.
std::string failedCalls(const std::vector<CallRecord>& records);

/// True if the response has status 200, the outcome `done`, and a complete body with the test id of the request.
bool isCompleteOwnResponse(const CallRecord& record);

} // namespace hemlocklead
