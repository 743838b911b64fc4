#include "dispatch/Dispatcher.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    /// A host is left alone after failed runs in a row of at least two jobs. Short, because a host that fails
    /// everything recovers within seconds more often than not, and one probe tells.
    constexpr StartEjector::Settings ejectorSettings { 4, 2, Duration { 4000 }, 30 };

} // namespace

Dispatcher::Dispatcher(JobBook& book, JournalWriter& writer, HostSender& sender, const Clock& clock,
    const CalendarClock& calendar, Counters& counters, Settings settings)
    : m_book(book)
    , m_writer(writer)
    , m_sender(sender)
    , m_clock(clock)
    , m_calendar(calendar)
    , m_counters(counters)
    , m_settings(settings)
    , m_ejector(ejectorSettings)
{
}

void Dispatcher::begin(bool formerStopped)
{
    end();
    m_active = true;
    const Instant now = m_clock.now();
    // The former owner renews leases for `authority` after its last append, which came before the claim.
    const Duration former = formerStopped ? Duration { 0 } : m_settings.authority;
    for (const auto& [name, member] : m_book.hosts())
        m_hosts.host(name).leaseEnd = now + former + m_settings.lease + m_settings.leaseMargin;
    for (const auto& [id, job] : m_book.jobs()) {
        adoptRuns(*job);
        if (isFinal(job->phase())) {
            m_ended.emplace(id, now);
            continue;
        }
        m_open.insert(id);
        if (job->isCancelRequested())
            endJob(*job, JobPhase::Cancelled);
        else
            finishIfDone(*job);
    }
    LogEvent(LogLevel::Info, "dispatch_begins")
        .field("epoch", m_writer.epoch())
        .field("open_jobs", static_cast<uint64_t>(m_open.size()))
        .field("hosts", static_cast<uint64_t>(m_hosts.hosts().size()));
}

void Dispatcher::adoptRuns(Job& job)
{
    job.noteEvent(m_clock.now());
    for (auto& [number, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<TaskState>& tasks = occurrence.steps[step].tasks;
            for (uint32_t index = 0; index < tasks.size(); ++index) {
                const TaskState& task = tasks[index];
                if (task.phase != TaskPhase::Placed)
                    continue;
                HostView& host = m_hosts.host(task.host);
                m_hosts.add(host, { job.id(), number, step, index }, task.attempt, job.spec().steps[step],
                    HostRun::Stage::Adopted);
            }
        }
    }
}

void Dispatcher::end()
{
    m_active = false;
    m_hosts.clear();
    m_open.clear();
    m_plans.clear();
    m_dirty.clear();
    m_acks.clear();
    m_starts.clear();
    m_ended.clear();
    m_ejector = StartEjector(ejectorSettings);
}

void Dispatcher::bookReset() { end(); }

void Dispatcher::jobAccepted(Job& job)
{
    if (!m_active)
        return;
    if (const auto terms = m_terms.find(job.terms().queue); terms != m_terms.end())
        job.setTerms(terms->second);
    m_open.insert(job.id());
    LogEvent(LogLevel::Info, "job_taken")
        .field("job", job.id())
        .field("queue", job.terms().queue)
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
    if (m_active && m_book.hosts().contains(host))
        m_hosts.host(host);
}

void Dispatcher::setClosedDataCentres(std::set<std::string> closed) { m_closedDataCentres = std::move(closed); }

void Dispatcher::setTerms(const std::map<std::string, QueueTerms>& terms)
{
    m_terms = terms;
    for (const auto& [id, job] : m_book.jobs()) {
        if (const auto found = terms.find(job->terms().queue); found != terms.end())
            job->setTerms(found->second);
    }
}

void Dispatcher::hostConnected(const std::string& name)
{
    HostView& host = m_hosts.host(name);
    host.connected = true;
    host.reported = false;
    host.nextSequence = 1;
    host.outbox = {};
    host.toldDisturbances.clear();
}

