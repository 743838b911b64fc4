#include "dispatch/Ownership.h"

#include "base/Log.h"

namespace hemlocklead::dispatch {

namespace {

    /// The lower digits of an epoch come from the claimant's incarnation, so that concurrent claimants use different
    /// epochs.
    constexpr uint64_t epochsPerGeneration = 1000;

    uint64_t nextEpoch(uint64_t former, uint64_t incarnation)
    {
        return (former / epochsPerGeneration + 1) * epochsPerGeneration + incarnation % epochsPerGeneration;
    }

} // namespace

Ownership::Ownership(JobRegistry& registry, JournalFollower& follower, JournalWriter& writer, const Clock& clock,
    Settings settings, Callbacks callbacks)
    : m_registry(registry)
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
        const bool viewIsFresh = m_follower.isCaughtUp() && now - m_follower.freshAsOf() <= m_settings.maxViewAge;
        if (!viewIsFresh || !ownerIsGone()) {
            m_ownerGoneSince.reset();
            return;
        }
        if (!m_ownerGoneSince)
            m_ownerGoneSince = now;
        if (now - *m_ownerGoneSince >= claimRank() * m_settings.delayPerRank)
            claim();
        return;
    }
    case Phase::Claiming:
        if (m_claimRecorded)
            completeClaim();
        return;
    case Phase::Owner:
        // The follower has reset the job state and rebuilt it from the journal, which discarded decisions that were not
        // recorded yet. A new claim rebuilds the scheduler's state and fences the appends in flight.
        if (m_follower.restarts() != m_restartsAtClaim) {
            m_writer.close();
            return handleLoss();
        }
        if (m_writer.isIdle() && now - m_writer.epochConfirmedAt() >= m_settings.heartbeatInterval)
            m_writer.commit({ { std::string(ownerKey), ownerValue(record(false)), 0 } }, [] {});
        return;
    case Phase::Releasing:
        return;
    }
}

bool Ownership::hasFormerOwnerStopped() const
{
    const OwnerRecord& owner = m_registry.owner();
    if (owner.epoch == 0 || owner.released)
        return true;
    // This process was the owner and has lost or released the ownership.
    if (owner.incarnation == m_settings.incarnation)
        return true;
    const auto member = m_registry.entries().find(owner.entry);
    // The owner's entry has been restarted as another process, so the owning process has ended.
    return member != m_registry.entries().end() && member->second.incarnation != owner.incarnation;
}

bool Ownership::ownerIsGone() const
{
    if (hasFormerOwnerStopped())
        return true;
    const Instant now = m_clock.now();
    const std::optional<Instant> healthySince = m_follower.healthySince();
    return healthySince && now - *healthySince >= m_settings.ownerTimeout
        && now - m_registry.ownerSeenAt() >= m_settings.ownerTimeout;
}

size_t Ownership::claimRank() const
{
    const auto own = m_registry.entries().find(m_settings.entry);
    const double share = own == m_registry.entries().end() ? 0 : own->second.processorShare;
    size_t rank = 0;
    for (const auto& [name, entry] : m_registry.entries()) {
        if (name == m_settings.entry || name == m_registry.owner().entry)
            continue;
        rank += entry.processorShare > share || (entry.processorShare == share && name < m_settings.entry);
    }
    return rank;
}

void Ownership::claim()
{
    m_ownerGoneSince.reset();
    m_formerStopped = hasFormerOwnerStopped();
    m_claimRecorded = false;
    m_phase = Phase::Claiming;
    m_writer.open(nextEpoch(m_registry.owner().epoch, m_settings.incarnation), [this] { handleLoss(); });
    LogEvent(LogLevel::Info, "ownership_claimed")
        .field("epoch", m_writer.epoch())
        .field("former_epoch", m_registry.owner().epoch)
        .field("former_entry", m_registry.owner().entry)
        .field("former_stopped", m_formerStopped ? 1 : 0)
        .field("silent_ms", static_cast<int64_t>((m_clock.now() - m_registry.ownerSeenAt()).count()));
    m_writer.commit({ { std::string(ownerKey), ownerValue(record(false)), 0 } }, [this] {
        m_claimRecorded = true;
        completeClaim();
    });
}

void Ownership::completeClaim()
{
    // All records of the former owner precede the claim in the journal, but pages of the newest records are ordered by
    // key, so the claim may be read before them. Waits until the follower has caught up.
    const OwnerRecord& owner = m_registry.owner();
    if (!m_follower.isCaughtUp() || owner.epoch != m_writer.epoch() || owner.incarnation != m_settings.incarnation)
        return;
    m_phase = Phase::Owner;
    m_restartsAtClaim = m_follower.restarts();
    m_registry.setOwnEpoch(m_writer.epoch());
    m_callbacks.onAcquired(m_writer.epoch(), m_formerStopped);
}

void Ownership::handleLoss()
{
    const bool wasOwner = m_phase == Phase::Owner;
    m_phase = Phase::Following;
    m_registry.setOwnEpoch(std::nullopt);
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
