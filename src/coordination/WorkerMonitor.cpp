#include "coordination/WorkerMonitor.h"

#include "base/Log.h"
#include "coordination/TaskLabels.h"

namespace hemlocklead {

namespace {

    /// Between two reads of the capacity, which changes only when the worker is replaced.
    constexpr Duration capacityInterval { 30'000 };

    /// Nullopt when the task id is not one of an attempt.
    std::optional<AttemptKey> attemptKeyOf(const WorkerTask& task)
    {
        return orElse(
            [&]() -> Result<std::optional<AttemptKey>> {
                BOOST_LEAF_AUTO(key, parseTaskId(task.id));
                return std::optional(std::move(key));
            },
            [](const Error&) { return std::optional<AttemptKey>(); });
    }

} // namespace

WorkerMonitor::WorkerMonitor(const Clock& clock, const Settings& settings, WorkerService& worker, AttemptTable& table,
    ReservationLedger& ledger, AttemptRunner& runner)
    : m_clock(clock)
    , m_settings(settings)
    , m_worker(worker)
    , m_table(table)
    , m_ledger(ledger)
    , m_runner(runner)
{
}

void WorkerMonitor::tick()
{
    const Instant now = m_clock.now();
    if (m_reading || (!m_pollSoon && now - m_readAt < m_settings.poll))
        return;
    m_reading = true;
    m_pollSoon = false;
    m_readAt = now;
    if (m_capacity && now - m_capacityAt < capacityInterval)
        readList();
    else
        readCapacity();
}

void WorkerMonitor::readCapacity()
{
    m_worker.capacity([this, alive = std::weak_ptr(m_alive)](const std::optional<Resources>& capacity) {
        if (alive.expired())
            return;
        if (capacity) {
            m_capacity = capacity;
            m_capacityAt = m_clock.now();
        }
        if (!m_capacity) {
            m_reading = false;
            return;
        }
        readList();
    });
}

void WorkerMonitor::readList()
{
    const Instant listedAt = m_clock.now();
    m_worker.list([this, listedAt, alive = std::weak_ptr(m_alive)](const auto& tasks) {
        if (alive.expired())
            return;
        m_reading = false;
        if (tasks)
            apply(*tasks, listedAt);
    });
}

void WorkerMonitor::apply(const std::vector<WorkerTask>& tasks, Instant listedAt)
{
    m_listed.clear();
    m_cpuMilli.clear();
    std::set<std::string> running;
    for (const WorkerTask& task : tasks) {
        m_listed.insert(task.id);
        m_cpuMilli[task.id] = task.usage.cpuMilli;
        if (task.state == WorkerTaskState::Running)
            running.insert(task.id);
        applyTask(task, listedAt);
    }
    applyAbsent(listedAt);
    std::erase_if(m_unmanagedTasks, [&](const std::string& id) {
        const bool ended = !running.contains(id);
        if (ended)
            m_ledger.release(id);
        return ended;
    });
    m_ledger.setCapacity(*m_capacity);
    updateLedgerReadiness(listedAt);
}

void WorkerMonitor::applyTask(const WorkerTask& task, Instant listedAt)
{
    const std::optional<AttemptKey> key = attemptKeyOf(task);
    HeldAttempt* attempt = key ? m_table.find(*key) : nullptr;
    if (!attempt)
        attempt = adopt(task, listedAt);
    const bool isRunning = task.state == WorkerTaskState::Running;
    const bool isLive = attempt && attempt->stage != AttemptStage::Ended;
    if (isRunning && !isLive && (!attempt || listedAt > attempt->endedAt))
        holdUnmanagedTask(task);
    if (!attempt)
        return;
    if (isRunning)
        m_runner.handleListedRunning(*attempt, task, listedAt);
    else
        m_runner.handleListedEnded(*attempt, task);
}

HeldAttempt* WorkerMonitor::adopt(const WorkerTask& task, Instant listedAt)
{
    const std::optional<AttemptKey> key = attemptKeyOf(task);
    const std::optional<TaskOrigin> origin = parseTaskLabels(task.labels);
    if (!key || !origin)
        return nullptr;
    LogEvent(LogLevel::Info, "task_adopted").field("task", task.id);
    HeldAttempt& attempt = m_table.adopt(*key);
    attempt.shard = origin->shard;
    attempt.spec = origin->spec;
    attempt.token = task.checkpoint;
    attempt.worker.startedAt = listedAt;
    attempt.worker.leaseUntil = listedAt;
    attempt.worker.nextCheckpoint = listedAt;
    if (task.state == WorkerTaskState::Running)
        m_ledger.hold(task.id, attempt.spec.resources);
    return &attempt;
}

void WorkerMonitor::holdUnmanagedTask(const WorkerTask& task)
{
    if (!m_unmanagedTasks.insert(task.id).second)
        return;
    const std::optional<TaskOrigin> origin = parseTaskLabels(task.labels);
    m_ledger.hold(task.id, origin ? origin->spec.resources : task.usage);
}

void WorkerMonitor::applyAbsent(Instant listedAt)
{
    for (auto& [key, attempt] : m_table.attempts()) {
        if (!m_listed.contains(key.taskId()))
            m_runner.handleNotListed(attempt, listedAt);
    }
}

void WorkerMonitor::updateLedgerReadiness(Instant listedAt)
{
    if (!m_rebuiltAt) {
        m_rebuiltAt = m_clock.now();
        LogEvent(LogLevel::Info, "ledger_rebuilt").field("tasks", static_cast<uint64_t>(m_listed.size()));
    }
    if (listedAt >= *m_rebuiltAt + m_settings.workerLease)
        m_ledger.setReady();
}

std::vector<TaskLoad> WorkerMonitor::loads() const
{
    std::vector<TaskLoad> loads;
    for (const auto& [key, attempt] : m_table.attempts()) {
        if (attempt.stage != AttemptStage::Running)
            continue;
        const auto usage = m_cpuMilli.find(key.taskId());
        loads.push_back({ key, attempt.spec.name, attempt.spec.watch, usage == m_cpuMilli.end() ? 0 : usage->second,
            attempt.progress - attempt.checkpointProgress, attempt.worker.throttle });
    }
    return loads;
}

} // namespace hemlocklead
