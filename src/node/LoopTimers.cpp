#include "node/LoopTimers.h"

#include <utility>

namespace hemlocklead {

LoopTimers::LoopTimers(EventLoop& loop)
    : m_loop(loop)
{
}

void LoopTimers::after(Duration delay, std::function<void()> call)
{
    if (m_idle.empty())
        m_idle.push_back(std::make_unique<Timer>(m_loop));
    m_running.splice(m_running.begin(), m_idle, m_idle.begin());
    const auto position = m_running.begin();
    (*position)->startOnce(delay, [this, position, call = std::move(call)] {
        m_idle.splice(m_idle.begin(), m_running, position);
        call();
    });
}

} // namespace hemlocklead
