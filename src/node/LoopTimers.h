#pragma once

#include "dispatch/Journal.h"
#include "transport/EventLoop.h"

#include <list>
#include <memory>

namespace hemlocklead {

/// Delayed calls on the event loop of the process.
class LoopTimers final : public dispatch::Timers {
public:
    explicit LoopTimers(EventLoop& loop);

    void after(Duration delay, std::function<void()> call) override;

private:
    EventLoop& m_loop;
    std::list<std::unique_ptr<Timer>> m_running;
    std::list<std::unique_ptr<Timer>> m_idle; ///< Kept for reuse, since delays are short and frequent.
};

} // namespace hemlocklead
