#include "coordination/TaskAgent.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    /// Minimum time between two reports of an attempt's progress to one entry. Progress only ranks attempts for
    /// eviction, and a report in each keepalive would be most of an entry's control traffic.
    constexpr Duration progressInterval { 30'000 };

    std::string refusalName(std::optional<ErrorKind> refusal)
    {
        return refusal ? std::string(errorName(*refusal)) : std::string();
    }

    std::string kindCounter(std::string_view name, ErrorKind kind)
    {
        return std::string(name) + "{kind=\"" + std::string(errorName(kind)) + "\"}";
    }

    AttemptEnded endedMessage(const HeldAttempt& attempt)
    {
        return { attempt.shard, attempt.key, attempt.endReason, attempt.token, attempt.result };
    }

} // namespace

TaskAgent::TaskAgent(const Clock& clock, const Settings& settings, const ControlState& control, WorkerService& worker,
    Counters& counters, Send send)
    : m_clock(clock)
    , m_settings(settings)
    , m_control(control)
    , m_counters(counters)
    , m_send(std::move(send))
    , m_table(settings.limits)
    , m_ledger(settings.reservationTtl)
    , m_runner(clock, { settings.limits.workerLease }, worker, m_table, m_ledger, counters, *this)
    , m_monitor(clock, { settings.limits.workerLease, settings.workerPoll }, worker, m_table, m_ledger, m_runner)
{
}

void TaskAgent::tick()
{
    const Instant now = m_clock.now();
    m_ledger.expire(now);
    for (auto& [key, attempt] : m_table.attempts())
        m_runner.tick(attempt);
    m_monitor.tick();
    for (const DueReport& report : m_reports.takeDue(now)) {
        const HeldAttempt* attempt = m_table.find(report.key);
        // The shard may have a new owner, so a repeated report is sent to every entry.
        if (attempt)
            m_send(report.isFirst ? attempt->owner : std::nullopt, endedMessage(*attempt));
    }
    m_table.purgeEnded(now);
    m_counters.set("attempts_held", static_cast<int64_t>(m_table.attempts().size()));
    if (m_leaving)
        stopAll();
    else if (m_settings.throttling)
        mitigateInterference();
}

void TaskAgent::entryMessage(size_t entry, const Message& message)
{
    std::visit([this, entry](const auto& known) { handle(entry, known); }, message);
}

void TaskAgent::handle(size_t entry, const Reserve& message)
{
    const std::optional<ErrorKind> refusal = refusalOf(message);
    if (refusal)
        m_counters.add(kindCounter("reservations_refused", *refusal));
    m_send(
        entry, ReserveReply { message.shard, message.key, !refusal, refusalName(refusal), stamp(), m_ledger.free() });
}

std::optional<ErrorKind> TaskAgent::refusalOf(const Reserve& message)
{
    if (m_leaving)
        return ErrorKind::Leaving;
    if (const HeldAttempt* known = m_table.find(message.key))
        return known->stage == AttemptStage::Ended ? std::optional(ErrorKind::Conflict) : std::nullopt;
    if (m_control.isOut(m_settings.dataCentre))
        return ErrorKind::DataCentreOut;
    return m_ledger.reserve(message.key.taskId(), message.resources, m_clock.now());
}

void TaskAgent::handle(size_t entry, const Start& message)
{
    if (!isCurrentEpoch(message.shard, message.epoch))
        return;
    const Instant now = m_clock.now();
    const StartContext context { now, m_control.isOut(m_settings.dataCentre), m_ledger.holds(message.key.taskId(), now),
        m_leaving };
    const StartDecision decision = m_table.decideStart(message, context);
    switch (decision.action) {
    case StartDecision::Action::Begin:
        beginAttempt(entry, message);
        break;
    case StartDecision::Action::Wait:
        m_startReplyWaiters[message.key].insert(entry);
        break;
    case StartDecision::Action::Started:
        m_table.renew(message.key, message.echo, message.lease, now);
        sendStartReply(entry, message.key, message.shard, {});
        break;
    case StartDecision::Action::Refuse:
        refuseStart(entry, message, decision.refusal);
        break;
    }
}

