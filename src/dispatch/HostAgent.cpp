#include "dispatch/HostAgent.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace hemlocklead::dispatch {

namespace {

    std::string runKey(const std::string& task, uint32_t attempt) { return task + '#' + std::to_string(attempt); }

    /// Unanswered stops are given up after this many tries; the owner repeats those that it still wants.
    constexpr int stopTries = 5;

} // namespace

HostAgent::HostAgent(
    WorkerPort& worker, ReportSender& sender, Delays& delays, const Clock& clock, Counters& counters, Settings settings)
    : m_worker(worker)
    , m_sender(sender)
    , m_delays(delays)
    , m_clock(clock)
    , m_counters(counters)
    , m_settings(std::move(settings))
    , m_pace(m_settings.pace)
{
}

void HostAgent::start() { look(); }

int64_t HostAgent::workerClock() const { return m_clockMs + (m_clock.now() - m_clockReadAt).count(); }

void HostAgent::announced(const WorkerAnnouncement& announcement)
{
    const bool sameLife = announcement.life == m_announcement.life;
    if (announcement.life < m_announcement.life || (sameLife && announcement.sequence <= m_announcement.sequence))
        return;
    const bool news = !sameLife || announcement.draining != m_announcement.draining
        || announcement.service != m_announcement.service;
    const bool wasDraining = sameLife && m_announcement.draining;
    m_announcement = announcement;
    // A worker that drains does not come back in the same life.
    m_announcement.draining |= wasDraining;
    if (!news)
        return;
    LogEvent(LogLevel::Info, "worker_announced")
        .field("life", announcement.life)
        .field("service", announcement.service)
        .field("draining", announcement.draining ? 1 : 0)
        .field("remaining_ms", announcement.remainingMs);
    if (announcement.life > m_life && m_life != 0)
        scheduleLook(Duration { 0 });
    report(true);
}

void HostAgent::withdrawn()
{
    m_announcement.draining = true;
    report(true);
}

void HostAgent::ownerConnected()
{
    ++m_connection;
    m_highestOrder = 0;
    m_settled = 0;
    report(true);
}

bool HostAgent::ordered(const HostOrders& orders)
{
    if (orders.epoch < m_epochSeen) {
        LogEvent(LogLevel::Warning, "stale_owner").field("epoch", orders.epoch).field("seen", m_epochSeen);
        return false;
    }
    if (orders.epoch > m_epochSeen)
        LogEvent(LogLevel::Info, "owner_accepted").field("epoch", orders.epoch).field("former", m_epochSeen);
    m_epochSeen = orders.epoch;
    const bool sameLife = orders.life == m_life;
    if (sameLife && orders.echoMs > 0)
        m_leaseUntilMs = std::max<int64_t>(m_leaseUntilMs, orders.echoMs + m_settings.lease.count());
    for (const PairDisturbance& pair : orders.disturbances)
        m_pace.setDisturbance(pair.serving, pair.filling, pair.takenPerCore);
    for (const RunOrder& known : orders.known)
        m_known.insert_or_assign(known.task, known);
    for (const RunOrder& order : orders.starts) {
        m_highestOrder = std::max(m_highestOrder, order.sequence);
        if (sameLife)
            startRun(order);
        else
            refuse(order, "worker_restarted");
    }
    for (const RunStop& stop : orders.stops)
        stopRun(stop, stopTries);
    if (sameLife && orders.acknowledgedEnds > m_acknowledged) {
        m_acknowledged = orders.acknowledgedEnds;
        std::erase_if(m_ends, [this](const RunEnd& end) { return end.number <= m_acknowledged; });
        scheduleLook(Duration { 0 });
    }
    return true;
}

void HostAgent::startRun(const RunOrder& order)
{
    const int64_t leaseLeft = m_leaseUntilMs - workerClock();
    // The order is for the life of the last look. Calls go to the life that has announced itself last.
    if (m_announcement.life != m_life)
        return refuse(order, "worker_restarted");
    if (m_announcement.draining)
        return refuse(order, "draining");
    if (leaseLeft < m_settings.minStartLease.count())
        return refuse(order, "lease_short");
    // A run starts at full pace; it would disturb until the next look.
    const FillingTask filler { order.task, order.image, static_cast<double>(order.cpuMilli) / 1000 };
    if (order.fills && m_pace.holds(filler, m_clock.now()))
        return refuse(order, refusedForServing);
    const std::string key = runKey(order.task, order.attempt);
    if (m_open.contains(key))
        return;
    m_open.emplace(key, OpenStart { order, m_connection, std::nullopt });
    m_sentUntilMs = std::max(m_sentUntilMs, m_leaseUntilMs);
    m_worker.start(order, m_leaseUntilMs, m_fence, [this, key, life = m_life](const WorkerAnswer& answer) {
        if (life == m_life)
            startAnswered(key, answer);
    });
}

