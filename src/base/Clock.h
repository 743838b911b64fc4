#pragma once

#include <chrono>
#include <ctime>

namespace hemlocklead {

using Duration = std::chrono::milliseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;

/// Source of monotonic time. Passed to its users so that tests can substitute a `ManualClock`.
class Clock {
public:
    virtual ~Clock() = default;

    /// Monotonic time of this host, in milliseconds. Not comparable between hosts.
    virtual Instant now() const = 0;

    /// The same time in microseconds, for measuring latencies and trace spans.
    virtual std::chrono::microseconds preciseNow() const { return now().time_since_epoch(); }
};

/// The steady clock of the system.
class SystemClock final : public Clock {
public:
    Instant now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
    std::chrono::microseconds preciseNow() const override
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now().time_since_epoch());
    }
};

/// Monotonic clock that also counts the time in which the host is suspended, unlike the steady clock. Leases that
/// expired during a suspension are therefore seen as expired.
class BootClock final : public Clock {
public:
    Instant now() const override { return Instant(std::chrono::duration_cast<Duration>(preciseNow())); }
    std::chrono::microseconds preciseNow() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Clock for tests that moves only through `advance`.
class ManualClock final : public Clock {
public:
    Instant now() const override { return m_now; }

    /// Moves the clock forward by `step`.
    void advance(Duration step) { m_now += step; }

private:
    Instant m_now { Duration { 1'000'000 } };
};

} // namespace hemlocklead
