#include "node/DispatchEntry.h"

#include "base/Log.h"

#include <chrono>
#include <random>

namespace hemlocklead {

namespace {

    constexpr Duration announceTimeout { 1000 };
    constexpr Duration announceRetry { 500 };

    /// Incarnations stay exact as JSON numbers.
    constexpr size_t incarnationBits = 48;

} // namespace

uint64_t randomIncarnation()
{
    std::random_device device;
    const uint64_t high = device();
    return (high << 32 | device()) & ((uint64_t { 1 } << incarnationBits) - 1);
}

int64_t DispatchEntry::SystemCalendar::unixMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

DispatchEntry::DispatchEntry(EventLoop& loop, dispatch::JournalService& reads, dispatch::JournalService& writes,
    dispatch::JournalService& callerWrites, Settings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomIncarnation())
    , m_delays(loop)
    , m_callerWrites(callerWrites)
    , m_book(m_clock, m_counters)
    , m_follower(reads, m_delays, m_clock, m_book, { .minReadInterval = m_settings.copyPause })
    , m_writer(writes, m_delays, m_clock, {})
    , m_links(loop, m_clock, m_book, {})
    , m_dispatcher(m_book, m_writer, m_links, m_clock, m_calendar, m_counters, m_settings.dispatcher)
    , m_ownership(m_book, m_follower, m_writer, m_clock, { .entry = m_settings.name, .incarnation = m_incarnation },
          { [this](uint64_t, bool formerStopped) { acquired(formerStopped); }, [this] { lost(); } })
    , m_desk(m_book, m_follower, callerWrites, m_delays, m_clock, m_counters, {})
    , m_houseTimer(loop)
    , m_passTimer(loop)
{
    m_links.setDispatcher(m_dispatcher);
    m_book.setListener(&m_dispatcher);
}

void DispatchEntry::start()
{
    m_follower.start();
    announce();
    m_houseTimer.startRepeating(m_settings.housekeeping, [this] { keepHouse(); });
}

void DispatchEntry::announce()
{
    const std::string value = dispatch::entryValue({ m_incarnation, m_settings.processorShare });
    m_callerWrites.append({ { dispatch::entryKey(m_settings.name), value, 0 } }, std::nullopt, announceTimeout,
        [this](dispatch::AppendStatus status) {
            if (status != dispatch::AppendStatus::Done)
                m_delays.after(announceRetry, [this] { announce(); });
        });
}

void DispatchEntry::keepHouse()
{
    if (m_releasing)
        return;
    m_ownership.tick();
    if (m_ownership.isOwner())
        m_links.maintain(m_writer.epoch());
}

void DispatchEntry::acquired(bool formerStopped)
{
    m_follower.setMinReadInterval(m_settings.ownerPause);
    m_dispatcher.begin(formerStopped);
    routesChanged();
    m_links.maintain(m_writer.epoch());
    m_passTimer.startRepeating(m_settings.pass, [this] { m_dispatcher.pass(); });
}

void DispatchEntry::lost()
{
    m_passTimer.cancel();
    m_dispatcher.end();
    m_links.closeAll();
    m_follower.setMinReadInterval(m_settings.copyPause);
    // The memory of this process ran ahead of what was recorded.
    m_follower.restart();
}

void DispatchEntry::routesChanged()
{
    m_dispatcher.setTerms(m_routes.terms());
    m_dispatcher.setClosedDataCentres(m_routes.closedDataCentres());
}

bool DispatchEntry::isReady() const { return m_routes.hasConfiguration() && m_desk.isReady() && !m_releasing; }

void DispatchEntry::release()
{
    m_releasing = true;
    m_passTimer.cancel();
    if (m_ownership.isOwner() && !m_writer.isIdle()) {
        // An append is on its way; the release follows it.
        constexpr Duration retry { 20 };
        m_delays.after(retry, [this] { release(); });
        return;
    }
    m_ownership.release([this] {
        m_links.closeAll();
        LogEvent(LogLevel::Info, "ownership_released").field("entry", m_settings.name);
    });
}

} // namespace hemlocklead
