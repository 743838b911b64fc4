#pragma once

#include "support/ManualTimers.h"

#include <memory>
#include <utility>

namespace hemlocklead {

/// Timers of one simulated process. Calls that are due while it is paused are made when it resumes, and calls that are
/// due after it has ended are not made.
class ProcessTimers final : public dispatch::Timers {
public:
    ProcessTimers(ManualTimers& timers, const Clock& clock)
        : m_timers(timers)
        , m_clock(clock)
    {
    }

    void after(Duration delay, std::function<void()> call) override
    {
        m_timers.after(delay, [this, alive = std::weak_ptr(m_alive), call = std::move(call)] {
            if (alive.expired())
                return;
            if (isPaused())
                return after(m_pausedUntil - m_clock.now(), call);
            call();
        });
    }

    void pause(Duration time) { m_pausedUntil = m_clock.now() + time; }
    bool isPaused() const { return m_clock.now() < m_pausedUntil; }

    /// Expires when the process ends.
    std::weak_ptr<bool> alive() const { return m_alive; }

private:
    ManualTimers& m_timers;
    const Clock& m_clock;
    Instant m_pausedUntil {};
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace hemlocklead
