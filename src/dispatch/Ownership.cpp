#include "dispatch/Ownership.h"

#include "base/Log.h"

namespace hemlocklead::dispatch {

namespace {

    /// Epochs of one generation differ by the claimant's incarnation, so that two claimants never share one.
    constexpr uint64_t epochsPerGeneration = 1000;

    uint64_t nextEpoch(uint64_t former, uint64_t incarnation)
    {
        return (former / epochsPerGeneration + 1) * epochsPerGeneration + incarnation % epochsPerGeneration;
    }

} // namespace

Ownership::Ownership(JobRegistry& book, JournalFollower& follower, JournalWriter& writer, const Clock& clock,
    Settings settings, Callbacks callbacks)
    : m_book(book)
    , m_follower(follower)
    , m_writer(writer)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_callbacks(std::move(callbacks))
{
}

OwnerRecord Ownership::record(bool released) const
{
    return { m_writer.epoch(), m_settings.entry, m_settings.incarnation, released };
}

void Ownership::tick()
{
    const Instant now = m_clock.now();
    switch (m_phase) {
    case Phase::Following: {
        const bool viewIsFresh = m_follower.isCaughtUp() && now - m_follower.freshAsOf() <= m_settings.viewAge;
        if (!viewIsFresh || !ownerIsGone()) {
            m_goneSince.reset();
            return;
        }
        if (!m_goneSince)
            m_goneSince = now;
        if (now - *m_goneSince >= rank() * m_settings.rankDelay)
            claim();
        return;
    }
    case Phase::Claiming:
        if (m_claimRecorded)
            completeClaim();
        return;
    case Phase::Owner:
        // The book was read anew, which dropped what was decided from it. Claiming again rebuilds everything and fences
        // the appends that are still under way.
        if (m_follower.restarts() != m_restartsAtClaim) {
            m_writer.close();
            return lost();
        }
        if (m_writer.isIdle() && now - m_writer.provenAt() >= m_settings.beat)
            m_writer.commit({ { std::string(ownerKey), ownerValue(record(false)), 0 } }, [] {});
        return;
    case Phase::Releasing:
        return;
    }
}

bool Ownership::formerOwnerHasStopped() const
{
    const OwnerRecord& owner = m_book.owner();
    if (owner.epoch == 0 || owner.released)
        return true;
    // This process was the owner and gave up.
    if (owner.incarnation == m_settings.incarnation)
        return true;
    const auto member = m_book.entries().find(owner.entry);
    // The owner's entry runs again as another process: the owner has ended.
    return member != m_book.entries().end() && member->second.incarnation != owner.incarnation;
}

bool Ownership::ownerIsGone() const
{
    if (formerOwnerHasStopped())
        return true;
    const Instant now = m_clock.now();
    const std::optional<Instant> healthySince = m_follower.healthySince();
    return healthySince && now - *healthySince >= m_settings.silence
        && now - m_book.ownerSeenAt() >= m_settings.silence;
}

size_t Ownership::rank() const
{
    const auto own = m_book.entries().find(m_settings.entry);
    const double share = own == m_book.entries().end() ? 0 : own->second.processorShare;
    size_t rank = 0;
    for (const auto& [name, entry] : m_book.entries()) {
        if (name == m_settings.entry || name == m_book.owner().entry)
            continue;
        rank += entry.processorShare > share || (entry.processorShare == share && name < m_settings.entry);
    }
    return rank;
}

void Ownership::claim()
{
    m_goneSince.reset();
    m_formerStopped = formerOwnerHasStopped();
    m_claimRecorded = false;
    m_phase = Phase::Claiming;
    m_writer.open(nextEpoch(m_book.owner().epoch, m_settings.incarnation), [this] { lost(); });
    LogEvent(LogLevel::Info, "ownership_claimed")
        .field("epoch", m_writer.epoch())
        .field("former_epoch", m_book.owner().epoch)
        .field("former_entry", m_book.owner().entry)
        .field("former_stopped", m_formerStopped ? 1 : 0)
        .field("silent_ms", static_cast<int64_t>((m_clock.now() - m_book.ownerSeenAt()).count()));
    m_writer.commit({ { std::string(ownerKey), ownerValue(record(false)), 0 } }, [this] {
        m_claimRecorded = true;
        completeClaim();
    });
}

void Ownership::completeClaim()
{
    // Everything that the former owner recorded lies before the claim, but pages of the newest records come by key.
    const OwnerRecord& owner = m_book.owner();
    if (!m_follower.isCaughtUp() || owner.epoch != m_writer.epoch() || owner.incarnation != m_settings.incarnation)
        return;
    m_phase = Phase::Owner;
    m_restartsAtClaim = m_follower.restarts();
    m_book.setOwnEpoch(m_writer.epoch());
    m_callbacks.onAcquired(m_writer.epoch(), m_formerStopped);
}

void Ownership::lost()
{
    const bool wasOwner = m_phase == Phase::Owner;
    m_phase = Phase::Following;
    m_book.setOwnEpoch(std::nullopt);
    LogEvent(LogLevel::Warning, "ownership_lost").field("epoch", m_writer.epoch()).field("was_owner", wasOwner ? 1 : 0);
    if (wasOwner)
        m_callbacks.onLost();
}

void Ownership::release(std::function<void()> onReleased)
{
    if (m_phase != Phase::Owner || !m_writer.isIdle())
        return onReleased();
    m_phase = Phase::Releasing;
    m_writer.commit({ { std::string(ownerKey), ownerValue(record(true)), 0 } }, std::move(onReleased));
}

} // namespace hemlocklead::dispatch
