#include "dispatch/Ownership.h"

#include "base/Log.h"

#include <algorithm>

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

Ownership::Ownership(JobRegistry& registry, JournalFollower& follower, JournalService& journal, JournalWriter& writer,
    const Clock& clock, Counters& counters, Settings settings, Callbacks callbacks)
    : m_registry(registry)
    , m_follower(follower)
    , m_journal(journal)
    , m_writer(writer)
    , m_clock(clock)
    , m_counters(counters)
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
    case Phase::Following:
        return follow();
    case Phase::Candidate:
        if (m_candidacyAnswerTime)
            completeCandidacy();
        return;
    case Phase::Claiming:
        if (m_claimRecorded)
            completeClaim();
        return;
    case Phase::Owner:
        // The follower has reset the job state and rebuilt it from the journal, which discarded decisions that were not
        // recorded yet. A new claim rebuilds the scheduler's state and fences the appends in flight.
        if (m_follower.restarts() != m_restartsAtClaim)
            return handleLoss();
        // The store may turn this entry's appends away for seconds before it refuses one for its epoch.
        if (m_registry.owner().epoch > m_writer.epoch())
            return handleLoss();
        if (m_writer.isIdle() && now - m_writer.epochConfirmedAt() >= m_settings.heartbeatInterval)
            m_writer.commit({ { std::string(ownerKey), ownerValue(record(false)), 0 } }, [] {});
        return;
    case Phase::Releasing:
        return;
    }
}

bool Ownership::isViewFresh() const
{
    return m_follower.isCaughtUp() && m_clock.now() - m_follower.freshAsOf() <= m_settings.maxViewAge;
}

