#pragma once

#include "base/Clock.h"
#include "dispatch/Journal.h"

#include <map>

namespace hemlocklead {

/// Delays that fire when the test moves a manual clock.
class ManualDelays final : public dispatch::Delays {
public:
    explicit ManualDelays(ManualClock& clock)
        : m_clock(clock)
    {
    }

    void after(Duration delay, std::function<void()> call) override
    {
        m_calls.emplace(m_clock.now() + delay, std::move(call));
    }

    /// Moves the clock by `time`, a millisecond at a time, and makes the calls that are due.
    void run(Duration time)
    {
        for (Duration passed { 0 }; passed < time; passed += Duration { 1 }) {
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
