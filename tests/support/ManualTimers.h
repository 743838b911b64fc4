#pragma once

#include "base/Clock.h"
#include "dispatch/Journal.h"

#include <map>

namespace hemlocklead {

/// Timers that fire when the test advances a manual clock.
class ManualTimers final : public dispatch::Timers {
public:
    explicit ManualTimers(ManualClock& clock)
        : m_clock(clock)
    {
    }

    void after(Duration delay, std::function<void()> call) override
    {
        m_calls.emplace(m_clock.now() + delay, std::move(call));
    }

    /// Discards all calls, as the end of their process does.
    void clear() { m_calls.clear(); }

    /// Advances the clock by `time` in steps of a millisecond and runs the calls that are due.
    void run(Duration time)
    {
        for (Duration elapsed { 0 }; elapsed < time; elapsed += Duration { 1 }) {
            m_clock.advance(Duration { 1 });
            while (!m_calls.empty() && m_calls.begin()->first <= m_clock.now()) {
                const auto call = m_calls.extract(m_calls.begin());
                call.mapped()();
            }
        }
    }

private:
    ManualClock& m_clock;
    std::multimap<Instant, std::function<void()>> m_calls;
};

} // namespace hemlocklead
