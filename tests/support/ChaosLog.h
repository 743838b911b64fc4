#pragma once

#include "support/LogStore.h"

#include "base/Clock.h"

#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace hemlocklead {

/// LogService of one process on a shared LogStore. Each operation takes effect and is answered after a random delay.
/// Appends may be refused, lost, stored without an answer, or stored late.
class ChaosLog final : public LogService {
public:
    ChaosLog(LogStore& store, const Clock& clock, std::mt19937_64& random)
        : m_store(store)
        , m_clock(clock)
        , m_random(random)
    {
    }

    /// Makes operations fail at random and delays the others for longer.
    void setFaulty(bool faulty) { m_faulty = faulty; }
    /// Reads get no page and no append is confirmed. If the log is also faulty, appends may be stored up to 3.5 s
    /// later.
    void setDown(bool down) { m_down = down; }

    /// Appends are stored at once but never answered; reads are never answered.
    void setSilent(bool silent) { m_silent = silent; }

    void append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done) override
    {
        if (m_silent) {
            m_store.append(stream, data);
            return;
        }
        const uint64_t fault = m_faulty ? m_random() % 40 : 40;
        if (m_down && fault % 2 == 0) {
            answerLater([done] { done({ AppendOutcome::Status::NotStored, 0 }); });
            return;
        }
        // Effects and answers are queued separately, so operations in flight take effect even if their process is
        // paused or dead.
        const Duration toLog = m_down || fault == 0 ? Duration { 500 + m_random() % 3000 } : shortDelay();
        const bool isLost = fault == 1;
        const bool isAnswered = !m_down && fault > 2;
        if (!isAnswered)
            answerLater([done] { done({ AppendOutcome::Status::Unknown, 0 }); });
        if (isLost)
            return;
        m_effects.push_back({ m_clock.now() + toLog, [this, stream, data, done, isAnswered] {
                                 const uint64_t offset = m_store.append(stream, data);
                                 if (isAnswered)
                                     answerLater([done, offset] { done({ AppendOutcome::Status::Stored, offset }); });
                             } });
    }

    void read(const std::string& stream, uint64_t from, size_t limit,
        std::function<void(std::optional<LogPage>)> done) override
    {
        if (m_silent)
            return;
        if (m_down || (m_faulty && m_random() % 30 == 0)) {
            answerLater([done] { done(std::nullopt); });
            return;
        }
        m_effects.push_back({ m_clock.now() + shortDelay(), [this, stream, from, limit, done] {
                                 answerLater([done, page = m_store.read(stream, from, limit)] { done(page); });
                             } });
    }

    /// Applies the operations that are due to the log store; called also while the process is paused or dead.
    void runEffects() { runDue(m_effects); }

    /// Delivers the answers that are due.
    void runAnswers() { runDue(m_answers); }

    /// Drops pending answers, as when the process dies. Operations already sent still take effect.
    void dropAnswers() { m_answers.clear(); }

private:
    struct Event {
        Instant at;
        std::function<void()> run;
    };

    Duration shortDelay() { return Duration { m_random() % (m_faulty ? 60 : 10) }; }
    void answerLater(std::function<void()> run)
    {
        m_answers.push_back({ m_clock.now() + shortDelay(), std::move(run) });
    }

    void runDue(std::vector<Event>& events)
    {
        std::vector<Event> due;
        std::erase_if(events, [&](Event& event) {
            if (event.at > m_clock.now())
                return false;
            due.push_back(std::move(event));
            return true;
        });
        for (const Event& event : due)
            event.run();
    }

    LogStore& m_store;
    const Clock& m_clock;
    std::mt19937_64& m_random;
    bool m_faulty { false };
    bool m_down { false };
    bool m_silent { false };
    std::vector<Event> m_effects;
    std::vector<Event> m_answers;
};

} // namespace hemlocklead
