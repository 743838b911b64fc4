#include "dispatch/Dispatcher.h"

#include "base/Log.h"
#include "dispatch/OrderBatches.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    /// Ejects a host after consecutive failed runs of at least two jobs. The ejection is short because most hosts that
    /// fail every run recover within seconds, and a single probe run shows it.
    constexpr StartEjector::Settings ejectorSettings { 4, 2, Duration { 4000 }, 30 };

} // namespace

Dispatcher::Dispatcher(JobRegistry& registry, const JournalFollower& follower, JournalWriter& writer,
    OrderSender& sender, const Clock& clock, const WallClock& wallClock, Counters& counters, Settings settings)
    : m_registry(registry)
    , m_follower(follower)
    , m_writer(writer)
    , m_sender(sender)
    , m_clock(clock)
    , m_wallClock(wallClock)
    , m_counters(counters)
    , m_settings(settings)
    , m_room({})
    , m_bound({ .percent = settings.maxInterferedPercent })
    , m_ejector(ejectorSettings)
    , m_learnedSchedule({})
    , m_serviceLevels(clock, counters, {})
    , m_waitingSteps(WaitingStepLog::Settings {})
{
}

void Dispatcher::activate(bool formerStopped)
{
    deactivate();
    m_active = true;
    const Instant now = m_clock.now();
    m_activeSince = now;
    m_formerLeasesEnd = adoptedLeaseEnd(formerStopped);
    const std::optional<LeaseList>& list = m_registry.leaseList();
    for (const auto& [name, member] : m_registry.hosts()) {
        const bool isListed = list && list->ends.contains(name);
        if (isListed)
            m_listedHosts.insert(name);
        m_hosts.host(name).leaseEnd = isListed ? list->ends.at(name) : m_formerLeasesEnd;
    }
    for (const auto& [id, job] : m_registry.jobs()) {
        adoptRuns(*job);
        if (isFinal(job->phase())) {
            m_endedJobs.emplace(id, now);
            continue;
        }
        m_openJobs.insert(id);
        if (job->isCancelRequested())
            endJob(*job, JobPhase::Cancelled);
        else
            finishIfDone(*job);
    }
    adoptLearnedState();
    LogEvent(LogLevel::Info, "dispatch_begins")
        .field("epoch", m_writer.epoch())
        .field("open_jobs", static_cast<uint64_t>(m_openJobs.size()))
        .field("hosts", static_cast<uint64_t>(m_hosts.hosts().size()))
        .field("former_stopped", formerStopped ? 1 : 0)
        .field("leases_end_ms", static_cast<int64_t>((m_formerLeasesEnd - now).count()));
}

Instant Dispatcher::adoptedLeaseEnd(bool formerStopped) const
{
    const Instant now = m_clock.now();
    // An earlier owner may extend leases for `authority` after its last append, which precedes the claim.
    Instant extendedUntil = m_registry.formerOwnerSeenAt().value_or(now) + m_settings.authority;
    // If the former owner has stopped, only owners before it may be left. The hosts that it had not taken over from
    // them are in its list.
    const std::optional<LeaseList>& list = m_registry.leaseList();
    if (formerStopped && (!list || list->epoch == m_registry.formerEpoch()))
        extendedUntil = now;
    return extendedUntil + m_settings.lease + m_settings.leaseMargin;
}

std::set<std::string> Dispatcher::hostsToList() const
{
    const Instant now = m_clock.now();
    std::set<std::string> hosts;
    for (const auto& [name, host] : m_hosts.hosts()) {
        const bool isOutOfTouch = !host.reported && now - host.reportedAt >= m_settings.listLeasesAfter;
        if (isOutOfTouch && !host.runs.empty())
            hosts.insert(name);
    }
    return hosts;
}

