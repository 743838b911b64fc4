#include "transport/EventLoop.h"

#include <event2/event.h>

#include <csignal>

namespace hemlocklead {

namespace {

    /// Number of values of `Timer::Priority`. libevent gives the middle one, 1, to all other events.
    constexpr int priorities = 2;

    /// A pass of the loop ends early after this time, so that a pause of the process within a callback is followed by
    /// the timers that ran out meanwhile, not by sockets that were ready before. Below the shortest timeout that bounds
    /// a start (1 s).
    constexpr timeval maxPassTime { 0, 100'000 };

    event_base* newBase()
    {
        event_config* config = event_config_new();
        event_config_set_max_dispatch_interval(config, &maxPassTime, -1, static_cast<int>(Timer::Priority::Normal));
        event_base* base = event_base_new_with_config(config);
        event_config_free(config);
        event_base_priority_init(base, priorities);
        return base;
    }

} // namespace

EventLoop::EventLoop()
    : m_base(newBase())
{
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    for (event* signal : m_signals)
        event_free(signal);
    event_base_free(m_base);
}

void EventLoop::run() { event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(m_base); }

void EventLoop::onTerminate(std::function<void()> handler)
{
    m_onTerminate = std::move(handler);
    const auto callback = [](evutil_socket_t, short, void* self) { static_cast<EventLoop*>(self)->m_onTerminate(); };
    for (const int number : { SIGTERM, SIGINT })
        watchSignal(number, callback);
}

void EventLoop::onReload(std::function<void()> handler)
{
    m_onReload = std::move(handler);
    watchSignal(SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<EventLoop*>(self)->m_onReload(); });
}

void EventLoop::watchSignal(int number, void (*callback)(int, short, void*))
{
    for (const event* signal : m_signals) {
        if (event_get_signal(signal) == number)
            return;
    }
    m_signals.push_back(evsignal_new(m_base, number, callback, this));
    event_add(m_signals.back(), nullptr);
}

Timer::Timer(EventLoop& loop, Priority priority)
    : m_event(evtimer_new(loop.native(), &Timer::fired, this))
{
    event_priority_set(m_event, static_cast<int>(priority));
}

Timer::~Timer() { event_free(m_event); }

void Timer::startOnce(Duration delay, std::function<void()> callback)
{
    m_interval = Duration { 0 };
    m_callback = std::move(callback);
    arm(delay);
}

void Timer::startRepeating(Duration interval, std::function<void()> callback)
{
    m_interval = interval;
    m_callback = std::move(callback);
    arm(interval);
}

void Timer::cancel() { event_del(m_event); }

void Timer::arm(Duration delay)
{
    const timeval time { delay.count() / 1000, delay.count() % 1000 * 1000 };
    event_add(m_event, &time);
}

void Timer::fired(int, short, void* self)
{
    auto* timer = static_cast<Timer*>(self);
    if (timer->m_interval.count() > 0)
        timer->arm(timer->m_interval);
    // Calls a copy, because the callback may destroy the timer.
    const std::function<void()> callback = timer->m_callback;
    callback();
}

} // namespace hemlocklead