void HostAgent::startAnswered(const std::string& key, const WorkerAnswer& answer)
{
    const auto open = m_open.find(key);
    if (open == m_open.end())
        return;
    if (answer.status == WorkerAnswer::Status::None) {
        LogEvent(LogLevel::Warning, "start_unanswered").field("task", open->second.order.task);
        return revoke(key);
    }
    const RunOrder order = open->second.order;
    m_counters.add(answer.status == WorkerAnswer::Status::Done ? "worker_starts" : "worker_starts_refused");
    if (answer.status == WorkerAnswer::Status::Refused) {
        m_open.erase(open);
        return refuse(order, answer.reason);
    }
    // The list of runs of a look that is under way may be older than the start.
    open->second.answeredAfter = m_looks;
    LogEvent(LogLevel::Info, "run_started").field("task", order.task).field("attempt", order.attempt);
    RunOrder known = order;
    known.payload.clear();
    m_known.insert_or_assign(order.task, std::move(known));
}

void HostAgent::revoke(const std::string& key)
{
    const auto open = m_open.find(key);
    if (open == m_open.end())
        return;
    // The worker refuses a late start of a run that was stopped before it came.
    const RunStop stop { open->second.order.task, open->second.order.attempt };
    m_worker.stop(stop, m_fence, [this, key, life = m_life](const WorkerAnswer& answer) {
        const auto found = m_open.find(key);
        if (life != m_life || found == m_open.end())
            return;
        if (answer.status != WorkerAnswer::Status::Done) {
            m_delays.after(m_settings.stopRetry, [this, key] { revoke(key); });
            return;
        }
        // If the run had begun, it or its end is on the lists of the next look, and the owner learns of it there.
        found->second.answeredAfter = m_looks;
        LogEvent(LogLevel::Info, "start_revoked")
            .field("task", found->second.order.task)
            .field("attempt", found->second.order.attempt);
    });
}

void HostAgent::refuse(const RunOrder& order, const std::string& reason)
{
    LogEvent(LogLevel::Info, "start_refused")
        .field("task", order.task)
        .field("attempt", order.attempt)
        .field("reason", reason);
    m_refusals.push_back({ order.task, order.attempt, reason });
    report(false);
}

void HostAgent::stopRun(const RunStop& stop, int triesLeft)
{
    m_worker.stop(stop, m_fence, [this, stop, triesLeft, life = m_life](const WorkerAnswer& answer) {
        if (life != m_life || answer.status != WorkerAnswer::Status::None || triesLeft <= 1)
            return;
        m_delays.after(m_settings.stopRetry, [this, stop, triesLeft] { stopRun(stop, triesLeft - 1); });
    });
}

uint64_t HostAgent::settledOrders() const
{
    uint64_t settled = m_highestOrder;
    for (const auto& [key, open] : m_open) {
        if (open.connection == m_connection && !open.answeredAfter)
            settled = std::min(settled, open.order.sequence - 1);
    }
    return settled;
}

void HostAgent::scheduleLook(Duration delay)
{
    const uint64_t timer = ++m_lookTimer;
    m_delays.after(delay, [this, timer] {
        if (timer == m_lookTimer)
            look();
    });
}

void HostAgent::look()
{
    if (m_looking)
        return;
    m_looking = true;
    WorkerLook look;
    if (m_fence != 0 && m_leaseUntilMs > workerClock()) {
        look.leaseUntilMs = m_leaseUntilMs;
        m_sentUntilMs = std::max(m_sentUntilMs, m_leaseUntilMs);
    }
    look.acknowledgedEnds = m_acknowledged;
    // Ends that are not acknowledged yet would end the wait at once.
    const Duration longest = m_pace.isHolding() ? m_settings.lookWhileHolding : m_settings.look;
    look.wait = m_fence != 0 && m_ends.empty() ? longest : Duration { 0 };
    const SentLook sent { ++m_looks, m_clock.now(), m_connection, settledOrders() };
    m_worker.look(look, m_fence, [this, sent](WorkerState state) { looked(std::move(state), sent); });
}

void HostAgent::looked(WorkerState state, const SentLook& sent)
{
    m_looking = false;
    if (state.status == WorkerState::Status::None)
        return noAnswer();
    if (state.status == WorkerState::Status::OtherLife) {
        // Nothing of the former life may reach the new one, such as the number of the last acknowledged end.
        beginLife(0);
        return scheduleLook(m_settings.shortestLook);
    }
    if (state.life != m_life)
        beginLife(state.life);
    m_clockMs = state.clockMs;
    m_clockReadAt = m_clock.now();
    if (m_fence == 0 || state.status == WorkerState::Status::Fenced) {
        // The worker's clock rises over the lives of the agent. Doubling passes any higher fence of an earlier life of
        // the worker that was left behind by a late call.
        m_fence = std::max<uint64_t>(static_cast<uint64_t>(std::max<int64_t>(state.clockMs, 0)) + 1, 2 * m_fence + 1);
        return scheduleLook(Duration { 0 });
    }
    if (m_unanswered >= m_settings.looksUntilSilent)
        LogEvent(LogLevel::Info, "worker_reached").field("life", m_life);
    m_unanswered = 0;
    noteState(state, sent);
}