void Dispatcher::listLeases(std::vector<JournalRecord>& records, Commit& commit)
{
    std::set<std::string> hosts = hostsToList();
    if (m_hasRecordedLeases && m_listedHosts == hosts)
        return;
    std::map<std::string, Duration> remaining;
    for (const std::string& name : hosts)
        remaining.emplace(name, m_hosts.host(name).leaseEnd - m_clock.now());
    records.push_back({ std::string(leasesKey), leasesValue(m_writer.epoch(), remaining), 0 });
    // Until the outcome is known, either list may be the newest.
    m_listedHosts.insert(hosts.begin(), hosts.end());
    commit.listedHosts = std::move(hosts);
}

void Dispatcher::adoptRuns(Job& job)
{
    job.noteEvent(m_clock.now());
    job.forEachTask([&](const TaskId& id, const TaskState& task) {
        if (task.phase == TaskPhase::Placed)
            m_hosts.add(m_hosts.host(task.host), id, task.attempt, job.spec().steps[id.step], HostRun::Stage::Adopted);
    });
}

void Dispatcher::deactivate()
{
    m_active = false;
    m_hosts.clear();
    m_openJobs.clear();
    m_plans.clear();
    m_dirtyJobs.clear();
    m_pendingAcks.clear();
    m_pendingStarts.clear();
    m_durableStarts.clear();
    m_listedHosts.clear();
    m_hasRecordedLeases = false;
    m_endedJobs.clear();
    m_room.clear();
    m_loadSchedule = {};
    m_waitingInTime.clear();
    m_stoppedForWorkInTime.clear();
    m_reservedShares.clear();
    m_bound.update({});
    m_boundIndices.clear();
    m_orderedPauses.clear();
    m_boundMeasuredAt.reset();
    m_ejector = StartEjector(ejectorSettings);
    m_serviceLevels.reset();
    m_interference.removeServices();
    forgetHostSpeeds();
    m_waitingSteps.clear();
    m_roomTransfers.clear();
    m_memoryTransfers.clear();
}

void Dispatcher::registryReset() { deactivate(); }

void Dispatcher::jobAccepted(Job& job)
{
    if (!m_active)
        return;
    if (const auto policy = m_policies.find(job.policy().queue); policy != m_policies.end())
        job.setPolicy(policy->second);
    m_openJobs.insert(job.id());
    LogEvent(LogLevel::Info, "job_taken")
        .field("job", job.id())
        .field("queue", job.policy().queue)
        .field("offset", job.offset())
        .field("steps", static_cast<uint64_t>(job.spec().steps.size()));
}

void Dispatcher::cancelRequested(Job& job)
{
    if (m_active && !isFinal(job.phase()))
        endJob(job, JobPhase::Cancelled);
}

void Dispatcher::hostChanged(const std::string& host)
{
    if (m_active && m_registry.hosts().contains(host))
        m_hosts.host(host);
}

void Dispatcher::setClosedDataCentres(std::set<std::string> closed)
{
    m_closedDataCentres = std::move(closed);
    m_knowsClosedDataCentres = true;
}

void Dispatcher::setQueuePolicies(const std::map<std::string, QueuePolicy>& policies)
{
    m_policies = policies;
    for (const auto& [id, job] : m_registry.jobs()) {
        if (const auto found = policies.find(job->policy().queue); found != policies.end())
            job->setPolicy(found->second);
    }
}

void Dispatcher::hostConnected(const std::string& name)
{
    HostState& host = m_hosts.host(name);
    host.connected = true;
    host.reported = false;
    host.nextSequence = 1;
    host.outbox = {};
    host.sentInterference.clear();
    // The agent may be a new process, which knows no runs.
    for (auto& [task, run] : host.runs)
        run.described = false;
}

void Dispatcher::hostDisconnected(const std::string& name)
{
    HostState* host = m_hosts.find(name);
    if (!host)
        return;
    host->connected = false;
    host->reported = false;
    host->outbox = {};
    for (auto& [task, run] : host->runs) {
        if (run.stage == HostRun::Stage::Ordered)
            run.stage = HostRun::Stage::Adopted;
    }
}

void Dispatcher::runCycle()
{
    if (!m_active)
        return;
    expireLeases();
    updateHostSpeeds();
    placeJobs();
    shareRoom();
    commit();
    sendOrders();
    sampleServiceLevels();
}

