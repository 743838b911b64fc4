#include "node/DispatchEntry.h"

#include "base/Log.h"

#include <chrono>
#include <random>

namespace hemlocklead {

namespace {

    constexpr Duration announceTimeout { 1000 };
    constexpr Duration announceRetryDelay { 500 };

    /// Below 53 bits, so that incarnations are exact as JSON numbers.
    constexpr size_t incarnationBits = 48;

} // namespace

uint64_t randomIncarnation()
{
    std::random_device device;
    const uint64_t high = device();
    return (high << 32 | device()) & ((uint64_t { 1 } << incarnationBits) - 1);
}

int64_t DispatchEntry::SystemWallClock::unixMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

DispatchEntry::DispatchEntry(EventLoop& loop, dispatch::JournalService& reads, dispatch::JournalService& writes,
    dispatch::JournalService& callerWrites, Settings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomIncarnation())
    , m_timers(loop)
    , m_callerWrites(callerWrites)
    , m_jobs(m_clock, m_counters)
    , m_follower(reads, m_timers, m_clock, m_jobs, { .minReadInterval = m_settings.followerReadInterval })
    , m_writer(writes, m_timers, m_clock, {})
    , m_links(loop, m_clock, m_jobs, {})
    , m_dispatcher(m_jobs, m_follower, m_writer, m_links, m_clock, m_wallClock, m_counters, m_settings.dispatcher)
    , m_ownership(m_jobs, m_follower, writes, m_writer, m_clock, m_counters,
          { .entry = m_settings.name, .incarnation = m_incarnation },
          { [this](uint64_t, bool formerStopped) { ownershipAcquired(formerStopped); }, [this] { ownershipLost(); } })
    , m_jobRequests(m_jobs, m_follower, callerWrites, m_timers, m_clock, m_counters,
          { .admissionByBacklog = m_settings.dispatcher.admissionByBacklog })
    , m_housekeepingTimer(loop)
    , m_cycleTimer(loop)
{
    m_links.setDispatcher(m_dispatcher);
    m_jobs.setListener(&m_dispatcher);
}

void DispatchEntry::start()
{
    m_follower.start();
    announce();
    m_housekeepingTimer.startRepeating(m_settings.housekeepingInterval, [this] { runHousekeeping(); });
}

void DispatchEntry::announce()
{
    const std::string value
        = dispatch::entryValue({ m_incarnation, m_settings.processorShare, dispatch::recordFormatVersion });
    m_callerWrites.append({ { dispatch::entryKey(m_settings.name), value, 0 } }, std::nullopt, announceTimeout,
        [this](dispatch::AppendStatus status) {
            if (status != dispatch::AppendStatus::Done)
                m_timers.after(announceRetryDelay, [this] { announce(); });
        });
}

void DispatchEntry::runHousekeeping()
{
    if (m_releasing)
        return;
    m_ownership.tick();
    if (m_ownership.isOwner())
        m_links.maintain(m_writer.epoch());
}

void DispatchEntry::ownershipAcquired(bool formerStopped)
{
    m_follower.setMinReadInterval(m_settings.ownerReadInterval);
    m_dispatcher.activate(formerStopped);
    routesChanged();
    m_links.maintain(m_writer.epoch());
    m_cycleTimer.startRepeating(m_settings.cycleInterval, [this] { m_dispatcher.runCycle(); });
}

void DispatchEntry::ownershipLost()
{
    m_cycleTimer.cancel();
    m_dispatcher.deactivate();
    m_links.closeAll();
    m_follower.setMinReadInterval(m_settings.followerReadInterval);
    // The state in memory may contain changes that were never recorded, so it is rebuilt from the journal.
    m_follower.restart();
}

void DispatchEntry::routesChanged()
{
    m_dispatcher.setQueuePolicies(m_routes.policies());
    if (const auto& closed = m_routes.closedDataCentres())
        m_dispatcher.setClosedDataCentres(*closed);
}

bool DispatchEntry::isReady() const { return m_routes.hasConfiguration() && m_jobRequests.isReady() && !m_releasing; }

void DispatchEntry::release()
{
    m_releasing = true;
    m_cycleTimer.cancel();
    if (m_ownership.isOwner() && !m_writer.isIdle()) {
        // An append is in progress; the release is recorded after it.
        constexpr Duration releaseRetryDelay { 20 };
        m_timers.after(releaseRetryDelay, [this] { release(); });
        return;
    }
    m_ownership.release([this] {
        m_links.closeAll();
        LogEvent(LogLevel::Info, "ownership_released").field("entry", m_settings.name);
    });
}

} // namespace hemlocklead
