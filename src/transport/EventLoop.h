#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <vector>

struct event;
struct event_base;

namespace hemlocklead {

/// The process's single-threaded libevent loop. The constructor sets SIGPIPE to be ignored.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs until `stop` is called.
    void run();

    /// Makes `run` return after the current callback.
    void stop();

    /// Calls `handler` in the loop on each SIGTERM or SIGINT.
    void onTerminate(std::function<void()> handler);

    /// Calls `handler` in the loop on each SIGHUP, which otherwise terminates the process.
    void onReload(std::function<void()> handler);

    event_base* native() const { return m_base; }

private:
    event_base* m_base;
    void watchSignal(int number, void (*callback)(int, short, void*));

    std::function<void()> m_onTerminate;
    std::function<void()> m_onReload;
    std::vector<event*> m_signals;
};

/// Timer that runs in an event loop. Destroying it cancels it. It may be restarted or destroyed inside its own
/// callback.
class Timer {
public:
    /// Order of the callbacks that are due in the same pass of the loop.
    enum class Priority : uint8_t {
        BeforeInputOutput, ///< Also after a pause of the process. For rare timers: input and output wait for them.
        Normal, ///< After the sockets that are ready.
    };

    explicit Timer(EventLoop& loop, Priority priority = Priority::Normal);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Calls `callback` once after `delay`. Replaces an earlier schedule.
    void startOnce(Duration delay, std::function<void()> callback);

    /// Calls `callback` every `interval`. Replaces an earlier schedule.
    void startRepeating(Duration interval, std::function<void()> callback);

    void cancel();

    /// Replaces the callback without changing the expiry time.
    void setCallback(std::function<void()> callback) { m_callback = std::move(callback); }

private:
    void arm(Duration delay);
    static void fired(int, short, void* self);

    event* m_event;
    Duration m_interval { 0 };
    std::function<void()> m_callback;
};

} // namespace hemlocklead
