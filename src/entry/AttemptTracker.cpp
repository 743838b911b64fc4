#include "entry/AttemptTracker.h"

#include "base/Log.h"
#include "protocol/Traceparent.h"

#include <cassert>

namespace hemlocklead {

namespace {

    constexpr Duration checkInterval { 250 };
    constexpr Duration staleRetryDelay { 50 };
    constexpr Duration endRetryDelay { 200 };
    constexpr Duration stopRetryDelay { 2000 };
    constexpr Duration checkpointInterval { 10'000 };
    constexpr int renewalsPerLease = 4;
    constexpr size_t maxKeysPerRenew = 1000; ///< Keeps the frame far below its size limit.

    /// Detail of the end of an attempt for which no Start was sent.
    const std::string notStarted { errorName(ErrorKind::NotReady) };

    LeaseTracker::Settings leaseSettings(const EntrySettings& settings)
    {
        LeaseTracker::Settings lease;
        lease.lease = settings.attemptLease;
        lease.margin = settings.driftMargin;
        lease.authority = settings.shardAuthority;
        lease.startFreshness = settings.startFreshness;
        return lease;
    }

} // namespace

AttemptTracker::AttemptTracker(ShardLog& log, const ShardEnvironment& environment, EndedCallback onEnded)
    : m_log(log)
    , m_environment(environment)
    , m_onEnded(std::move(onEnded))
    , m_leases(leaseSettings(environment.settings))
{
}

void AttemptTracker::adoptAll()
{
    clear();
    for (const auto& [id, job] : m_log.state().jobs()) {
        for (uint32_t index = 0; index < job.tasks.size(); ++index) {
            const TaskState& task = job.tasks[index];
            if (!task.open)
                continue;
            const AttemptKey key { id, index, task.open->attempt };
            Attempt attempt;
            attempt.host = task.open->host;
            attempt.stage = Stage::Unconfirmed;
            attempt.adopted = true;
            m_leases.adopt(key, m_log.claimReadAt());
            add(key, std::move(attempt));
            if (const auto stamp = m_environment.hosts.stampIfListed(task.open->host, key))
                noteListed(key, task.open->host, *stamp);
            if (job.phase == JobPhase::Cancelled)
                stop(key, EndReason::Cancelled, false);
        }
    }
    LogEvent(LogLevel::Info, "attempts_adopted").field("shard", m_log.shard()).field("attempts", m_attempts.size());
}

void AttemptTracker::clear()
{
    ++m_generation;
    m_attempts.clear();
    m_byHost.clear();
    m_spread.clear();
    m_toStart.clear();
    m_leases.clear();
}

void AttemptTracker::startAssigned(const AttemptKey& key, const std::string& host)
{
    Attempt attempt;
    attempt.host = host;
    m_leases.add(key);
    add(key, std::move(attempt));
    sendStart(key, m_attempts.at(key));
}

void AttemptTracker::tick()
{
    const std::vector<AttemptKey> toStart = std::move(m_toStart);
    m_toStart.clear();
    for (const AttemptKey& key : toStart) {
        const auto found = m_attempts.find(key);
        if (found != m_attempts.end())
            sendStart(key, found->second);
    }
    const Instant now = m_environment.clock.now();
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + checkInterval;
    renewAll();
    for (auto& [key, attempt] : m_attempts)
        checkAttempt(key, attempt);
}

void AttemptTracker::agentMessage(const std::string& host, const Message& message)
{
    if (const auto* reply = std::get_if<StartReply>(&message))
        handleStartReply(host, *reply);
    else if (const auto* ended = std::get_if<AttemptEnded>(&message))
        handleAttemptEnded(host, *ended);
    else if (const auto* token = std::get_if<Checkpointed>(&message))
        handleCheckpointed(host, *token);
    else if (const auto* keepalive = std::get_if<Keepalive>(&message))
        handleKeepalive(host, *keepalive);
}

void AttemptTracker::agentGone(const std::string& host)
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end())
        return;
    for (const AttemptKey& key : found->second.keys) {
        Attempt& attempt = m_attempts.at(key);
        if (attempt.stage != Stage::AwaitingStart)
            attempt.stage = Stage::Unconfirmed;
    }
}