void Dispatcher::sampleServiceLevels()
{
    if (!m_serviceLevels.isDue())
        return;
    std::vector<const Job*> open;
    for (const std::string& id : m_openJobs) {
        if (const Job* job = m_registry.find(id))
            open.push_back(job);
    }
    m_serviceLevels.sample(open, m_hosts, m_interference);
}

void Dispatcher::expireLeases()
{
    const Instant now = m_clock.now();
    for (auto& [name, host] : m_hosts.hosts()) {
        // An agent that cannot reach its worker does not know which runs exist. One that has restarted since the worker
        // was lost does not know of any lease either.
        const bool isUnseen = !host.reported || host.last.silent;
        if (isUnseen && !host.runs.empty() && now > host.leaseEnd)
            markRunsLost(host, "lease_ended");
    }
}

void Dispatcher::commit()
{
    if (!m_writer.isIdle())
        return;
    std::vector<JournalRecord> records;
    Commit commit;
    size_t bytes = 0;
    const RecordFormat format = m_registry.recordFormat();
    for (auto dirty = m_dirtyJobs.begin(); dirty != m_dirtyJobs.end() && bytes < m_settings.maxCommitBytes;) {
        const Job* job = m_registry.find(*dirty);
        if (job) {
            records.push_back({ stateKey(job->id()), recordValue(*job, m_writer.epoch(), format), 0 });
            bytes += records.back().value->size();
            commit.jobs.emplace_back(job->id(), job->phase());
        }
        dirty = m_dirtyJobs.erase(dirty);
    }
    // Acknowledgements and starts wait until the records of all changed jobs are in a commit.
    if (m_dirtyJobs.empty()) {
        commit.acks = std::exchange(m_pendingAcks, {});
        commit.starts = std::exchange(m_pendingStarts, {});
    }
    removeExpiredJobs(records);
    listLeases(records, commit);
    recordLearnedState(records);
    publishLoad(records);
    // A worker discards an end once it is acknowledged. An owner that has been replaced does not know its successor's
    // runs and has nothing to record about their ends, so an append has to confirm that it is still the owner.
    if (records.empty() && !commit.acks.empty())
        records.push_back({ std::string(ownerKey), ownerValue(m_registry.owner()), 0 });
    if (records.empty())
        return onCommitDurable(commit);
    for (const PendingStart& start : commit.starts) {
        HostState& host = m_hosts.host(start.host);
        const auto run = host.runs.find(start.task.text());
        if (run != host.runs.end() && run->second.attempt == start.attempt)
            run->second.stage = HostRun::Stage::Committing;
    }
    m_counters.add("journal_commits");
    m_counters.add("journal_commit_bytes", static_cast<int64_t>(bytes));
    m_writer.commit(std::move(records), [this, commit = std::move(commit)] {
        onCommitDurable(commit);
        runCycle();
    });
}

void Dispatcher::onCommitDurable(const Commit& commit)
{
    for (const auto& [id, phase] : commit.jobs) {
        if (Job* job = m_registry.find(id))
            job->publishPhase(phase);
    }
    if (commit.listedHosts) {
        m_listedHosts = *commit.listedHosts;
        m_hasRecordedLeases = true;
    }
    for (const EndAck& ack : commit.acks) {
        HostState* host = m_hosts.find(ack.host);
        if (host && host->life == ack.life)
            host->endsDurable = std::max(host->endsDurable, ack.number);
    }
    m_durableStarts.insert(m_durableStarts.end(), commit.starts.begin(), commit.starts.end());
}

bool Dispatcher::isViewFresh() const
{
    return m_follower.isCaughtUp() && m_registry.owner().epoch == m_writer.epoch()
        && m_clock.now() - m_follower.freshAsOf() <= m_settings.maxViewAge;
}

Duration Dispatcher::startValidity(const HostState& host) const
{
    // The agent counts from the reading of the worker's clock, which is at least as old as the report that brought it.
    return m_follower.freshAsOf() + m_settings.startValidity - host.clockReadAt;
}