void TaskAgent::beginAttempt(size_t entry, const Start& message)
{
    m_ledger.commit(message.key.taskId(), m_clock.now());
    m_startReplyWaiters[message.key].insert(entry);
    LogEvent(LogLevel::Debug, "task_start").field("task", message.key.taskId()).field("trace", message.traceparent);
    HeldAttempt& attempt = m_table.begin(message);
    attempt.owner = entry;
    m_runner.start(attempt);
}

void TaskAgent::refuseStart(size_t entry, const Start& message, ErrorKind refusal)
{
    m_counters.add(kindCounter("starts_refused", refusal));
    // A refusal proves that the attempt was not started. Until the ledger has settled, a previous agent process on this
    // host may have started it, so no answer is sent and the owner learns the state from the keepalives.
    if (!m_monitor.isSettled() && !m_table.find(message.key))
        return;
    m_table.refuse(message, refusal, m_clock.now());
    const HeldAttempt* recorded = m_table.find(message.key);
    if (recorded && recorded->stage == AttemptStage::Ended)
        m_ledger.release(message.key.taskId());
    sendStartReply(entry, message.key, message.shard, refusal);
}

void TaskAgent::handle(size_t entry, const Renew& message)
{
    if (!isCurrentEpoch(message.shard, message.epoch))
        return;
    for (const AttemptKey& key : message.keys) {
        if (m_table.renew(key, message.echo, message.lease, m_clock.now())) {
            m_table.find(key)->owner = entry;
            continue;
        }
        m_counters.add("renewals_refused");
        // Without this report the owner would wait forever for an attempt that is unknown to this host.
        if (!m_table.find(key))
            endUnknownAttempt(message.shard, key, EndReason::Lost);
    }
}

void TaskAgent::handle(size_t, const Stop& message)
{
    if (!isCurrentEpoch(message.shard, message.epoch))
        return;
    if (HeldAttempt* attempt = m_table.find(message.key))
        m_runner.stop(*attempt, message.reason, message.checkpoint);
    else
        endUnknownAttempt(message.shard, message.key, message.reason);
}

void TaskAgent::endUnknownAttempt(uint32_t shard, const AttemptKey& key, EndReason reason)
{
    m_ledger.release(key.taskId());
    if (!m_monitor.isSettled())
        return;
    // Recorded as ended, so that a Start still in transit cannot run after the confirmed end.
    HeldAttempt& attempt = m_table.adopt(key);
    attempt.shard = shard;
    m_table.end(attempt, reason, {}, m_clock.now());
    m_reports.add(key, m_clock.now());
}

void TaskAgent::handle(size_t, const AttemptEndedAck& message)
{
    if (m_table.acknowledge(message.key))
        m_reports.remove(message.key);
}

bool TaskAgent::isCurrentEpoch(uint32_t shard, uint64_t epoch)
{
    uint64_t& highest = m_epochs[shard];
    if (epoch < highest) {
        m_counters.add("stale_epoch_messages");
        return false;
    }
    highest = epoch;
    return true;
}

Stamp TaskAgent::stamp() const { return { m_settings.limits.incarnation, m_clock.now().time_since_epoch().count() }; }

void TaskAgent::sendStartReply(size_t entry, const AttemptKey& key, uint32_t shard, std::optional<ErrorKind> refusal)
{
    m_send(entry, StartReply { shard, key, !refusal, refusalName(refusal), stamp() });
}

void TaskAgent::attemptStarted(const HeldAttempt& attempt)
{
    const auto waiters = m_startReplyWaiters.extract(attempt.key);
    if (waiters.empty())
        return;
    for (const size_t entry : waiters.mapped())
        sendStartReply(entry, attempt.key, attempt.shard, {});
}

void TaskAgent::attemptEnded(const HeldAttempt& attempt)
{
    const auto waiters = m_startReplyWaiters.extract(attempt.key);
    if (!waiters.empty()) {
        for (const size_t entry : waiters.mapped())
            sendStartReply(entry, attempt.key, attempt.shard, attempt.refusal);
    }
    m_reports.add(attempt.key, m_clock.now());
}

void TaskAgent::attemptCheckpointed(const HeldAttempt& attempt)
{
    m_send(attempt.owner, Checkpointed { attempt.shard, attempt.key, attempt.token, attempt.checkpointProgress });
}

void TaskAgent::taskListNeeded() { m_monitor.pollSoon(); }

