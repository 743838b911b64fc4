#pragma once

#include "coordination/LogService.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>

namespace hemlocklead {

/// In-memory store of log streams, shared by the log services of a test.
class LogStore {
public:
    /// Totals of one stream, including trimmed records.
    struct Stats {
        uint64_t appends { 0 };
        uint64_t bytes { 0 };
    };

    /// Stores a record and returns its offset. Trims the oldest record if the stream exceeds the retention.
    uint64_t append(const std::string& name, std::string data)
    {
        Stream& stream = m_streams[name];
        ++stream.stats.appends;
        stream.stats.bytes += data.size();
        stream.records.push_back(std::move(data));
        if (m_retention > 0 && stream.records.size() > m_retention)
            trim(name, stream.first + stream.records.size() - m_retention);
        return stream.first + stream.records.size() - 1;
    }

    LogPage read(const std::string& name, uint64_t from, size_t limit) const
    {
        const auto found = m_streams.find(name);
        if (found == m_streams.end())
            return {};
        const Stream& stream = found->second;
        LogPage page { stream.first, stream.first + stream.records.size(), {} };
        const uint64_t begin = std::max(from, page.first);
        for (uint64_t offset = begin; offset < page.end && page.records.size() < limit; ++offset)
            page.records.push_back({ offset, stream.records[offset - page.first] });
        return page;
    }

    /// Drops the records with offsets below `first`.
    void trim(const std::string& name, uint64_t first)
    {
        Stream& stream = m_streams[name];
        for (; stream.first < first && !stream.records.empty(); ++stream.first)
            stream.records.pop_front();
    }

    /// Sets the number of records retained per stream; 0 means unlimited.
    void setRetention(size_t records) { m_retention = records; }

    std::map<std::string, Stats> stats() const
    {
        std::map<std::string, Stats> all;
        for (const auto& [name, stream] : m_streams)
            all[name] = stream.stats;
        return all;
    }

private:
    struct Stream {
        uint64_t first { 0 };
        std::deque<std::string> records;
        Stats stats;
    };

    std::map<std::string, Stream> m_streams;
    size_t m_retention { 0 };
};

} // namespace hemlocklead
