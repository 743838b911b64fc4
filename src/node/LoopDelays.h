#pragma once

#include "dispatch/Journal.h"
#include "transport/EventLoop.h"

#include <list>
#include <memory>

namespace hemlocklead {

/// Delays on the process's loop.
class LoopDelays final : public dispatch::Timers {
public:
    explicit LoopDelays(EventLoop& loop);

    void after(Duration delay, std::function<void()> call) override;

private:
    EventLoop& m_loop;
    std::list<std::unique_ptr<Timer>> m_running;
    std::list<std::unique_ptr<Timer>> m_idle; ///< Reused, since most delays are short and frequent.
};

} // namespace hemlocklead
