#include "entry/ShardOwner.h"

#include "base/Log.h"

#include <algorithm>
#include <array>

namespace hemlocklead {

namespace {

    constexpr Duration initialBackoff { 1000 };
    constexpr Duration maxBackoff { 60'000 };
    constexpr Duration refusalBackoff { 200 };
    constexpr Duration forgetInterval { 10'000 };
    constexpr size_t maxForgottenPerRound = 100;

    /// Refusals that do not indicate a fault of the host. They do not count towards its ejection.
    constexpr std::array healthyRefusals { ErrorKind::StaleView, ErrorKind::NoCapacity, ErrorKind::Leaving,
        ErrorKind::DataCentreOut, ErrorKind::NotReady };

    /// Delay before the next attempt of a task. Doubles with each failure up to the sixth.
    Duration backoffAfter(uint32_t failures)
    {
        constexpr uint32_t maxShift = 6;
        return std::min(maxBackoff, initialBackoff * (1 << std::min(failures, maxShift)) / 2);
    }

    QueuedJob queuedJob(const JobSpec& spec)
    {
        return { spec.id, spec.task.name, spec.task.team, spec.task.resources, spec.task.urgent, spec.task.watch,
            spec.acceptedAtUnixMs };
    }

    Json taskIds(const std::vector<AttemptKey>& keys)
    {
        Json ids = Json::array();
        for (const AttemptKey& key : keys)
            ids.push_back(key.taskId());
        return ids;
    }

} // namespace

ShardOwner::ShardOwner(uint32_t shard, const ShardEnvironment& environment)
    : m_shard(shard)
    , m_environment(environment)
    , m_log(shard, environment)
    , m_queue([this](std::string_view name) -> const Limits* {
        const CatalogueItem* item = m_environment.control.state().item(name);
        const CatalogueEntry* entry = item ? item->governing() : nullptr;
        return entry ? &entry->limits : nullptr;
    })
    , m_attempts(m_log, environment,
          [this](const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail) {
              handleAttemptEnd(key, host, reason, detail);
          })
    , m_placer(m_log, environment, m_queue, m_attempts)
{
}

void ShardOwner::tick()
{
    switch (m_log.tick()) {
    case ShardLog::Change::Gained:
        handleOwnershipGained();
        break;
    case ShardLog::Change::Lost:
        clear();
        break;
    case ShardLog::Change::None:
        break;
    }
    if (!m_log.isOwner())
        return;
    m_attempts.tick();
    m_placer.tick();
    forgetExpiredResults();
}

void ShardOwner::agentMessage(const std::string& host, const Message& message)
{
    if (!m_log.isOwner())
        return;
    if (const auto* reply = std::get_if<ReserveReply>(&message))
        m_placer.handleReserveReply(host, *reply);
    else
        m_attempts.agentMessage(host, message);
}

void ShardOwner::agentGone(const std::string& host)
{
    m_placer.agentGone(host);
    m_attempts.agentGone(host);
}

void ShardOwner::submit(const JobSpec& spec, OutcomeCallback done)
{
    if (!m_log.isOwner()) {
        done(Outcome::NotOwner);
        return;
    }
    if (m_log.state().job(spec.id)) {
        done(Outcome::Done);
        return;
    }
    m_log.append(acceptedRecord(m_log.epoch(), spec),
        [this, id = spec.id, done = std::move(done)](const RecordOutcome& outcome) {
            if (!outcome.stored) {
                done(Outcome::NotStored);
                return;
            }
            const JobState* job = m_log.state().job(id);
            if (job && outcome.result == FoldResult::Applied && m_log.isOwner())
                addJob(*job);
            done(job ? Outcome::Done : Outcome::NotOwner);
        });
}

void ShardOwner::cancel(const std::string& id, OutcomeCallback done)
{
    const JobState* job = m_log.state().job(id);
    if (!m_log.isOwner() || !job) {
        done(m_log.isOwner() ? Outcome::NotFound : Outcome::NotOwner);
        return;
    }
    if (job->phase != JobPhase::Active) {
        done(Outcome::Done);
        return;
    }
    m_log.append(cancelledRecord(m_log.epoch(), id, m_environment.unixMs()),
        [this, id, done = std::move(done)](const RecordOutcome& outcome) {
            if (!outcome.stored) {
                done(Outcome::NotStored);
                return;
            }
            if (m_log.isOwner())
                handleJobChange(id);
            const JobState* after = m_log.state().job(id);
            done(!after || after->phase != JobPhase::Active ? Outcome::Done : Outcome::NotOwner);
        });
}

std::string ShardOwner::unplaceableReason(const std::string& id) const
{
    for (const auto& [job, reason] : m_queue.unplaceable()) {
        if (job == id)
            return reason;
    }
    return {};
}

Json ShardOwner::status() const
{
    Json unplaceable = Json::array();
    for (const auto& [job, reason] : m_queue.unplaceable())
        unplaceable.push_back({ { "job", job }, { "reason", reason } });
    return { { "shard", m_shard }, { "owner", claim().entry }, { "epoch", claim().epoch }, { "owned", isOwner() },
        { "authority", hasAuthority() }, { "caught_up", m_log.isCaughtUp() }, { "state_lost", m_log.isStateLost() },
        { "jobs", state().jobs().size() }, { "waiting", m_queue.waiting() }, { "placing", m_placer.pendingCount() },
        { "running", m_attempts.count() }, { "paused", taskIds(m_attempts.paused()) }, { "unplaceable", unplaceable },
        { "watches_without_place", m_queue.waitingWatches() } };
}

void ShardOwner::handleOwnershipGained()
{
    clear();
    for (const auto& [id, job] : m_log.state().jobs()) {
        const size_t openAttempts = static_cast<size_t>(
            std::ranges::count_if(job.tasks, [](const TaskState& task) { return task.open.has_value(); }));
        for (size_t i = 0; i < openAttempts; ++i)
            m_queue.noteRunning(queuedJob(job.spec));
        if (job.phase == JobPhase::Active)
            addJob(job);
    }
    m_attempts.adoptAll();
}

void ShardOwner::clear()
{
    m_attempts.clear();
    m_placer.clear();
    m_queue.clear();
}

void ShardOwner::addJob(const JobState& job)
{
    const Instant now = m_environment.clock.now();
    m_queue.addJob(queuedJob(job.spec));
    for (uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase == TaskPhase::Waiting)
            m_queue.push({ job.spec.id, index }, now);
    }
}

void ShardOwner::handleAttemptEnd(
    const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail)
{
    const JobState* job = m_log.state().job(key.job);
    m_environment.counters.add("attempts_ended{reason=" + jsonText(Json(reason)) + "}");
    noteHostHealth(key, host, reason, detail);
    if (!job)
        return;
    m_queue.noteEnded(queuedJob(job->spec));
    m_environment.hosts.noteEnded(host, key, job->spec.task.resources);
    const TaskState& task = job->tasks[key.index];
    if (task.phase == TaskPhase::Waiting) {
        Duration delay { 0 };
        if (reason == EndReason::Failed)
            delay = backoffAfter(task.failures);
        else if (reason == EndReason::Refused)
            delay = refusalBackoff;
        m_queue.push({ key.job, key.index }, m_environment.clock.now() + delay);
    }
    if (job->phase != JobPhase::Active)
        handleJobChange(key.job);
}

void ShardOwner::noteHostHealth(
    const AttemptKey& key, const std::string& host, EndReason reason, const std::string& detail)
{
    StartEjector& ejector = m_environment.hosts.ejector();
    const bool isHostFailure = reason == EndReason::Failed
        || (reason == EndReason::Refused
            && std::ranges::none_of(healthyRefusals, [&](ErrorKind kind) { return errorName(kind) == detail; }));
    if (reason == EndReason::Finished)
        ejector.noteSuccess(host);
    else if (isHostFailure)
        ejector.noteFailure(host, key.job, m_environment.hosts.connectedCount(), m_environment.clock.now());
}

void ShardOwner::handleJobChange(const std::string& id)
{
    const JobState* job = m_log.state().job(id);
    if (job && job->phase == JobPhase::Active)
        return;
    m_queue.removeJob(id);
    if (job && job->phase == JobPhase::Cancelled)
        m_attempts.stopJob(id);
}

void ShardOwner::forgetExpiredResults()
{
    const Instant now = m_environment.clock.now();
    if (now < m_nextForgetAt)
        return;
    m_nextForgetAt = now + forgetInterval;
    const int64_t oldest = m_environment.unixMs() - m_environment.settings.resultRetention.count();
    size_t forgotten = 0;
    for (const auto& [id, job] : m_log.state().jobs()) {
        if (job.phase == JobPhase::Active || job.endedAtUnixMs > oldest)
            continue;
        m_log.append(forgottenRecord(m_log.epoch(), id), [](const RecordOutcome&) {});
        if (++forgotten == maxForgottenPerRound)
            return;
    }
}

} // namespace hemlocklead
