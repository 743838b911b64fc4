#pragma once

#include "TakeoverSimulation.h"

#include <algorithm>
#include <cstdlib>
#include <span>
#include <string>
#include <vector>

namespace hemlocklead {

/// A fault or a repair in a TakeoverSimulation.
struct SimulationEvent {
    const char* name;
    void (*apply)(TakeoverSimulation&);
};

/// Indexes of events, each at most once.
using EventOrder = std::vector<size_t>;

inline std::string describe(std::span<const SimulationEvent> events, const EventOrder& order)
{
    std::string text;
    for (const size_t event : order)
        text += (text.empty() ? "" : " ") + std::string(events[event].name);
    return text;
}

/// Calls `visit` with all orders of up to `maxEvents` of `count` events that begin with `begin`.
template <typename Visit> void forEachOrder(const EventOrder& begin, size_t count, size_t maxEvents, const Visit& visit)
{
    visit(begin);
    if (begin.size() == maxEvents)
        return;
    for (size_t event = 0; event < count; ++event) {
        if (std::ranges::find(begin, event) != begin.end())
            continue;
        EventOrder longer = begin;
        longer.push_back(event);
        forEachOrder(longer, count, maxEvents, visit);
    }
}

/// Number from the environment, to search more than a CI run does.
inline uint64_t searchSize(const char* variable, uint64_t inCi)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : inCi;
}

} // namespace hemlocklead
