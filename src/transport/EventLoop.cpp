#include "transport/EventLoop.h"

#include <event2/event.h>

#include <csignal>

namespace hemlocklead {

EventLoop::EventLoop()
    : m_base(event_base_new())
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

Timer::Timer(EventLoop& loop)
    : m_event(evtimer_new(loop.native(), &Timer::fired, this))
{
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