void AttemptTracker::stop(const AttemptKey& key, EndReason reason, bool checkpoint)
{
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end() || found->second.stop)
        return;
    found->second.stop = StopRequest { reason, checkpoint, m_environment.clock.now() };
    sendStop(key, found->second);
}

void AttemptTracker::stopJob(const std::string& job)
{
    for (auto next = m_attempts.lower_bound({ job, 0, 0 }); next != m_attempts.end() && next->first.job == job;
         ++next) {
        next->second.stop.reset();
        stop(next->first, EndReason::Cancelled, false);
    }
}

const std::map<std::string, int>& AttemptTracker::tasksInDataCentre(const std::string& job) const
{
    static const std::map<std::string, int> none;
    const auto found = m_spread.find(job);
    return found == m_spread.end() ? none : found->second.inDataCentre;
}

const std::map<std::string, int>& AttemptTracker::tasksInRack(const std::string& job) const
{
    static const std::map<std::string, int> none;
    const auto found = m_spread.find(job);
    return found == m_spread.end() ? none : found->second.inRack;
}

std::vector<AttemptKey> AttemptTracker::paused() const
{
    // The agent checkpoints and pauses when a quarter of the lease is left.
    const Duration threshold = m_environment.settings.attemptLease * 3 / 4;
    const Instant now = m_environment.clock.now();
    std::vector<AttemptKey> keys;
    for (const auto& [key, attempt] : m_attempts) {
        const Instant since = m_leases.lastSent(key).value_or(m_log.claimReadAt());
        if (attempt.stage != Stage::AwaitingStart && now - since > threshold)
            keys.push_back(key);
    }
    return keys;
}

void AttemptTracker::add(const AttemptKey& key, Attempt attempt)
{
    m_byHost[attempt.host].keys.insert(key);
    Attempt& added = m_attempts[key] = std::move(attempt);
    addToSpread(key, added);
}

void AttemptTracker::erase(const AttemptKey& key)
{
    const auto found = m_attempts.find(key);
    const Attempt& attempt = found->second;
    if (attempt.location) {
        Spread& spread = m_spread[key.job];
        --spread.inDataCentre[attempt.location->dataCentre];
        --spread.inRack[attempt.location->rack];
    }
    const auto leases = m_byHost.find(attempt.host);
    leases->second.keys.erase(key);
    if (leases->second.keys.empty())
        m_byHost.erase(leases);
    m_leases.remove(key);
    m_attempts.erase(found);
    const auto ofSameJob = m_attempts.lower_bound({ key.job, 0, 0 });
    if (ofSameJob == m_attempts.end() || ofSameJob->first.job != key.job)
        m_spread.erase(key.job);
}

void AttemptTracker::addToSpread(const AttemptKey& key, Attempt& attempt)
{
    if (attempt.location)
        return;
    attempt.location = m_environment.hosts.locationOf(attempt.host);
    if (!attempt.location)
        return;
    Spread& spread = m_spread[key.job];
    ++spread.inDataCentre[attempt.location->dataCentre];
    ++spread.inRack[attempt.location->rack];
}

const JobState* AttemptTracker::jobOf(const AttemptKey& key) const { return m_log.state().job(key.job); }

AttemptTracker::Attempt* AttemptTracker::findOn(const AttemptKey& key, const std::string& host)
{
    const auto found = m_attempts.find(key);
    return found == m_attempts.end() || found->second.host != host ? nullptr : &found->second;
}

void AttemptTracker::sendStart(const AttemptKey& key, Attempt& attempt)
{
    if (attempt.stage != Stage::AwaitingStart || attempt.end)
        return;
    const Instant now = m_environment.clock.now();
    const JobState* job = jobOf(key);
    assert(job);
    const std::optional<Stamp> stamp = m_environment.hosts.stampOf(attempt.host);
    if (!stamp || job->phase != JobPhase::Active) {
        const EndReason reason = stamp ? EndReason::Cancelled : EndReason::Refused;
        beginEnd(key, attempt, End { reason, {}, notStarted });
        return;
    }
    const bool viewIsFresh = m_environment.control.age() < m_environment.settings.startFreshness;
    if (now < attempt.startAt || !m_log.hasAuthority() || !viewIsFresh) {
        m_toStart.push_back(key);
        return;
    }
    const Start start { m_log.shard(), m_log.epoch(), key, job->spec.task, job->tasks[key.index].checkpoint, *stamp,
        m_environment.control.age(), m_environment.settings.attemptLease, startSpan({}).traceparent() };
    if (!m_environment.send(attempt.host, start)) {
        beginEnd(key, attempt, End { EndReason::Refused, {}, notStarted });
        return;
    }
    m_leases.noteSent(key, now, stamp);
    attempt.stage = Stage::StartSent;
    m_environment.counters.add("starts_sent");
}