void Dispatcher::queueStartOrders()
{
    const bool isFresh = isViewFresh();
    for (const PendingStart& start : std::exchange(m_durableStarts, {})) {
        // No message is sent to a listed host yet. A start for a host that cannot be reached is given up at once.
        const bool mustWait = !isFresh || m_listedHosts.contains(start.host);
        if (mustWait && isReachable(m_hosts.host(start.host)))
            m_durableStarts.push_back(start);
        else
            queueStartOrder(start);
    }
}

bool Dispatcher::isReachable(const HostState& host) const
{
    return host.connected && host.reported && !host.last.draining
        && !m_closedDataCentres.contains(host.last.dataCentre);
}

void Dispatcher::queueStartOrder(const PendingStart& start)
{
    HostState& host = m_hosts.host(start.host);
    const std::string name = start.task.text();
    const auto run = host.runs.find(name);
    if (run == host.runs.end() || run->second.attempt != start.attempt)
        return;
    Job* job = m_registry.find(start.task.job);
    const bool isNeeded = job && !isFinal(job->phase()) && !run->second.stopping;
    if (!isNeeded || !isReachable(host))
        return markRunLost(host, name, isNeeded ? "host_left_before_order" : "not_wanted");
    // The order would be carried out by the incarnation that is known now, but the record names the one before.
    if (job->find(start.task)->life != host.life)
        return markRunLost(host, name, "worker_restarted");
    run->second.stage = HostRun::Stage::Ordered;
    if (job->find(start.task)->checkpoint.empty())
        run->second.fullRunOrderedAt = m_clock.now();
    run->second.sequence = host.nextSequence++;
    RunOrder order = makeRunOrder(*job, start.task, *job->find(start.task));
    order.sequence = run->second.sequence;
    order.payload = job->spec().payload;
    host.outbox.starts.push_back(std::move(order));
}

RunOrder Dispatcher::makeRunOrder(const Job& job, const TaskId& id, const TaskState& task)
{
    const StepSpec& step = job.spec().steps[id.step];
    RunOrder order;
    order.task = id.text();
    order.attempt = task.attempt;
    order.checkpoint = task.checkpoint;
    order.image = step.image;
    order.cpuMilli = step.resources.cpuMilli;
    order.tailTargetMs = step.longRunning ? step.tailTargetMs : 0;
    order.fills = step.bestEffort;
    return order;
}

void Dispatcher::removeExpiredJobs(std::vector<JournalRecord>& records)
{
    constexpr size_t maxRemovalsPerCommit = 50;
    const Instant now = m_clock.now();
    size_t removed = 0;
    for (auto ended = m_endedJobs.begin(); ended != m_endedJobs.end() && removed < maxRemovalsPerCommit;) {
        if (now - ended->second < m_settings.retention) {
            ++ended;
            continue;
        }
        for (const std::string& key : { jobKey(ended->first), stateKey(ended->first), cancelKey(ended->first) })
            records.push_back({ key, std::nullopt, 0 });
        m_registry.erase(ended->first);
        ended = m_endedJobs.erase(ended);
        ++removed;
    }
}

void Dispatcher::sendOrders()
{
    const Instant now = m_clock.now();
    if (now - m_writer.epochConfirmedAt() > m_settings.authority)
        return;
    queueStartOrders();
    for (auto& [name, host] : m_hosts.hosts()) {
        if (!host.connected || !host.reported || m_listedHosts.contains(name))
            continue;
        if (host.outboxIsEmpty() && now - host.orderedAt < m_settings.keepaliveInterval)
            continue;
        HostOrders orders = std::exchange(host.outbox, {});
        orders.epoch = m_writer.epoch();
        orders.life = host.life;
        orders.echoMs = host.acceptsOrders() ? host.last.clockMs : 0;
        orders.acknowledgedEnds = host.endsDurable;
        orders.startsValidMs = startValidity(host).count();
        host.outbox.acknowledgedEnds = host.endsDurable;
        host.orderedAt = now;
        for (HostOrders& message : splitOrders(std::move(orders), m_settings.maxMessageBytes))
            m_sender.send(name, std::move(message));
    }
}

} // namespace hemlocklead::dispatch