void Dispatcher::hostDisconnected(const std::string& name)
{
    HostView* host = m_hosts.find(name);
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

void Dispatcher::pass()
{
    if (!m_active)
        return;
    expireHosts();
    place();
    commit();
    sendOrders();
}

void Dispatcher::expireHosts()
{
    const Instant now = m_clock.now();
    for (auto& [name, host] : m_hosts.hosts()) {
        if (!host.reported && !host.runs.empty() && now > host.leaseEnd)
            loseRuns(host, "lease_ended");
    }
}

void Dispatcher::commit()
{
    if (!m_writer.isIdle())
        return;
    std::vector<JournalRecord> records;
    Commit commit;
    size_t bytes = 0;
    for (auto dirty = m_dirty.begin(); dirty != m_dirty.end() && bytes < m_settings.maxCommitBytes;) {
        const Job* job = m_book.find(*dirty);
        if (job) {
            records.push_back({ stateKey(job->id()), jsonText(job->record(m_writer.epoch())), 0 });
            bytes += records.back().value->size();
            commit.jobs.emplace_back(job->id(), job->phase());
        }
        dirty = m_dirty.erase(dirty);
    }
    // Ends and starts wait until the records of all their jobs fit.
    if (m_dirty.empty()) {
        commit.acks = std::exchange(m_acks, {});
        commit.starts = std::exchange(m_starts, {});
    }
    removeOldJobs(records);
    if (records.empty())
        return recorded(commit);
    for (const Start& start : commit.starts) {
        HostView& host = m_hosts.host(start.host);
        const auto run = host.runs.find(start.task.text());
        if (run != host.runs.end() && run->second.attempt == start.attempt)
            run->second.stage = HostRun::Stage::Committing;
    }
    m_counters.add("journal_commits");
    m_counters.add("journal_commit_bytes", static_cast<int64_t>(bytes));
    m_writer.commit(std::move(records), [this, commit = std::move(commit)] {
        recorded(commit);
        pass();
    });
}

void Dispatcher::recorded(const Commit& commit)
{
    for (const auto& [id, phase] : commit.jobs) {
        if (Job* job = m_book.find(id))
            job->showPhase(phase);
    }
    for (const Ack& ack : commit.acks) {
        HostView* host = m_hosts.find(ack.host);
        if (host && host->last.life == ack.life)
            host->endsDurable = std::max(host->endsDurable, ack.number);
    }
    for (const Start& start : commit.starts)
        order(start);
}

void Dispatcher::order(const Start& start)
{
    HostView& host = m_hosts.host(start.host);
    const std::string name = start.task.text();
    const auto run = host.runs.find(name);
    if (run == host.runs.end() || run->second.attempt != start.attempt)
        return;
    Job* job = m_book.find(start.task.job);
    const bool wanted = job && !isFinal(job->phase()) && !run->second.stopping;
    const bool reachable
        = host.connected && host.reported && !host.last.draining && !m_closedDataCentres.contains(host.last.dataCentre);
    if (!wanted || !reachable)
        return runLost(host, name, wanted ? "host_left_before_order" : "not_wanted");
    run->second.stage = HostRun::Stage::Ordered;
    if (job->find(start.task)->checkpoint.empty())
        run->second.wholeSince = m_clock.now();
    run->second.sequence = host.nextSequence++;
    RunOrder order = describe(*job, start.task, *job->find(start.task));
    order.sequence = run->second.sequence;
    order.payload = job->spec().payload;
    host.outbox.starts.push_back(std::move(order));
}

RunOrder Dispatcher::describe(const Job& job, const TaskId& id, const TaskState& task)
{
    const StepSpec& step = job.spec().steps[id.step];
    RunOrder order;
    order.task = id.text();
    order.attempt = task.attempt;
    order.checkpoint = task.checkpoint;
    order.image = step.image;
    order.cpuMilli = step.resources.cpuMilli;
    order.tailTargetMs = step.lasting ? step.tailTargetMs : 0;
    order.fills = step.fills;
    return order;
}

void Dispatcher::removeOldJobs(std::vector<JournalRecord>& records)
{
    constexpr size_t mostAtOnce = 50;
    const Instant now = m_clock.now();
    size_t removed = 0;
    for (auto ended = m_ended.begin(); ended != m_ended.end() && removed < mostAtOnce;) {
        if (now - ended->second < m_settings.retention) {
            ++ended;
            continue;
        }
        for (const std::string& key : { jobKey(ended->first), stateKey(ended->first), cancelKey(ended->first) })
            records.push_back({ key, std::nullopt, 0 });
        m_book.erase(ended->first);
        ended = m_ended.erase(ended);
        ++removed;
    }
}

void Dispatcher::sendOrders()
{
    const Instant now = m_clock.now();
    if (now - m_writer.epochConfirmedAt() > m_settings.authority)
        return;
    for (auto& [name, host] : m_hosts.hosts()) {
        if (!host.connected || !host.reported)
            continue;
        if (host.outboxIsEmpty() && now - host.orderedAt < m_settings.keepalive)
            continue;
        HostOrders orders = std::exchange(host.outbox, {});
        orders.epoch = m_writer.epoch();
        orders.life = host.last.life;
        orders.echoMs = host.last.clockMs;
        orders.acknowledgedEnds = host.endsDurable;
        host.outbox.acknowledgedEnds = host.endsDurable;
        host.orderedAt = now;
        host.leaseEnd = now + m_settings.lease + m_settings.leaseMargin;
        m_sender.send(name, orders);
    }
}

} // namespace hemlocklead::dispatch
