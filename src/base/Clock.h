#pragma once

#include <chrono>
#include <ctime>

namespace hemlocklead {

using Duration = std::chrono::milliseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;

/// Source of monotonic time, passed in so that tests drive the code with a manual clock.
class Clock {
public:
    virtual ~Clock() = default;

    /// Monotonic time of this host, in milliseconds. Not comparable between hosts.
    virtual Instant now() const = 0;

    /// The same clock in microseconds, for measured latencies and spans.
    virtual std::chrono::microseconds preciseNow() const { return now().time_since_epoch(); }
};

/// Clock of the running process.
class SystemClock final : public Clock {
public:
    Instant now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
    std::chrono::microseconds preciseNow() const override
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now().time_since_epoch());
    }
};

/// Clock of a process on a host that may be suspended: it counts the time of the suspension, which the steady clock
/// does not, so leases that ended meanwhile are seen to have ended.
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

/// Clock that moves only when told to.
class ManualClock final : public Clock {
public:
    Instant now() const override { return m_now; }

    /// Moves the clock forward by `step`.
    void advance(Duration step) { m_now += step; }

private:
    Instant m_now { Duration { 1'000'000 } };
};

} // namespace hemlocklead
