#pragma once

#include "support/ManualTimers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace hemlocklead {

/// One direction of a network link: bytes leave one after the other at a fixed rate and arrive after a delay.
class ThinLink {
public:
    ThinLink(ManualTimers& timers, const Clock& clock, double bytesPerSecond)
        : m_timers(timers)
        , m_clock(clock)
        , m_bytesPerSecond(bytesPerSecond)
    {
    }

    void send(size_t bytes, std::function<void()> arrive)
    {
        m_busyUntilMs = std::max(m_busyUntilMs, nowMs()) + 1000 * static_cast<double>(bytes) / m_bytesPerSecond;
        m_timers.after(Duration { static_cast<int64_t>(m_busyUntilMs - nowMs()) + delayMs }, std::move(arrive));
    }

    /// Time until the last byte sent so far has left.
    Duration queueTime() const { return Duration { static_cast<int64_t>(std::max(0.0, m_busyUntilMs - nowMs())) }; }

private:
    static constexpr int64_t delayMs = 4;

    double nowMs() const { return static_cast<double>(m_clock.now().time_since_epoch().count()); }

    ManualTimers& m_timers;
    const Clock& m_clock;
    double m_bytesPerSecond;
    double m_busyUntilMs { 0 };
};

/// Both directions of the link of one machine.
struct MachineLink {
    MachineLink(ManualTimers& timers, const Clock& clock, double bytesPerSecond)
        : in(timers, clock, bytesPerSecond)
        , out(timers, clock, bytesPerSecond)
    {
    }

    ThinLink in;
    ThinLink out;
};

/// A journal that is reached over a link. An answer that is late counts as lost, and its bytes use the link all the
/// same.
class LinkedJournal final : public dispatch::JournalService {
public:
    LinkedJournal(dispatch::JournalService& journal, MachineLink& link, ManualTimers& timers)
        : m_journal(journal)
        , m_link(link)
        , m_timers(timers)
    {
    }

    void append(std::vector<dispatch::JournalRecord> records, std::optional<dispatch::AppendFence> fence,
        Duration timeout, std::function<void(dispatch::AppendStatus)> done) override
    {
        const auto finish = withTimeout(timeout, dispatch::AppendStatus::Unknown, std::move(done));
        m_link.out.send(headerBytes + sizeOf(records), [this, records, fence, finish] {
            m_journal.append(records, fence, longTimeout, [this, finish](dispatch::AppendStatus status) {
                m_link.in.send(headerBytes, [finish, status] { finish(status); });
            });
        });
    }

    void newest(const std::string& after, Duration timeout, std::function<void(dispatch::NewestPage)> done) override
    {
        const auto finish = withTimeout(timeout, dispatch::NewestPage {}, std::move(done));
        m_link.out.send(headerBytes, [this, after, finish] {
            m_journal.newest(after, longTimeout, [this, finish](const dispatch::NewestPage& page) {
                // Values are encoded in base64.
                m_link.in.send(headerBytes + sizeOf(page.records) * 4 / 3, [finish, page] { finish(page); });
            });
        });
    }

    void read(uint64_t from, Duration wait, Duration timeout, std::function<void(dispatch::ReadResult)> done) override
    {
        const auto finish = withTimeout(timeout, dispatch::ReadResult {}, std::move(done));
        m_link.out.send(headerBytes, [this, from, wait, finish] {
            m_journal.read(from, wait, longTimeout, [this, finish](const dispatch::ReadResult& result) {
                m_link.in.send(headerBytes + sizeOf(result.records), [finish, result] { finish(result); });
            });
        });
    }

private:
    static constexpr size_t headerBytes = 200;
    static constexpr Duration longTimeout { 60'000 };

    static size_t sizeOf(const std::vector<dispatch::JournalRecord>& records)
    {
        size_t bytes = 0;
        for (const dispatch::JournalRecord& record : records)
            bytes += 5 + record.key.size() + record.value.value_or("").size();
        return bytes;
    }

    /// Calls `done` once: with the answer, or with `failure` after `timeout`.
    template <typename T>
    std::function<void(const T&)> withTimeout(Duration timeout, T failure, std::function<void(T)> done)
    {
        const auto pending = std::make_shared<std::function<void(T)>>(std::move(done));
        std::function<void(const T&)> finish = [pending](const T& result) {
            if (*pending)
                std::exchange(*pending, nullptr)(result);
        };
        m_timers.after(timeout, [finish, failure] { finish(failure); });
        return finish;
    }

    dispatch::JournalService& m_journal;
    MachineLink& m_link;
    ManualTimers& m_timers;
};

} // namespace hemlocklead
