#include "coordination/AttemptTable.h"

#include <algorithm>
#include <cassert>

namespace hemlocklead {

namespace {

    /// A lease is low when this fraction (1/4) of it or less is left.
    constexpr int leaseLowDivisor = 4;

    Instant stampTime(const Stamp& stamp) { return Instant { Duration { stamp.timeMs } }; }

    StartDecision refused(ErrorKind kind) { return { StartDecision::Action::Refuse, kind }; }

    /// The answer to a repeated `Start`, which equals the answer to its first copy.
    StartDecision answerToDuplicate(const HeldAttempt& attempt)
    {
        if (attempt.refusal)
            return refused(*attempt.refusal);
        const bool pending = attempt.stage == AttemptStage::Starting;
        return { pending ? StartDecision::Action::Wait : StartDecision::Action::Started, ErrorKind::Internal };
    }

} // namespace

AttemptTable::AttemptTable(const Limits& limits)
    : m_limits(limits)
{
}

bool AttemptTable::isOwnStamp(const Stamp& stamp, Instant now) const
{
    return stamp.incarnation == m_limits.incarnation && stampTime(stamp) <= now;
}

StartDecision AttemptTable::decideStart(const Start& start, const StartContext& context) const
{
    if (const HeldAttempt* known = find(start.key))
        return answerToDuplicate(*known);
    if (context.leaving)
        return refused(ErrorKind::Leaving);
    if (!isOwnStamp(start.echo, context.now) || start.viewAge < Duration { 0 })
        return refused(ErrorKind::StaleView);
    const Instant stamped = stampTime(start.echo);
    if (context.now - (stamped - start.viewAge) > m_limits.startFreshness)
        return refused(ErrorKind::StaleView);
    if (context.now >= stamped + start.lease - m_limits.driftMargin)
        return refused(ErrorKind::StaleView);
    if (context.dataCentreOut)
        return refused(ErrorKind::DataCentreOut);
    if (!context.reserved)
        return refused(ErrorKind::NoCapacity);
    return { StartDecision::Action::Begin, ErrorKind::Internal };
}

HeldAttempt& AttemptTable::begin(const Start& start)
{
    assert(!m_attempts.contains(start.key));
    HeldAttempt& attempt = m_attempts[start.key];
    attempt.key = start.key;
    attempt.shard = start.shard;
    attempt.spec = start.spec;
    attempt.token = start.checkpoint;
    attempt.lease = start.lease;
    attempt.leaseEnd = stampTime(start.echo) + start.lease;
    return attempt;
}

void AttemptTable::refuse(const Start& start, ErrorKind refusal, Instant now)
{
    if (refusal == ErrorKind::StaleView || m_attempts.contains(start.key))
        return;
    HeldAttempt& attempt = begin(start);
    attempt.refusal = refusal;
    attempt.acknowledged = true;
    end(attempt, EndReason::Refused, {}, now);
}

HeldAttempt& AttemptTable::adopt(const AttemptKey& key)
{
    assert(!m_attempts.contains(key));
    HeldAttempt& attempt = m_attempts[key];
    attempt.key = key;
    attempt.stage = AttemptStage::Running;
    return attempt;
}

bool AttemptTable::renew(const AttemptKey& key, const Stamp& echo, Duration lease, Instant now)
{
    HeldAttempt* attempt = find(key);
    if (!attempt || !isOwnStamp(echo, now))
        return false;
    if (attempt->stage != AttemptStage::Starting && attempt->stage != AttemptStage::Running)
        return false;
    const Instant end = stampTime(echo) + lease;
    if (isLapsed(*attempt, now) || now >= end - m_limits.driftMargin)
        return false;
    if (attempt->leaseEnd && *attempt->leaseEnd >= end)
        return true;
    attempt->leaseEnd = end;
    attempt->lease = lease;
    return true;
}

Duration AttemptTable::workerLease(const HeldAttempt& attempt, Instant now) const
{
    if (!attempt.leaseEnd)
        return Duration { 0 };
    const Duration remaining = *attempt.leaseEnd - m_limits.driftMargin - now;
    return std::clamp(remaining, Duration { 0 }, m_limits.workerLease);
}

bool AttemptTable::isLapsed(const HeldAttempt& attempt, Instant now) const
{
    return attempt.leaseEnd && now >= *attempt.leaseEnd - m_limits.driftMargin;
}

bool AttemptTable::isLeaseLow(const HeldAttempt& attempt, Instant now)
{
    return attempt.leaseEnd && *attempt.leaseEnd - now <= attempt.lease / leaseLowDivisor;
}

void AttemptTable::end(HeldAttempt& attempt, EndReason reason, std::string result, Instant now)
{
    if (attempt.stage == AttemptStage::Ended)
        return;
    attempt.stage = AttemptStage::Ended;
    attempt.endReason = reason;
    attempt.result = std::move(result);
    attempt.endedAt = now;
    attempt.spec.payload.clear();
}

bool AttemptTable::acknowledge(const AttemptKey& key)
{
    HeldAttempt* attempt = find(key);
    if (!attempt || attempt->stage != AttemptStage::Ended)
        return false;
    attempt->acknowledged = true;
    return true;
}

void AttemptTable::purgeEnded(Instant now)
{
    const Duration retention = m_limits.startFreshness + m_limits.driftMargin;
    std::erase_if(m_attempts, [&](const auto& entry) {
        const HeldAttempt& attempt = entry.second;
        const bool isSettled = attempt.acknowledged && !attempt.worker.listed;
        return attempt.stage == AttemptStage::Ended && isSettled && now - attempt.endedAt >= retention;
    });
}

HeldAttempt* AttemptTable::find(const AttemptKey& key)
{
    const auto found = m_attempts.find(key);
    return found == m_attempts.end() ? nullptr : &found->second;
}

const HeldAttempt* AttemptTable::find(const AttemptKey& key) const
{
    const auto found = m_attempts.find(key);
    return found == m_attempts.end() ? nullptr : &found->second;
}

} // namespace hemlocklead
