#include "support/CallLoad.h"

#include "support/RunJournal.h"

namespace hemlocklead {

namespace {

    constexpr size_t callerCount = 4;
    constexpr Duration pauseBetweenCalls { 10 };

    /// Shorter than the time for which a test keeps a fault of a target active.
    constexpr const char* timeoutMs = "1500";

} // namespace

std::string CallRecord::describe() const
{
    const std::string result
        = response ? std::to_string(response->status) + ' ' + response->body : std::string("no response\n");
    return "entry " + std::to_string(entry) + ' ' + testId + " at " + std::to_string(sentAt) + ": " + result;
}

CallLoad::CallLoad(const TestSite& site, std::string name)
    : m_site(site)
    , m_name(std::move(name))
{
    for (size_t caller = 0; caller < callerCount; ++caller)
        m_threads.emplace_back([this, caller] { run(caller); });
}

CallLoad::~CallLoad() { stop(); }

std::vector<CallRecord> CallLoad::stop()
{
    m_stopped = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_records;
}

void CallLoad::run(size_t caller)
{
    for (size_t number = 0; !m_stopped; ++number) {
        const size_t entry = (number / 2 + caller) % m_site.entries().size();
        if (static_cast<int>(entry) == m_excludedEntry)
            continue;
        CallRecord record = call(entry, caller, number);
        {
            const std::lock_guard lock(m_mutex);
            m_records.push_back(std::move(record));
        }
        std::this_thread::sleep_for(pauseBetweenCalls);
    }
}

CallRecord CallLoad::call(size_t entry, size_t caller, size_t number) const
{
    CallRecord record;
    record.entry = entry;
    record.testId = "call-" + std::to_string(caller) + '-' + std::to_string(number);
    record.isIdempotent = number % 2 == 0;
    record.sentAt = journalNow();
    record.response = m_site.send(entry, record.isIdempotent ? "GET" : "POST", "/call/" + m_name + "/x", nullptr,
        { { "X-Test-Id", record.testId }, { "Hemlocklead-Timeout-Ms", timeoutMs } });
    return record;
}

bool isCompleteOwnResponse(const CallRecord& record)
{
    if (!record.response || record.response->status != 200)
        return false;
    const Json body = Json::parse(record.response->body, nullptr, false);
    return body.is_object() && body.value("test_id", "") == record.testId
        && record.response->header("Hemlocklead-Outcome") == "done";
}

std::string failedCalls(const std::vector<CallRecord>& records)
{
    std::string text;
    for (const CallRecord& record : records) {
        if (!isCompleteOwnResponse(record))
            text += record.describe();
    }
    return text;
}

} // namespace hemlocklead
