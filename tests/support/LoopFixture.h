#pragma once

#include "base/Counters.h"
#include "support/FreePort.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>

#include <functional>

namespace hemlocklead {

/// Fixture with an event loop and the system clock.
class LoopFixture : public testing::Test {
protected:
    /// Runs the loop until `condition` is true or `limit` has passed. Returns the final value of `condition`.
    bool runUntil(const std::function<bool()>& condition, Duration limit = Duration { 5000 })
    {
        const Instant end = m_clock.now() + limit;
        Timer check(m_loop);
        check.startRepeating(Duration { 2 }, [&] {
            if (condition() || m_clock.now() > end)
                m_loop.stop();
        });
        m_loop.run();
        return condition();
    }

    void runFor(Duration time)
    {
        const Instant end = m_clock.now() + time;
        runUntil([&] { return m_clock.now() >= end; }, time + Duration { 1000 });
    }

    EventLoop m_loop;
    SystemClock m_clock;
    Counters m_counters;
};

} // namespace hemlocklead
