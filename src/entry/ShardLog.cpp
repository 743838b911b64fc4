#include "entry/ShardLog.h"

#include "base/Log.h"

namespace hemlocklead {

namespace {

    // Delay before the next claim after one that lost against another entry or was not stored.
    constexpr Duration claimRetryDelay { 500 };

    // Polls within the period for which a read confirms the ownership, so that a few lost replies do not end it.
    constexpr int pollsPerAuthorityPeriod = 5;

    LogStream::Settings streamSettings(uint32_t shard, const EntrySettings& settings)
    {
        LogStream::Settings stream;
        stream.name = "shard-" + std::to_string(shard);
        stream.groupCommit = settings.groupCommit;
        stream.pollInterval = settings.shardAuthority / pollsPerAuthorityPeriod;
        return stream;
    }

} // namespace

ShardLog::ShardLog(uint32_t shard, const ShardEnvironment& environment)
    : m_shard(shard)
    , m_environment(environment)
    , m_authority(
          { environment.settings.name, shard, environment.settings.shardAuthority, environment.settings.ownerTimeout },
          environment.clock.now())
    , m_stream(std::make_unique<LogStream>(streamSettings(shard, environment.settings), environment.log,
          environment.clock, m_fold, environment.counters))
    , m_snapshotAt(environment.clock.now())
{
}

ShardLog::Change ShardLog::tick()
{
    m_stream->tick();
    claimWhenDue();
    snapshotWhenDue();
    const bool owner = isOwner();
    if (owner == m_wasOwner)
        return Change::None;
    m_wasOwner = owner;
    LogEvent(LogLevel::Info, owner ? "shard_gained" : "shard_lost").field("shard", m_shard).field("epoch", m_epoch);
    return owner ? Change::Gained : Change::Lost;
}

bool ShardLog::isOwner() const
{
    const ShardClaim& claim = state().claim();
    return m_epoch != 0 && claim.epoch == m_epoch && claim.entry == m_environment.settings.name;
}

bool ShardLog::hasAuthority() const
{
    return !m_releasing
        && m_authority.holds(state().claim(), m_epoch, m_stream->confirmedAt(), m_environment.clock.now());
}

void ShardLog::append(const Json& record, Done done)
{
    m_stream->append(
        record, [alive = std::weak_ptr<bool>(m_alive), done = std::move(done)](const RecordOutcome& outcome) {
            if (!alive.expired())
                done(outcome);
        });
}

void ShardLog::release(std::function<void()> done)
{
    m_releasing = true;
    if (!isOwner()) {
        done();
        return;
    }
    append(releaseRecord(m_epoch), [done = std::move(done)](const RecordOutcome&) { done(); });
}

void ShardLog::claimWhenDue()
{
    const Instant now = m_environment.clock.now();
    if (m_claiming || m_releasing || isOwner() || !m_stream->isCaughtUp() || now < m_nextClaimAt)
        return;
    if (!m_authority.shouldClaim(state().claim(), m_environment.otherEntries(), now))
        return;
    m_claiming = true;
    const ShardClaim claim { state().claim().epoch + 1, m_environment.settings.name,
        m_environment.settings.peerAddress.text() };
    append(claimRecord(claim), [this, epoch = claim.epoch](const RecordOutcome& outcome) {
        const Instant readAt = m_environment.clock.now();
        m_claiming = false;
        m_nextClaimAt = readAt + claimRetryDelay;
        if (!outcome.stored || outcome.result != FoldResult::Applied)
            return;
        m_epoch = epoch;
        m_claimReadAt = readAt;
    });
}

void ShardLog::snapshotWhenDue()
{
    const Instant now = m_environment.clock.now();
    if (!isOwner() || m_snapshotting || now - m_snapshotAt < m_environment.settings.snapshotInterval)
        return;
    const bool changed = state().nextOffset() != m_snapshotOffset;
    if (!changed && now - m_snapshotAt < m_environment.settings.logRetention / 4)
        return;
    m_snapshotting = true;
    m_stream->writeSnapshot([this, alive = std::weak_ptr<bool>(m_alive), offset = state().nextOffset()](bool stored) {
        if (alive.expired())
            return;
        m_snapshotting = false;
        // After a failure, retry after a tenth of the interval.
        const Instant at = m_environment.clock.now();
        const Duration interval = m_environment.settings.snapshotInterval;
        m_snapshotAt = stored ? at : at - interval + interval / 10;
        if (stored)
            m_snapshotOffset = offset;
    });
}

} // namespace hemlocklead
