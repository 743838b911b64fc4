#pragma once

#include "dispatch/Dispatcher.h"
#include "dispatch/JobRequestHandler.h"
#include "dispatch/Ownership.h"
#include "dispatch/RouteTable.h"
#include "node/HostLinks.h"
#include "node/LoopDelays.h"

namespace hemlocklead {

/// The parts of an entry that keeps its jobs in a journal: its copy of the journal, the desk for callers and, while it
/// owns the jobs, the dispatcher.
class DispatchEntry {
public:
    struct Settings {
        std::string name;
        double processorShare { 0 };
        Duration pass { 25 }; ///< Between two passes of the owner; records gather meanwhile.
        Duration housekeeping { 100 }; ///< Between two checks of the ownership and of the links.
        Duration ownerPause { 20 }; ///< Between two reads of the journal by the owner.
        Duration copyPause { 120 }; ///< Between two reads by the other entries; each read is a priced call.
        dispatch::Dispatcher::Settings dispatcher {};
    };

    /// The reads and the appends go over separate services, so that a waiting read delays no append.
    DispatchEntry(EventLoop& loop, dispatch::JournalService& reads, dispatch::JournalService& writes,
        dispatch::JournalService& callerWrites, Settings settings);

    void start();

    dispatch::JobRequestHandler& desk() { return m_desk; }
    dispatch::RouteTable& routes() { return m_routes; }
    Counters& counters() { return m_counters; }
    const Clock& clock() const { return m_clock; }

    /// The configuration or the set of closed data centres has changed.
    void routesChanged();

    /// Whether callers should be sent here.
    bool isReady() const;

    /// Gives up the ownership, for a planned stop.
    void release();

private:
    class SystemCalendar final : public dispatch::WallClock {
    public:
        int64_t unixMs() const override;
    };

    void announce();
    void keepHouse();
    void acquired(bool formerStopped);
    void lost();

    Settings m_settings;
    uint64_t m_incarnation;
    BootClock m_clock;
    SystemCalendar m_calendar;
    LoopDelays m_delays;
    Counters m_counters;
    dispatch::JournalService& m_callerWrites;
    dispatch::JobRegistry m_book;
    dispatch::JournalFollower m_follower;
    dispatch::JournalWriter m_writer;
    HostLinks m_links;
    dispatch::Dispatcher m_dispatcher;
    dispatch::Ownership m_ownership;
    dispatch::JobRequestHandler m_desk;
    dispatch::RouteTable m_routes;
    Timer m_houseTimer;
    Timer m_passTimer;
    bool m_releasing { false };
};

/// Random number that names one life of a process.
uint64_t randomIncarnation();

} // namespace hemlocklead
