#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/JobRequestHandler.h"
#include "dispatch/Ownership.h"
#include "dispatch/RouteTable.h"
#include "node/HostLinks.h"
#include "node/LoopTimers.h"

namespace hemlocklead {

/// The components of an entry that keeps its jobs in a journal: the state rebuilt from the journal, the handler of
/// callers' requests and, while the entry owns the jobs, the dispatcher.
class DispatchEntry {
public:
    struct Settings {
        std::string name;
        double processorShare { 0 };
        Duration cycleInterval { 25 }; ///< Between two scheduling cycles of the owner; records accumulate meanwhile.
        Duration housekeepingInterval { 100 }; ///< Between two checks of the ownership and of the host links.
        Duration ownerReadInterval { 20 }; ///< Between two reads of the journal by the owner.
        /// Between two reads by the other entries; the platform charges for each read.
        Duration followerReadInterval { 120 };
        dispatch::Dispatcher::Settings dispatcher {};
    };

    /// Reads and appends use separate services, so that a waiting read does not delay an append.
    DispatchEntry(EventLoop& loop, dispatch::JournalService& reads, dispatch::JournalService& writes,
        dispatch::JournalService& callerWrites, Settings settings);

    void start();

    dispatch::JobRequestHandler& jobRequests() { return m_jobRequests; }
    dispatch::RouteTable& routes() { return m_routes; }
    Counters& counters() { return m_counters; }
    const Clock& clock() const { return m_clock; }

    /// Passes a changed configuration or set of closed data centres to the dispatcher.
    void routesChanged();

    /// Whether this entry can serve callers.
    bool isReady() const;

    /// Releases the ownership for a planned stop, once the append in progress has ended.
    void release();

private:
    class SystemWallClock final : public dispatch::WallClock {
    public:
        int64_t unixMs() const override;
    };

    void announce();
    void runHousekeeping();
    void ownershipAcquired(bool formerStopped);
    void ownershipLost();

    Settings m_settings;
    uint64_t m_incarnation;
    BootClock m_clock;
    SystemWallClock m_wallClock;
    LoopTimers m_timers;
    Counters m_counters;
    dispatch::JournalService& m_callerWrites;
    dispatch::JobRegistry m_jobs;
    dispatch::JournalFollower m_follower;
    dispatch::JournalWriter m_writer;
    HostLinks m_links;
    dispatch::Dispatcher m_dispatcher;
    dispatch::Ownership m_ownership;
    dispatch::JobRequestHandler m_jobRequests;
    dispatch::RouteTable m_routes;
    Timer m_housekeepingTimer;
    Timer m_cycleTimer;
    bool m_releasing { false };
};

/// Random number that identifies one incarnation of a process.
uint64_t randomIncarnation();

} // namespace hemlocklead