void TaskAgent::noteLatency(const std::string& service, int64_t latencyUs)
{
    m_learner.noteLatency(service, latencyUs, m_clock.now());
}

void TaskAgent::mitigateInterference()
{
    const auto action = m_learner.decide(m_monitor.loads(), m_clock.now());
    for (const InterferenceReport& report : m_learner.takeChanged())
        m_scores[{ report.service, report.task }] = report.score;
    HeldAttempt* attempt = action ? m_table.find(action->key) : nullptr;
    if (!attempt)
        return;
    const bool evicts = action->kind == InterferenceAction::Kind::Evict;
    LogEvent(LogLevel::Info, evicts ? "task_evicted_for_service" : "task_throttled")
        .field("task", action->key.taskId())
        .field("factor", action->factor);
    m_counters.add(evicts ? "interference_evictions" : "interference_throttles");
    if (evicts)
        m_runner.stop(*attempt, EndReason::Evicted, true);
    else
        m_runner.throttle(*attempt, action->factor);
}

void TaskAgent::drain()
{
    m_leaving = true;
    stopAll();
}

void TaskAgent::stopAll()
{
    for (auto& [key, attempt] : m_table.attempts())
        m_runner.stop(attempt, EndReason::Evicted, true);
}

bool TaskAgent::isDrained() const
{
    return std::ranges::all_of(m_table.attempts(),
        [](const auto& entry) { return entry.second.stage == AttemptStage::Ended && entry.second.acknowledged; });
}

void TaskAgent::entryGone(size_t entry)
{
    m_reported.erase(entry);
    for (auto& [key, entries] : m_startReplyWaiters)
        entries.erase(entry);
    for (auto& [key, attempt] : m_table.attempts()) {
        if (attempt.owner == entry)
            attempt.owner.reset();
    }
}

void TaskAgent::fillKeepalive(size_t entry, Keepalive& keepalive)
{
    ReportedToEntry& reported = m_reported[entry];
    keepalive.capacity = m_ledger.capacity();
    keepalive.free = m_leaving ? Resources {} : m_ledger.free();
    keepalive.ledgerReady = m_ledger.isReady();
    keepalive.settled = m_monitor.isSettled();
    // The receiver concludes from a settled, full list that an attempt missing from it has ended.
    if (keepalive.settled && !reported.settled)
        keepalive.full = true;
    reported.settled = keepalive.settled;
    if (keepalive.full)
        reported = { {}, {}, keepalive.settled };
    fillAttempts(reported, keepalive);
    fillInterference(reported, keepalive);
}

bool TaskAgent::isReportDue(const ReportedProgress& reported, const ReportedProgress& current)
{
    if (reported.progress == current.progress && reported.checkpointProgress == current.checkpointProgress)
        return false;
    return current.reportedAt - reported.reportedAt >= progressInterval;
}

void TaskAgent::fillAttempts(ReportedToEntry& reported, Keepalive& keepalive) const
{
    for (const auto& [key, attempt] : m_table.attempts()) {
        // An attempt stays listed until its end is acknowledged: the report with the result must arrive before the
        // owner concludes from the list that the attempt has ended.
        if (attempt.refusal || (attempt.stage == AttemptStage::Ended && attempt.acknowledged))
            continue;
        const ReportedProgress current { attempt.progress, attempt.checkpointProgress, m_clock.now() };
        const auto known = reported.attempts.find(key);
        if (known != reported.attempts.end() && !isReportDue(known->second, current))
            continue;
        reported.attempts.insert_or_assign(key, current);
        TaskSpec spec = attempt.spec;
        spec.payload.clear();
        keepalive.attempts.push_back({ key, std::move(spec), attempt.progress, attempt.checkpointProgress });
    }
    std::erase_if(reported.attempts, [&](const auto& entry) { return !m_table.find(entry.first); });
}

void TaskAgent::fillInterference(ReportedToEntry& reported, Keepalive& keepalive) const
{
    for (const auto& [pair, score] : m_scores) {
        const auto known = reported.scores.find(pair);
        if (known != reported.scores.end() && known->second == score)
            continue;
        reported.scores.insert_or_assign(pair, score);
        keepalive.interference.push_back({ pair.first, pair.second, score });
    }
}

} // namespace hemlocklead