void AttemptTracker::renewAll()
{
    if (!m_log.hasAuthority())
        return;
    const Instant now = m_environment.clock.now();
    for (auto& [host, leases] : m_byHost) {
        if (now >= leases.renewAt)
            renewHost(host, leases);
    }
}

void AttemptTracker::renewHost(const std::string& host, HostLeases& leases)
{
    const std::optional<Stamp> stamp = m_environment.hosts.stampOf(host);
    if (!stamp)
        return;
    Renew renew { m_log.shard(), m_log.epoch(), {}, *stamp, m_environment.settings.attemptLease };
    const auto flush = [&] {
        if (renew.keys.empty() || !m_environment.send(host, renew))
            return;
        for (const AttemptKey& key : renew.keys)
            m_leases.noteSent(key, m_environment.clock.now());
        renew.keys.clear();
    };
    for (const AttemptKey& key : leases.keys) {
        const Attempt& attempt = m_attempts.at(key);
        if (attempt.stage != Stage::Running || attempt.end)
            continue;
        renew.keys.push_back(key);
        if (renew.keys.size() == maxKeysPerRenew)
            flush();
    }
    flush();
    leases.renewAt = m_environment.clock.now() + m_environment.settings.attemptLease / renewalsPerLease;
}

void AttemptTracker::checkAttempt(const AttemptKey& key, Attempt& attempt)
{
    const Instant now = m_environment.clock.now();
    if (attempt.end) {
        if (!attempt.end->appending && now >= attempt.end->retryAt)
            appendEnd(key, attempt);
        return;
    }
    if (attempt.stage != Stage::AwaitingStart && m_leases.hasProvablyEnded(key, now)) {
        m_environment.counters.add("attempts_lost");
        beginEnd(key, attempt, End { EndReason::Lost, attempt.checkpoint, {} });
        return;
    }
    addToSpread(key, attempt);
    if (attempt.location && !attempt.stop && m_environment.control.state().isOut(attempt.location->dataCentre))
        stop(key, EndReason::Evicted, true);
    if (attempt.stop && now >= attempt.stop->nextSend)
        sendStop(key, attempt);
    if (!attempt.checkpoint.empty() && now >= attempt.nextCheckpoint)
        writeCheckpoint(key, attempt);
}

void AttemptTracker::sendStop(const AttemptKey& key, Attempt& attempt)
{
    const StopRequest& request = *attempt.stop;
    m_environment.send(attempt.host, Stop { m_log.shard(), m_log.epoch(), key, request.reason, request.checkpoint });
    attempt.stop->nextSend = m_environment.clock.now() + stopRetryDelay;
}

void AttemptTracker::writeCheckpoint(const AttemptKey& key, Attempt& attempt)
{
    attempt.nextCheckpoint = m_environment.clock.now() + checkpointInterval;
    m_log.append(checkpointRecord(m_log.epoch(), key, attempt.checkpoint), [](const RecordOutcome&) {});
    attempt.checkpoint.clear();
}

void AttemptTracker::beginEnd(const AttemptKey& key, Attempt& attempt, End end)
{
    if (attempt.end && attempt.end->appending) {
        attempt.end->reported = attempt.end->reported || end.reported;
        return;
    }
    // Only an agent's report replaces an end that waits to be appended again: it has the actual reason, token and
    // result, which a conclusion of this owner, such as lost, doesn't have.
    if (attempt.end && !end.reported)
        return;
    attempt.end = std::move(end);
    appendEnd(key, attempt);
}

