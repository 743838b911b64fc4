#pragma once

#include "dispatch/Journal.h"

#include <algorithm>
#include <map>

namespace hemlocklead {

/// Keyed journal in memory. Depending on its mode, it answers at once, loses the answers to appends, or refuses calls.
class MemoryJournal final : public dispatch::JournalService {
public:
    enum class Mode : uint8_t {
        Normal,
        Refusing, ///< Calls fail; nothing is recorded or read.
        RefusingReads, ///< Reads fail; appends are recorded and answered.
        LosingAnswers, ///< Appends are recorded, but their outcome is reported as unknown.
    };

    void append(std::vector<dispatch::JournalRecord> records, std::optional<dispatch::AppendFence> fence, Duration,
        std::function<void(dispatch::AppendStatus)> done) override
    {
        ++appends;
        if (mode == Mode::Refusing)
            return done(dispatch::AppendStatus::NotDone);
        const dispatch::AppendStatus status = record(std::move(records), fence);
        done(mode == Mode::LosingAnswers ? dispatch::AppendStatus::Unknown : status);
    }

    void newest(const std::string& after, Duration, std::function<void(dispatch::NewestPage)> done) override
    {
        ++pages;
        if (refusesReads() || pagesLeft == 0)
            return done({});
        if (pagesLeft)
            --*pagesLeft;
        std::map<std::string, dispatch::JournalRecord> byKey;
        for (const dispatch::JournalRecord& record : m_records)
            byKey[record.key] = record;
        dispatch::NewestPage page { true, {}, false, m_records.size() };
        for (const auto& [key, record] : byKey) {
            if (key <= after || !record.value)
                continue;
            if (page.records.size() == pageSize) {
                page.hasMore = true;
                break;
            }
            page.records.push_back(record);
        }
        done(std::move(page));
    }

    void read(uint64_t from, Duration, Duration, std::function<void(dispatch::ReadResult)> done) override
    {
        using Status = dispatch::ReadResult::Status;
        if (refusesReads())
            return done({});
        if (from < firstRetained)
            return done({ Status::Expired, {}, 0 });
        dispatch::ReadResult result { Status::Ok, {}, m_records.size() };
        for (uint64_t offset = from; offset < m_records.size(); ++offset)
            result.records.push_back(m_records[offset]);
        done(std::move(result));
    }

    /// Value of the newest record of the key; empty if there is none.
    std::string value(const std::string& key) const
    {
        for (size_t i = m_records.size(); i-- > 0;) {
            if (m_records[i].key == key)
                return m_records[i].value.value_or("");
        }
        return {};
    }

    size_t size() const { return m_records.size(); }
    const std::vector<dispatch::JournalRecord>& records() const { return m_records; }

    Mode mode { Mode::Normal };
    size_t pageSize { 500 };
    std::optional<int> pagesLeft; ///< Number of pages of newest records before such reads fail; unlimited if empty.
    uint64_t firstRetained { 0 };
    int appends { 0 };
    int pages { 0 }; ///< Reads of newest records, also refused ones.

private:
    bool refusesReads() const { return mode == Mode::Refusing || mode == Mode::RefusingReads; }

    dispatch::AppendStatus record(
        std::vector<dispatch::JournalRecord> records, const std::optional<dispatch::AppendFence>& fence)
    {
        if (fence) {
            if (fence->epoch < m_epoch)
                return dispatch::AppendStatus::Fenced;
            // A repeated append gets the outcome of the first one.
            if (fence->epoch == m_epoch && fence->sequence == m_sequence)
                return dispatch::AppendStatus::Done;
            if (fence->epoch == m_epoch && fence->sequence != m_sequence + 1)
                return dispatch::AppendStatus::Rejected;
            m_epoch = fence->epoch;
            m_sequence = fence->sequence;
        }
        for (dispatch::JournalRecord& record : records) {
            record.offset = m_records.size();
            m_records.push_back(std::move(record));
        }
        return dispatch::AppendStatus::Done;
    }

    std::vector<dispatch::JournalRecord> m_records;
    uint64_t m_epoch { 0 };
    uint64_t m_sequence { 0 };
};

} // namespace hemlocklead
