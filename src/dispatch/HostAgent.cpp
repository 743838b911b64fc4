#include "dispatch/HostAgent.h"

#include "base/Log.h"
#include "dispatch/OwnerEpoch.h"

#include <algorithm>
#include <utility>

namespace hemlocklead::dispatch {

namespace {

    std::string runKey(const std::string& task, uint32_t attempt) { return task + '#' + std::to_string(attempt); }

    /// An unanswered stop is abandoned after this many tries; the owner repeats it if it is still needed.
    constexpr int maxStopTries = 5;

    /// A fence is the owner's epoch times this, plus a lower part. Fences stay exact as JSON numbers for epochs up to
    /// 2^29.
    constexpr uint64_t fencesPerEpoch = uint64_t { 1 } << 24;

    /// The lower part begins with the number of the owner's connection, which is higher for each later process of the
    /// agent. What is left counts the incarnations of the worker during the connection.
    constexpr uint64_t fencesPerConnection = 64;

} // namespace

HostAgent::HostAgent(WorkerPort& worker, ReportSender& sender, JournalService& journal, Timers& timers,
    const Clock& clock, Counters& counters, Settings settings)
    : m_worker(worker)
    , m_sender(sender)
    , m_journal(journal)
    , m_timers(timers)
    , m_clock(clock)
    , m_counters(counters)
    , m_settings(std::move(settings))
    , m_throttle(m_settings.throttle)
{
}

void HostAgent::start()
{
    // An earlier process of the agent may have granted leases until now, from a reading of the worker's clock.
    m_leaseEnd = leaseEndAfter(m_settings.lease);
    poll();
}

int64_t HostAgent::workerClockMs() const { return m_view.clockMs + (m_clock.now() - m_view.clockReadAt).count(); }

bool HostAgent::handleAnnouncement(const WorkerAnnouncement& announcement)
{
    const bool sameLife = announcement.life == m_announcement.life;
    const int64_t newestLife = std::max(m_announcement.life, m_view.life);
    if (announcement.life < newestLife || (sameLife && announcement.sequence <= m_announcement.sequence))
        return false;
    if (m_view.life != 0 && announcement.life > m_view.life)
        abandonIncarnation();
    const bool hasChanged = !sameLife || announcement.draining != m_announcement.draining
        || announcement.service != m_announcement.service;
    const bool wasDraining = sameLife && m_announcement.draining;
    m_announcement = announcement;
    // A draining worker does not become available again in the same incarnation.
    m_announcement.draining |= wasDraining;
    if (!hasChanged)
        return true;
    LogEvent(LogLevel::Info, "worker_announced")
        .field("life", announcement.life)
        .field("service", announcement.service)
        .field("draining", announcement.draining ? 1 : 0)
        .field("remaining_ms", announcement.remainingMs);
    report(true);
    return true;
}

void HostAgent::handleWorkerShutdown(const std::string& instance)
{
    if (instance != m_announcement.instance)
        return;
    m_announcement.draining = true;
    report(true);
}

void HostAgent::handleOwnerConnected()
{
    ++m_connection;
    m_highestOrder = 0;
    m_view.settledOrders = 0;
    m_reportsSent = 0;
    m_reportsRead = 0;
    m_ownerCountsReports = false;
    report(true);
}

bool HostAgent::isStale(const HostOrders& orders) const
{
    return orders.epoch < m_epochSeen || (orders.epoch == m_epochSeen && orders.connection < m_ownerConnection);
}

bool HostAgent::handleOrders(const HostOrders& orders)
{
    if (isStale(orders))
        return false;
    const bool isNewConnection = orders.epoch > m_epochSeen || orders.connection > m_ownerConnection;
    if (orders.epoch > m_epochSeen) {
        LogEvent(LogLevel::Info, "owner_accepted")
            .field("epoch", orders.epoch)
            .field("former", m_epochSeen)
            .field("connection", orders.connection)
            .field("life", m_view.life);
        acceptEpoch(orders.epoch);
    }
    m_ownerConnection = orders.connection;
    if (isNewConnection && m_fence != 0)
        m_fence = std::max(m_fence, firstFence());
    m_ownerCountsReports |= orders.readsPackedReports;
    m_reportsRead = std::max(m_reportsRead, orders.reportsRead);
    // While the incarnation is unknown, acknowledgements and readings of the clock belong to a former one.
    const bool sameLife = m_view.life != 0 && orders.life == m_view.life;
    if (sameLife && orders.echoMs > 0)
        m_view.leaseUntilMs = std::max<int64_t>(m_view.leaseUntilMs, orders.echoMs + m_settings.lease.count());
    for (const PairInterference& pair : orders.disturbances)
        m_throttle.setInterference(pair.serving, pair.filling, pair.takenPerCore);
    for (const RunOrder& known : orders.known)
        m_view.descriptions.insert_or_assign(known.task, known);
    const Duration maxAge = orders.startsValidMs > 0
        ? std::min(m_settings.maxOrderAge, Duration { orders.startsValidMs })
        : m_settings.maxOrderAge;
    const bool areLate = Duration { workerClockMs() - orders.echoMs } > maxAge;
    for (const RunOrder& order : orders.starts) {
        m_highestOrder = std::max(m_highestOrder, order.sequence);
        if (sameLife)
            startRun(order, areLate);
        else
            refuseStart(order, restartedReason);
    }
    for (const RunStop& stop : orders.stops)
        stopRun(stop, maxStopTries);
    if (sameLife && !orders.pauses.empty()) {
        for (const RunPause& pause : orders.pauses)
            pauseRun(pause);
        updateThrottling();
    }
    if (sameLife && orders.acknowledgedEnds > m_view.acknowledgedEnds) {
        m_view.acknowledgedEnds = orders.acknowledgedEnds;
        std::erase_if(m_view.ends, [this](const RunEnd& end) { return end.number <= m_view.acknowledgedEnds; });
        schedulePoll(Duration { 0 });
    }
    if (m_isReportWaiting && !mustReportWait())
        sendReport();
    return true;
}

void HostAgent::acceptEpoch(uint64_t epoch)
{
    m_epochSeen = epoch;
    m_view.epochFenced = false;
    m_epochIsNewest = false;
    m_ownerConnection = 0;
    // What the former owner has granted must not reach the worker under the fence of this one.
    m_view.leaseUntilMs = 0;
    m_fence = m_fence == 0 ? 0 : std::max(m_fence, epoch * fencesPerEpoch);
    // The owner declares no run lost before the worker has listed its runs under the new fence.
    pollAnew();
}

uint64_t HostAgent::firstFence() const
{
    const uint64_t lowest = m_epochSeen * fencesPerEpoch;
    if (m_ownerConnection > 0)
        return lowest + std::min(m_ownerConnection * fencesPerConnection, fencesPerEpoch - fencesPerConnection);
    // Builds of the owner that do not number their connections. The worker's clock increases across restarts of the
    // agent.
    return lowest + static_cast<uint64_t>(std::max<int64_t>(workerClockMs(), 0)) % (fencesPerEpoch - 1) + 1;
}

void HostAgent::raiseFence()
{
    const uint64_t lowest = m_epochSeen * fencesPerEpoch;
    const uint64_t highest = lowest + fencesPerEpoch - 1;
    if (m_fence == 0) {
        m_fence = firstFence();
        return schedulePoll(Duration { 0 });
    }
    // Without an owner there is nothing to do on the worker, and the first owner's epoch decides.
    if (m_epochSeen == 0)
        return schedulePoll(m_settings.retry);
    // An earlier process of the agent, or a late call of one, may have used a higher fence under this epoch.
    if (m_fence < highest) {
        m_fence = lowest + std::min(2 * (m_fence - lowest) + 1, fencesPerEpoch - 1);
        return schedulePoll(Duration { 0 });
    }
    // The worker has seen a later epoch, or an agent of a build that does not put the epoch into its fences.
    if (std::exchange(m_epochIsNewest, false)) {
        m_fence = 2 * m_fence + 1;
        return schedulePoll(Duration { 0 });
    }
    checkEpoch();
    schedulePoll(m_settings.retry);
}

void HostAgent::checkEpoch()
{
    if (std::exchange(m_isCheckingEpoch, true))
        return;
    LogEvent(LogLevel::Warning, "epoch_refused_by_worker").field("epoch", m_epochSeen).field("life", m_view.life);
    readOwnerEpoch(
        m_journal, m_settings.epochCheckTimeout, [this, epoch = m_epochSeen](std::optional<uint64_t> newest) {
            LogEvent(LogLevel::Info, "epoch_checked").field("epoch", epoch).field("newest", newest.value_or(0));
            if (!newest)
                return m_timers.after(m_settings.epochCheckTimeout, [this] { m_isCheckingEpoch = false; });
            m_isCheckingEpoch = false;
            if (epoch != m_epochSeen)
                return;
            if (*newest > m_epochSeen)
                acceptEpoch(*newest);
            else
                m_epochIsNewest = true;
        });
}

void HostAgent::startRun(const RunOrder& order, bool isLate)
{
    const int64_t leaseLeft = m_view.leaseUntilMs - workerClockMs();
    // Whether an incarnation drains is not known before it has announced itself.
    if (m_announcement.life != m_view.life)
        return refuseStart(order, restartedReason);
    if (m_announcement.draining)
        return refuseStart(order, "draining");
    if (isLate)
        return refuseStart(order, "order_late");
    if (leaseLeft < m_settings.minStartLease.count())
        return refuseStart(order, "lease_short");
    // A run starts at full speed and would interfere until the next poll.
    const BestEffortTask bestEffortTask { order.task, order.image, static_cast<double>(order.cpuMilli) / 1000 };
    if (order.fills && m_throttle.mustPause(bestEffortTask, m_clock.now()))
        return refuseStart(order, refusedWhilePaused);
    const std::string key = runKey(order.task, order.attempt);
    if (m_view.pendingStarts.contains(key))
        return;
    m_view.pendingStarts.emplace(
        key, PendingStart { order, m_connection, m_epochSeen, m_ownerConnection, std::nullopt });
    // A pause of an earlier run of the task does not apply to this one.
    m_throttle.pauseUntil(order.task, m_clock.now());
    noteLeaseGranted();
    m_worker.start(
        incarnation(), order, m_view.leaseUntilMs, [this, key, life = m_view.life](const WorkerAnswer& answer) {
            if (life == m_view.life)
                handleStartAnswer(key, answer);
        });
}

void HostAgent::handleStartAnswer(const std::string& key, const WorkerAnswer& answer)
{
    const auto pending = m_view.pendingStarts.find(key);
    if (pending == m_view.pendingStarts.end())
        return;
    if (answer.status == WorkerAnswer::Status::None) {
        LogEvent(LogLevel::Warning, "start_unanswered").field("task", pending->second.order.task);
        return revokeStart(key);
    }
    const RunOrder order = pending->second.order;
    m_counters.add(answer.status == WorkerAnswer::Status::Done ? "worker_starts" : "worker_starts_refused");
    if (answer.status == WorkerAnswer::Status::Refused) {
        m_view.pendingStarts.erase(pending);
        refuseStart(order, answer.reason);
        if (answer.reason == restartedReason)
            abandonIncarnation();
        return;
    }
    // The answer to a poll that was already sent may list the runs as of a time before the start.
    pending->second.lastPollBeforeAnswer = m_pollsSent;
    LogEvent(LogLevel::Info, "run_started")
        .field("task", order.task)
        .field("attempt", order.attempt)
        .field("epoch", pending->second.epoch)
        .field("connection", pending->second.ownerConnection)
        .field("order", order.sequence)
        .field("life", m_view.life)
        .field("fence", m_fence);
    RunOrder known = order;
    known.payload.clear();
    m_view.descriptions.insert_or_assign(order.task, std::move(known));
}

void HostAgent::revokeStart(const std::string& key)
{
    const auto pending = m_view.pendingStarts.find(key);
    if (pending == m_view.pendingStarts.end())
        return;
    // The worker refuses a start that arrives after the stop of the same run.
    const RunStop stop { pending->second.order.task, pending->second.order.attempt };
    m_worker.stop(incarnation(), stop, [this, key, life = m_view.life](const WorkerAnswer& answer) {
        const auto found = m_view.pendingStarts.find(key);
        if (life != m_view.life || found == m_view.pendingStarts.end())
            return;
        if (answer.status != WorkerAnswer::Status::Done) {
            m_timers.after(m_settings.stopRetry, [this, key] { revokeStart(key); });
            return;
        }
        // If the run had started, the next poll lists the run or its end, which is then reported to the owner.
        found->second.lastPollBeforeAnswer = m_pollsSent;
        LogEvent(LogLevel::Info, "start_revoked")
            .field("task", found->second.order.task)
            .field("attempt", found->second.order.attempt);
    });
}

void HostAgent::refuseStart(const RunOrder& order, const std::string& reason)
{
    LogEvent(LogLevel::Info, "start_refused")
        .field("task", order.task)
        .field("attempt", order.attempt)
        .field("reason", reason)
        .field("epoch", m_epochSeen)
        .field("connection", m_ownerConnection)
        .field("order", order.sequence)
        .field("life", m_view.life);
    m_refusals.push_back({ order.task, order.attempt, reason });
    report(false);
}

void HostAgent::stopRun(const RunStop& stop, int triesLeft)
{
    m_worker.stop(incarnation(), stop, [this, stop, triesLeft, life = m_view.life](const WorkerAnswer& answer) {
        if (life != m_view.life || answer.status != WorkerAnswer::Status::None || triesLeft <= 1)
            return;
        m_timers.after(m_settings.stopRetry, [this, stop, triesLeft, epoch = m_epochSeen] {
            if (epoch == m_epochSeen)
                stopRun(stop, triesLeft - 1);
        });
    });
}

void HostAgent::pauseRun(const RunPause& pause)
{
    const auto known = m_view.descriptions.find(pause.task);
    if (known == m_view.descriptions.end() || known->second.attempt != pause.attempt || !known->second.fills)
        return;
    const Duration valid = std::clamp(Duration { pause.validMs }, Duration { 0 }, m_settings.maxPause);
    m_throttle.pauseUntil(pause.task, m_clock.now() + valid);
    if (valid > Duration { 0 })
        m_timers.after(valid, [this] { updateThrottling(); });
}

uint64_t HostAgent::settledOrders() const
{
    uint64_t settled = m_highestOrder;
    for (const auto& [key, pending] : m_view.pendingStarts) {
        if (pending.connection == m_connection && !pending.lastPollBeforeAnswer)
            settled = std::min(settled, pending.order.sequence - 1);
    }
    return settled;
}

void HostAgent::schedulePoll(Duration delay)
{
    const uint64_t timer = ++m_pollTimer;
    m_timers.after(delay, [this, timer] {
        if (timer == m_pollTimer)
            poll();
    });
}

void HostAgent::poll()
{
    if (m_isPolling)
        return;
    m_isPolling = true;
    WorkerPoll poll;
    if (m_fence != 0 && m_view.leaseUntilMs > workerClockMs()) {
        poll.leaseUntilMs = m_view.leaseUntilMs;
        noteLeaseGranted();
    }
    // A poll that is carried out late by a later incarnation must not discard that one's ends.
    if (m_view.acknowledgedEnds > m_view.discardedEnds)
        poll.acknowledgedEnds = m_view.acknowledgedEnds;
    // The worker answers a poll at once while it has unacknowledged ends.
    const Duration maxWait = m_throttle.isPausing() ? m_settings.pollWaitWhilePausing : m_settings.pollWait;
    const bool isListCurrent = m_view.hasReadRuns && (m_view.epochFenced || m_epochSeen == 0);
    poll.wait = isListCurrent && m_view.ends.empty() ? maxWait : Duration { 0 };
    const SentPoll sent { ++m_pollsSent, m_clock.now(), m_connection, settledOrders(), m_fence == 0 ? 0 : m_epochSeen,
        poll.acknowledgedEnds };
    m_worker.poll(incarnation(), poll, [this, sent](WorkerState state) { handlePollAnswer(std::move(state), sent); });
}

void HostAgent::handlePollAnswer(WorkerState state, const SentPoll& sent)
{
    if (sent.number != m_pollsSent)
        return; // The poll was abandoned.
    m_isPolling = false;
    if (state.status == WorkerState::Status::None)
        return handleUnansweredPoll();
    if (state.status == WorkerState::Status::OtherIncarnation) {
        beginIncarnation(0);
        return schedulePoll(m_settings.minPollInterval);
    }
    // A refusal does not name the incarnation.
    if (state.life != 0 && state.life != m_view.life) {
        const bool isFirst = m_view.life == 0;
        beginIncarnation(state.life);
        // This answer was read under the fence of the former incarnation.
        if (!isFirst)
            return schedulePoll(Duration { 0 });
    }
    if (state.status == WorkerState::Status::Ok) {
        m_view.clockMs = state.clockMs;
        m_view.clockReadAt = m_clock.now();
    }
    if (m_fence == 0 || state.status == WorkerState::Status::Fenced) {
        // Another process of the agent may have acted since the last list.
        m_view.epochFenced = false;
        m_view.hasReadRuns = false;
        return raiseFence();
    }
    m_view.epochFenced = m_epochSeen != 0 && sent.epoch == m_epochSeen;
    if (m_unansweredPolls >= m_settings.pollsUntilSilent)
        LogEvent(LogLevel::Info, "worker_reached").field("life", m_view.life);
    m_unansweredPolls = 0;
    applyState(state, sent);
}

void HostAgent::applyState(WorkerState& state, const SentPoll& sent)
{
    m_view.discardedEnds = std::max(m_view.discardedEnds, sent.acknowledgedEnds);
    m_view.running = std::move(state.running);
    m_view.hasMoreEnds = state.hasMoreEnds;
    m_view.hasReadRuns = true;
    if (!m_view.firstListMs && m_view.epochFenced)
        m_view.firstListMs = state.clockMs;
    m_view.settledOrders = sent.connection == m_connection ? sent.settledOrders : 0;
    std::erase_if(m_view.pendingStarts, [&](const auto& entry) {
        return entry.second.lastPollBeforeAnswer && *entry.second.lastPollBeforeAnswer < sent.number;
    });
    m_view.ends.clear();
    for (RunEnd& end : state.ends) {
        if (end.number <= m_view.acknowledgedEnds)
            continue;
        const auto known = m_view.descriptions.find(end.task);
        if (known != m_view.descriptions.end() && known->second.attempt == end.attempt)
            m_view.descriptions.erase(known);
        m_view.ends.push_back(std::move(end));
    }
    updateThrottling();
    report(true);
    const Duration elapsed = m_clock.now() - sent.sentAt;
    const Duration pause = m_view.ends.empty() ? m_settings.minPollInterval : m_settings.acknowledgementWait;
    schedulePoll(elapsed >= pause ? Duration { 0 } : pause - elapsed);
}

void HostAgent::updateThrottling()
{
    std::vector<LatencyCriticalTask> latencyCritical;
    std::vector<BestEffortTask> bestEffort;
    std::map<std::string, uint32_t> attempts;
    for (WorkerRun& run : m_view.running) {
        const auto known = m_view.descriptions.find(run.report.task);
        if (known == m_view.descriptions.end())
            continue;
        const RunOrder& order = known->second;
        if (order.tailTargetMs > 0) {
            const double ratio = static_cast<double>(run.measurement) / static_cast<double>(order.tailTargetMs);
            latencyCritical.push_back({ order.task, order.image, ratio });
            run.report.tailPerMille = run.measurement * 1000 / order.tailTargetMs;
        }
        if (order.fills) {
            bestEffort.push_back({ order.task, order.image, static_cast<double>(order.cpuMilli) / 1000 });
            attempts[order.task] = run.report.attempt;
            run.report.pace = m_throttle.speedPercent(order.task);
        }
    }
    for (const ThrottleOrder& order : m_throttle.update(latencyCritical, bestEffort, m_clock.now())) {
        m_counters.add("pace_orders");
        LogEvent(LogLevel::Info, "run_paced").field("task", order.task).field("percent", order.percent);
        m_worker.setSpeed(incarnation(), { order.task, attempts[order.task] }, order.percent,
            [this, task = order.task, life = m_view.life](const WorkerAnswer& answer) {
                if (life == m_view.life && answer.status != WorkerAnswer::Status::Done)
                    m_throttle.forget(task);
            });
    }
}

void HostAgent::beginIncarnation(int64_t life)
{
    // The next incarnation carries out late calls that were meant for this one until it has seen a higher fence.
    if (m_view.life != 0)
        ++m_fence;
    LogEvent(LogLevel::Info, "worker_life").field("life", life).field("former", m_view.life).field("fence", m_fence);
    m_view = {};
    m_view.life = life;
    m_throttle.forgetAll();
    // The calls that it has carried out until then may have extended its lease.
    if (life != 0)
        m_leaseEnd = std::max(m_leaseEnd, leaseEndAfter(m_settings.maxLease));
    // Announcements of another incarnation do not apply to this one.
    if (m_announcement.life != life)
        m_announcement = {};
}

void HostAgent::abandonIncarnation()
{
    beginIncarnation(0);
    pollAnew();
}

void HostAgent::pollAnew()
{
    // The answer to a poll that is under way is not used any more.
    m_isPolling = false;
    ++m_pollsSent;
    schedulePoll(Duration { 0 });
}

void HostAgent::handleUnansweredPoll()
{
    ++m_unansweredPolls;
    if (m_unansweredPolls == m_settings.pollsUntilSilent)
        LogEvent(LogLevel::Warning, "worker_silent").field("life", m_view.life);
    if (m_unansweredPolls >= m_settings.pollsUntilSilent)
        report(false);
    schedulePoll(m_settings.retry);
}

bool HostAgent::isLeaseInherited() const
{
    return m_view.firstListMs
        && *m_view.firstListMs + m_settings.maxLease.count() > m_view.clockMs + m_settings.lease.count();
}

Instant HostAgent::leaseEndAfter(Duration workerTime) const
{
    const double time = static_cast<double>(workerTime.count()) * m_settings.clockDriftFactor;
    return m_clock.now() + Duration { static_cast<int64_t>(time) } + m_settings.leaseExpiryMargin;
}

void HostAgent::noteLeaseGranted()
{
    m_leaseEnd = std::max(m_leaseEnd, leaseEndAfter(Duration { m_view.leaseUntilMs - workerClockMs() }));
}

bool HostAgent::mustReportWait() const
{
    return m_ownerCountsReports && m_reportsSent >= m_reportsRead + m_settings.maxUnreadReports
        && m_clock.now() - m_reportedAt < m_settings.maxReportDelay;
}

void HostAgent::report(bool full)
{
    m_isNextReportFull |= full;
    if (!mustReportWait())
        return sendReport();
    if (std::exchange(m_isReportWaiting, true))
        return;
    const Duration left = m_settings.maxReportDelay - (m_clock.now() - m_reportedAt);
    m_timers.after(left, [this] {
        if (m_isReportWaiting)
            sendReport();
    });
}

void HostAgent::sendReport()
{
    const bool full = std::exchange(m_isNextReportFull, false);
    m_isReportWaiting = false;
    m_reportedAt = m_clock.now();
    ++m_reportsSent;
    HostReport message;
    message.host = m_settings.host;
    message.epochSeen = m_epochSeen;
    message.silent = m_unansweredPolls >= m_settings.pollsUntilSilent;
    message.lapsed = message.silent && m_clock.now() > m_leaseEnd;
    message.life = m_view.hasReadRuns ? m_view.life : 0;
    message.clockMs = m_view.hasReadRuns ? m_view.clockMs : 0;
    message.service = m_announcement.service;
    message.dataCentre = m_announcement.dataCentre;
    message.rack = m_announcement.rack;
    message.labels = m_announcement.labels;
    message.capacity = m_announcement.capacity;
    message.draining = m_announcement.draining;
    message.remainingMs = m_announcement.remainingMs;
    message.refusesBestEffort = m_throttle.refusesBestEffort(m_clock.now());
    message.full = full && m_view.hasReadRuns && !message.silent;
    message.hasMoreEnds = m_view.hasMoreEnds;
    message.fencesEpochs = true;
    message.epochFenced = m_view.epochFenced;
    message.leaseInherited = isLeaseInherited();
    message.settledOrders = m_view.settledOrders;
    if (message.full) {
        for (const WorkerRun& run : m_view.running)
            message.running.push_back(run.report);
        for (const auto& [key, pending] : m_view.pendingStarts)
            message.pending.push_back({ pending.order.task, pending.order.attempt, "", 0 });
    }
    message.ends = m_view.ends;
    message.refusals = std::exchange(m_refusals, {});
    m_sender.send(message);
}

} // namespace hemlocklead::dispatch