void AttemptTracker::appendEnd(const AttemptKey& key, Attempt& attempt)
{
    End& end = *attempt.end;
    end.appending = true;
    // If the record has no token, the shard state keeps the last checkpoint.
    m_log.append(endedRecord(m_log.epoch(), key, end.reason, end.token, end.result, m_environment.unixMs()),
        [this, key, generation = m_generation](const RecordOutcome& outcome) {
            if (generation == m_generation)
                handleEndOutcome(key, outcome);
        });
}

void AttemptTracker::handleEndOutcome(const AttemptKey& key, const RecordOutcome& outcome)
{
    const auto found = m_attempts.find(key);
    assert(found != m_attempts.end() && found->second.end);
    if (!outcome.stored || !isKnownEnded(key)) {
        found->second.end->appending = false;
        found->second.end->retryAt = m_environment.clock.now() + endRetryDelay;
        return;
    }
    const Attempt attempt = found->second;
    erase(key);
    if (attempt.end->reported)
        m_environment.send(attempt.host, AttemptEndedAck { key });
    m_onEnded(key, attempt.host, attempt.end->reason, attempt.end->result);
}

void AttemptTracker::handleStartReply(const std::string& host, const StartReply& reply)
{
    Attempt* attempt = findOn(reply.key, host);
    if (!attempt || attempt->stage != Stage::StartSent)
        return;
    if (reply.started) {
        attempt->stage = Stage::Running;
        return;
    }
    if (reply.refusal == errorName(ErrorKind::StaleView)) {
        m_environment.counters.add("starts_refused_stale");
        attempt->stage = Stage::AwaitingStart;
        attempt->startAt = m_environment.clock.now() + staleRetryDelay;
        m_toStart.push_back(reply.key);
        return;
    }
    beginEnd(reply.key, *attempt, End { EndReason::Refused, {}, reply.refusal });
}

void AttemptTracker::handleAttemptEnded(const std::string& host, const AttemptEnded& ended)
{
    Attempt* attempt = findOn(ended.key, host);
    if (attempt)
        beginEnd(ended.key, *attempt, End { ended.reason, ended.token, ended.result, true });
    else if (ended.shard == m_log.shard() && isKnownEnded(ended.key))
        m_environment.send(host, AttemptEndedAck { ended.key });
}

void AttemptTracker::handleCheckpointed(const std::string& host, const Checkpointed& message)
{
    Attempt* attempt = findOn(message.key, host);
    if (attempt && !attempt->end)
        attempt->checkpoint = message.token;
}

void AttemptTracker::handleKeepalive(const std::string& host, const Keepalive& keepalive)
{
    const auto onHost = m_byHost.find(host);
    if (onHost == m_byHost.end())
        return;
    std::set<AttemptKey> listed;
    for (const AttemptReport& report : keepalive.attempts) {
        listed.insert(report.key);
        noteListed(report.key, host, keepalive.stamp);
    }
    if (!keepalive.full)
        return;
    for (const AttemptKey& key : onHost->second.keys) {
        Attempt& attempt = m_attempts.at(key);
        if (listed.contains(key) || attempt.stage == Stage::AwaitingStart)
            continue;
        if (attempt.stage == Stage::Running)
            attempt.stage = Stage::Unconfirmed;
        if (keepalive.settled)
            m_leases.noteAbsent(key, keepalive.stamp, m_environment.clock.now());
    }
}

void AttemptTracker::noteListed(const AttemptKey& key, const std::string& host, const Stamp& stamp)
{
    Attempt* attempt = findOn(key, host);
    if (!attempt)
        return;
    m_leases.noteListed(key, stamp);
    if (attempt->stage == Stage::Unconfirmed)
        m_byHost.at(host).renewAt = Instant {};
    attempt->stage = Stage::Running;
}

bool AttemptTracker::isKnownEnded(const AttemptKey& key) const
{
    if (!m_log.isOwner())
        return false;
    const JobState* job = jobOf(key);
    if (!job || key.index >= job->tasks.size())
        return true;
    const TaskState& task = job->tasks[key.index];
    return !(task.open && task.open->attempt == key.attempt) && key.attempt <= task.lastAttempt;
}

} // namespace hemlocklead
