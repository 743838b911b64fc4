#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/Ownership.h"
#include "protocol/Codec.h"
#include "support/FixedWallClock.h"
#include "support/ManualTimers.h"
#include "support/MemoryJournal.h"

#include <algorithm>

namespace hemlocklead::dispatch {

/// Records the orders of all hosts.
class RecordingSender final : public OrderSender {
public:
    void send(const std::string& host, HostOrders orders) override
    {
        for (const RunOrder& start : orders.starts)
            starts.emplace_back(host, start);
        for (const RunStop& stop : orders.stops)
            stops.emplace_back(host, stop);
        for (const RunOrder& run : orders.known)
            described.emplace_back(host, run);
        for (const RunPause& pause : orders.pauses)
            pauses.emplace_back(host, pause);
        if (!orders.starts.empty())
            lastStartsValidMs = orders.startsValidMs;
        acknowledged[host] = orders.acknowledgedEnds;
        ++messages;
        const size_t bytes = encodeFrame(orders).size();
        largestMessage = std::max(largestMessage, bytes);
        totalBytes += bytes;
    }

    std::vector<std::pair<std::string, RunOrder>> starts;
    std::vector<std::pair<std::string, RunStop>> stops;
    std::vector<std::pair<std::string, RunOrder>> described; ///< Runs that were known to be running.
    std::vector<std::pair<std::string, RunPause>> pauses;
    std::map<std::string, uint64_t> acknowledged;
    int64_t lastStartsValidMs { 0 }; ///< Of the last message with starts.
    int messages { 0 };
    size_t largestMessage { 0 }; ///< Bytes of its frame.
    size_t totalBytes { 0 };
};

/// One entry: its copy of the journal, and the dispatcher and ownership that work on it.
struct Entry {
    Entry(const std::string& name, MemoryJournal& journal, ManualTimers& timers, ManualClock& clock,
        const Dispatcher::Settings& settings = {})
        : registry(clock, counters)
        , follower(journal, timers, clock, registry, {})
        , writer(journal, timers, clock, {})
        , dispatcher(registry, follower, writer, sender, clock, wallClock, counters, settings)
        , ownership(registry, follower, journal, writer, clock, counters,
              { .entry = name, .incarnation = std::hash<std::string>()(name) },
              { [this](uint64_t, bool stopped) { dispatcher.activate(stopped); },
                  [this] {
                      dispatcher.deactivate();
                      follower.restart();
                  } })
    {
        registry.setListener(&dispatcher);
        dispatcher.setClosedDataCentres({});
        follower.start();
    }

    Counters counters;
    RecordingSender sender;
    FixedWallClock wallClock;
    JobRegistry registry;
    JournalFollower follower;
    JournalWriter writer;
    Dispatcher dispatcher;
    Ownership ownership;
};

} // namespace hemlocklead::dispatch
