#pragma once

#include "support/ManualTimers.h"
#include "support/MemoryJournal.h"

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace hemlocklead {

/// A MemoryJournal that takes time: it answers calls with a delay, appends one at a time, and refuses appends
/// when too many wait. Each entry has its own client, whose calls can be refused or lost.
class QueuedStore {
public:
    QueuedStore(ManualTimers& timers, const Clock& clock)
        : m_timers(timers)
        , m_clock(clock)
    {
    }

    class Client final : public dispatch::JournalService {
    public:
        explicit Client(QueuedStore& store)
            : m_store(store)
        {
        }

        void append(std::vector<dispatch::JournalRecord> records, std::optional<dispatch::AppendFence> fence,
            Duration timeout, std::function<void(dispatch::AppendStatus)> done) override
        {
            ++appends;
            const Answer<dispatch::AppendStatus> answer
                = m_store.answerWithin(timeout, dispatch::AppendStatus::Unknown, std::move(done));
            if (silent)
                return;
            m_store.enqueue(std::move(records), fence, refused, answer);
        }

        void newest(const std::string& after, Duration timeout, std::function<void(dispatch::NewestPage)> done) override
        {
            const auto answer = m_store.answerWithin(timeout, dispatch::NewestPage {}, std::move(done));
            if (!silent)
                m_store.reply(answer, refused ? dispatch::NewestPage {} : m_store.newestPage(after));
        }

        void read(
            uint64_t from, Duration wait, Duration timeout, std::function<void(dispatch::ReadResult)> done) override
        {
            const auto answer = m_store.answerWithin(timeout, dispatch::ReadResult {}, std::move(done));
            if (silent)
                return;
            if (refused)
                return m_store.reply(answer, dispatch::ReadResult {});
            m_store.waitForRecords(from, wait, answer);
        }

        bool refused { false }; ///< The store turns the entry away.
        bool silent { false }; ///< Calls are lost.
        int appends { 0 };

    private:
        QueuedStore& m_store;
    };

    /// Time from a call to its answer, besides the time in the queue.
    Duration answerTime { 4 };
    Duration appendTime { 1 };
    static constexpr Duration maxQueueTime { 2000 };

    const MemoryJournal& journal() const { return m_journal; }

private:
    template <typename T> using Answer = std::shared_ptr<std::function<void(T)>>;

    /// Calls `done` with `failure` after `timeout`, unless the answer is used before.
    template <typename T> Answer<T> answerWithin(Duration timeout, T failure, std::function<void(T)> done)
    {
        auto answer = std::make_shared<std::function<void(T)>>(std::move(done));
        m_timers.after(timeout, [answer, failure] { use(answer, failure); });
        return answer;
    }

    template <typename T> static void use(const Answer<T>& answer, const T& result)
    {
        if (*answer)
            std::exchange(*answer, nullptr)(result);
    }

    template <typename T> void reply(const Answer<T>& answer, T result)
    {
        m_timers.after(answerTime, [answer, result = std::move(result)] { use(answer, result); });
    }

    void enqueue(std::vector<dispatch::JournalRecord> records, std::optional<dispatch::AppendFence> fence, bool refused,
        const Answer<dispatch::AppendStatus>& answer)
    {
        const Instant begin = std::max(m_busyUntil, m_clock.now());
        if (refused || begin - m_clock.now() > maxQueueTime)
            return reply(answer, dispatch::AppendStatus::NotDone);
        m_busyUntil = begin + appendTime;
        m_timers.after(m_busyUntil - m_clock.now(), [this, records = std::move(records), fence, answer]() mutable {
            reply(answer, record(std::move(records), fence));
        });
    }

    dispatch::AppendStatus record(
        std::vector<dispatch::JournalRecord> records, const std::optional<dispatch::AppendFence>& fence)
    {
        auto status = dispatch::AppendStatus::Unknown;
        m_journal.append(
            std::move(records), fence, Duration { 0 }, [&](dispatch::AppendStatus result) { status = result; });
        for (const std::function<void()>& wake : std::exchange(m_waiting, {}))
            wake();
        return status;
    }

    dispatch::NewestPage newestPage(const std::string& after)
    {
        dispatch::NewestPage page;
        m_journal.newest(after, Duration { 0 }, [&](dispatch::NewestPage result) { page = std::move(result); });
        return page;
    }

    void waitForRecords(uint64_t from, Duration wait, const Answer<dispatch::ReadResult>& answer)
    {
        if (from < m_journal.size() || wait <= Duration { 0 })
            return reply(answer, readFrom(from));
        m_waiting.emplace_back([this, from, answer] { reply(answer, readFrom(from)); });
        m_timers.after(wait, [this, from, answer] { reply(answer, readFrom(from)); });
    }

    dispatch::ReadResult readFrom(uint64_t from)
    {
        dispatch::ReadResult result;
        m_journal.read(
            from, Duration { 0 }, Duration { 0 }, [&](dispatch::ReadResult records) { result = std::move(records); });
        return result;
    }

    ManualTimers& m_timers;
    const Clock& m_clock;
    MemoryJournal m_journal;
    std::vector<std::function<void()>> m_waiting; ///< Calls of reads that wait for the next record.
    Instant m_busyUntil {};
};

} // namespace hemlocklead