void HostAgent::noteState(WorkerState& state, const SentLook& sent)
{
    m_running = std::move(state.running);
    m_runsRead = true;
    m_settled = sent.connection == m_connection ? sent.settledOrders : 0;
    std::erase_if(m_open,
        [&](const auto& entry) { return entry.second.answeredAfter && *entry.second.answeredAfter < sent.number; });
    m_ends.clear();
    for (RunEnd& end : state.ends) {
        if (end.number <= m_acknowledged)
            continue;
        const auto known = m_known.find(end.task);
        if (known != m_known.end() && known->second.attempt == end.attempt)
            m_known.erase(known);
        m_ends.push_back(std::move(end));
    }
    controlPace();
    report(true);
    const Duration elapsed = m_clock.now() - sent.sentAt;
    const Duration pause = m_ends.empty() ? m_settings.shortestLook : m_settings.ackWait;
    scheduleLook(elapsed >= pause ? Duration { 0 } : pause - elapsed);
}

void HostAgent::controlPace()
{
    std::vector<ServingTask> serving;
    std::vector<FillingTask> filling;
    std::map<std::string, uint32_t> attempts;
    for (WorkerRun& run : m_running) {
        const auto known = m_known.find(run.report.task);
        if (known == m_known.end())
            continue;
        const RunOrder& order = known->second;
        if (order.tailTargetMs > 0) {
            const double ratio = static_cast<double>(run.figure) / static_cast<double>(order.tailTargetMs);
            serving.push_back({ order.task, order.image, ratio });
            run.report.tailPerMille = run.figure * 1000 / order.tailTargetMs;
        }
        if (order.fills) {
            filling.push_back({ order.task, order.image, static_cast<double>(order.cpuMilli) / 1000 });
            attempts[order.task] = run.report.attempt;
            run.report.pace = m_pace.pace(order.task);
        }
    }
    for (const PaceOrder& order : m_pace.update(serving, filling, m_clock.now())) {
        m_counters.add("pace_orders");
        LogEvent(LogLevel::Info, "run_paced").field("task", order.task).field("percent", order.percent);
        m_worker.pace({ order.task, attempts[order.task] }, order.percent, m_fence,
            [this, task = order.task](const WorkerAnswer& answer) {
                if (answer.status != WorkerAnswer::Status::Done)
                    m_pace.forget(task);
            });
    }
}

void HostAgent::beginLife(int64_t life)
{
    LogEvent(LogLevel::Info, "worker_life").field("life", life).field("former", m_life);
    m_life = life;
    m_leaseUntilMs = 0;
    m_sentUntilMs = 0;
    m_acknowledged = 0;
    m_running.clear();
    m_runsRead = false;
    m_ends.clear();
    m_open.clear();
    m_known.clear();
    // Announcements of another life say nothing of this one.
    if (m_announcement.life != life)
        m_announcement = {};
}

void HostAgent::noAnswer()
{
    ++m_unanswered;
    if (m_unanswered == m_settings.looksUntilSilent)
        LogEvent(LogLevel::Warning, "worker_silent").field("life", m_life);
    if (m_unanswered >= m_settings.looksUntilSilent)
        report(false);
    scheduleLook(m_settings.retry);
}

bool HostAgent::hasLapsed() const
{
    const double left = static_cast<double>(m_sentUntilMs - m_clockMs) * m_settings.clockSlack;
    const Duration elapsed = m_clock.now() - m_clockReadAt;
    return static_cast<double>((elapsed - m_settings.lapseMargin).count()) > left;
}

void HostAgent::report(bool full)
{
    HostReport message;
    message.host = m_settings.host;
    message.epochSeen = m_epochSeen;
    message.silent = m_unanswered >= m_settings.looksUntilSilent;
    message.lapsed = message.silent && m_life != 0 && hasLapsed();
    message.life = m_life;
    message.clockMs = m_clockMs;
    message.service = m_announcement.service;
    message.dataCentre = m_announcement.dataCentre;
    message.rack = m_announcement.rack;
    message.labels = m_announcement.labels;
    message.capacity = m_announcement.capacity;
    message.draining = m_announcement.draining;
    message.remainingMs = m_announcement.remainingMs;
    message.full = full && m_life != 0 && m_runsRead && !message.silent;
    message.settledOrders = m_settled;
    if (message.full) {
        for (const WorkerRun& run : m_running)
            message.running.push_back(run.report);
        for (const auto& [key, open] : m_open)
            message.pending.push_back({ open.order.task, open.order.attempt, "", 0 });
    }
    message.ends = m_ends;
    message.refusals = std::exchange(m_refusals, {});
    m_sender.send(message);
}

} // namespace hemlocklead::dispatch