void Ownership::follow()
{
    // While the journal is idle, reads wait for up to a second, and the view is fresh only part of the time. An older
    // one neither shows that the owner is gone nor that it has come back.
    if (!isViewFresh())
        return;
    const Instant now = m_clock.now();
    if (!ownerIsGone()) {
        m_ownerGoneSince.reset();
        return;
    }
    if (!m_ownerGoneSince)
        m_ownerGoneSince = now;
    const bool isOtherCandidate = m_registry.candidacy(m_settings.candidacyValidity).has_value();
    if (!isOtherCandidate && now - *m_ownerGoneSince >= candidacyDelay())
        announceCandidacy();
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

bool Ownership::isSilentFor(Duration silence) const
{
    const Instant now = m_clock.now();
    const std::optional<Instant> healthySince = m_follower.healthySince();
    return healthySince && now - *healthySince >= silence && now - m_registry.ownerSeenAt() >= silence;
}

bool Ownership::ownerIsGone() const { return hasFormerOwnerStopped() || isSilentFor(m_settings.ownerTimeout); }

bool Ownership::precedes(const std::string& name, const EntryMember& entry, double ownShare) const
{
    if (entry.processorShare != ownShare)
        return entry.processorShare > ownShare;
    // Names begin with the data centre. The order of hashes spreads the entries of a lost data centre over all ranks.
    const std::hash<std::string> hash;
    return std::pair(hash(name), name) < std::pair(hash(m_settings.entry), m_settings.entry);
}

Duration Ownership::candidacyDelay() const
{
    const auto own = m_registry.entries().find(m_settings.entry);
    const double share = own == m_registry.entries().end() ? 0 : own->second.processorShare;
    double largestShare = share;
    int rank = 0;
    for (const auto& [name, entry] : m_registry.entries()) {
        if (name == m_settings.entry || name == m_registry.owner().entry)
            continue;
        largestShare = std::max(largestShare, entry.processorShare);
        rank += precedes(name, entry, share);
    }
    Duration delay { 0 };
    if (rank > 0) {
        const int doubled = std::min(rank, m_settings.ranksWithDoubledDelay);
        delay = m_settings.delayPerRank * ((1 << (doubled - 1)) + rank - doubled);
    }
    return 2 * share < largestShare ? delay + m_settings.weakEntryDelay : delay;
}

void Ownership::announceCandidacy()
{
    m_ownerGoneSince.reset();
    m_phase = Phase::Candidate;
    m_candidacyAnswerTime.reset();
    m_counters.add("ownership_candidacies");
    const uint64_t number = ++m_candidacyNumber;
    const Instant sentAt = m_clock.now();
    const Candidacy candidacy { m_registry.owner().epoch, m_settings.entry, m_settings.incarnation, {} };
    LogEvent(LogLevel::Info, "ownership_candidacy")
        .field("former_epoch", candidacy.formerEpoch)
        .field("former_entry", m_registry.owner().entry)
        .field("silent_ms", static_cast<int64_t>((sentAt - m_registry.ownerSeenAt()).count()));
    m_journal.append({ { std::string(candidateKey), candidateValue(candidacy), 0 } }, std::nullopt,
        m_settings.candidacyTimeout, [this, number, sentAt](AppendStatus status) {
            if (number != m_candidacyNumber || m_phase != Phase::Candidate)
                return;
            if (status != AppendStatus::Done)
                return withdrawCandidacy("not_recorded");
            m_candidacyRecordedAt = m_clock.now();
            m_candidacyAnswerTime = m_candidacyRecordedAt - sentAt;
            completeCandidacy();
        });
}

void Ownership::completeCandidacy()
{
    // A process that was suspended, or that reads the journal anew, has to see it up to date first.
    if (!isViewFresh())
        return withdrawCandidacy("view_stale");
    if (!ownerIsGone())
        return withdrawCandidacy("owner_heard");
    const std::optional<Candidacy> first = m_registry.candidacy(m_settings.candidacyValidity);
    // This entry's own record may not have been read yet.
    if (!first && m_follower.freshAsOf() < m_candidacyRecordedAt)
        return;
    if (!first || first->incarnation != m_settings.incarnation)
        return withdrawCandidacy(first ? "other_first" : "expired");
    const Duration silence = m_settings.ownerTimeout + m_settings.answerTimesBeforeClaim * *m_candidacyAnswerTime;
    if (hasFormerOwnerStopped() || isSilentFor(silence))
        claim();
}

void Ownership::withdrawCandidacy(std::string_view reason)
{
    m_phase = Phase::Following;
    LogEvent(LogLevel::Info, "ownership_candidacy_withdrawn").field("reason", reason);
}

void Ownership::claim()
{
    m_counters.add("ownership_claims");
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
        if (m_phase == Phase::Releasing)
            return commitRelease();
        m_claimRecorded = true;
        completeClaim();
    });
}

void Ownership::completeClaim()
{
    // All records of the former owner precede the claim in the journal, but pages of the newest records are ordered by
    // key, so the claim may be read before them. Waits until the follower has caught up.
    const OwnerRecord& owner = m_registry.owner();
    if (m_follower.isCaughtUp() && owner.epoch > m_writer.epoch())
        return handleLoss();
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
    m_writer.close();
    m_registry.setOwnEpoch(std::nullopt);
    LogEvent(LogLevel::Warning, "ownership_lost").field("epoch", m_writer.epoch()).field("was_owner", wasOwner ? 1 : 0);
    if (wasOwner)
        m_callbacks.onLost();
}

void Ownership::release(std::function<void()> onReleased)
{
    const bool mayOwn = m_phase == Phase::Owner || m_phase == Phase::Claiming;
    m_onReleased = std::move(onReleased);
    m_phase = Phase::Releasing;
    if (!mayOwn || !m_writer.isOpen())
        return m_onReleased();
    // A claim that is being appended is released once it is recorded.
    if (m_writer.isIdle())
        commitRelease();
}

void Ownership::commitRelease()
{
    m_writer.commit({ { std::string(ownerKey), ownerValue(record(true)), 0 } }, [this] { m_onReleased(); });
}

} // namespace hemlocklead::dispatch
