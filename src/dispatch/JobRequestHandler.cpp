#include "dispatch/JobRequestHandler.h"

#include "base/Log.h"
#include "dispatch/JobPlan.h"
#include "dispatch/RoomKinds.h"
#include "overload/RetryAfter.h"

#include <algorithm>
#include <array>

namespace hemlocklead::dispatch {

namespace {

    /// Bounds how long a job stays in memory because of the deadline that its caller gave.
    constexpr Duration maxUnsettledDeadline { 60'000 };

} // namespace

std::string_view requestStatusName(JobRequestStatus status)
{
    constexpr std::array<std::string_view, 6> names { "done", "not-done", "unknown", "no-such-job", "not-ready",
        "overloaded" };
    return names[static_cast<size_t>(status)];
}

JobRequestHandler::JobRequestHandler(JobRegistry& registry, JournalFollower& follower, JournalService& journal,
    Timers& timers, const Clock& clock, Counters& counters, Settings settings)
    : m_registry(registry)
    , m_follower(follower)
    , m_journal(journal)
    , m_timers(timers)
    , m_clock(clock)
    , m_counters(counters)
    , m_settings(settings)
{
}

bool JobRequestHandler::isReady() const { return m_follower.isCaughtUp() && viewAge() <= m_settings.maxViewAge; }

bool JobRequestHandler::isStoreUnreachable() const { return viewAge() > m_settings.storeTimeout; }

Duration JobRequestHandler::outageAge() const
{
    // A read that finds no record is answered after up to 1 s, so a view of that age says nothing about the store.
    constexpr Duration maxReadWait { 1000 };
    return std::max(viewAge() - maxReadWait, Duration { 0 });
}

std::optional<overload::QueueLoad> JobRequestHandler::loadOf(const std::string& queue) const
{
    const std::optional<LoadRecord>& load = m_registry.load();
    if (!load)
        return std::nullopt;
    const auto found = load->queues.find(queue);
    return found == load->queues.end() ? std::nullopt : std::optional(found->second);
}

std::chrono::seconds JobRequestHandler::retryAfter(
    const std::string& id, const std::string& queue, JobRequestStatus status) const
{
    if (!m_settings.admissionByBacklog)
        return std::chrono::seconds { 1 };
    const std::optional<overload::QueueLoad> load
        = status == JobRequestStatus::Overloaded ? loadOf(queue) : std::nullopt;
    const Duration wait = load ? overload::backlogWait(*load) : overload::outageWait(outageAge());
    return overload::retryAfter(wait, id, m_clock.now());
}

overload::AdmissionDecision JobRequestHandler::admissionOf(const QueuePolicy& policy, const JobSpec& spec) const
{
    // The entries that are not the owner do not learn durations, so the declared ones count.
    const JobPlan plan = makePlan(spec, policy, {});
    overload::AdmissionRequest request;
    request.viewAge = viewAge();
    request.criticalPath = plan.longestPath();
    request.usefulTime = plan.usefulTime();
    if (const std::optional<LoadRecord>& load = m_registry.load())
        request.loadAge = m_clock.now() - load->seenAt;
    request.load = loadOf(policy.queue);
    return overload::decideAdmission(request);
}

bool JobRequestHandler::isRejected(const std::string& id, const QueuePolicy& policy, const JobSpec& spec)
{
    std::erase_if(m_unsettled, [&](const auto& job) { return job.second < m_clock.now(); });
    // A rejection promises that the job never runs, but the append of an earlier request may still be recorded.
    if (!isDivided(spec) || m_accepted.contains(id) || m_unsettled.contains(id))
        return false;
    const overload::AdmissionDecision decision = admissionOf(policy, spec);
    if (decision.accepted)
        return false;
    m_counters.add("jobs_rejected{reason=\"overload\"}");
    LogEvent(LogLevel::Info, "job_rejected")
        .field("job", id)
        .field("queue", policy.queue)
        .field("reason", "overload")
        .field("expected_end_ms", static_cast<int64_t>(decision.expectedEnd.count()))
        .field("retry_in_ms", static_cast<int64_t>(decision.retryIn.count()));
    return true;
}

void JobRequestHandler::submit(
    const std::string& id, const QueuePolicy& policy, const JobSpec& spec, Instant deadline, Callback done)
{
    if (m_registry.find(id))
        return done(JobRequestStatus::Done);
    // Another entry may reach the store, so fail now and let the caller retry before its deadline.
    if (isStoreUnreachable())
        return done(JobRequestStatus::NotDone);
    if (m_settings.admissionByBacklog) {
        if (isRejected(id, policy, spec))
            return done(JobRequestStatus::Overloaded);
        m_unsettled[id] = std::min(deadline, m_clock.now() + maxUnsettledDeadline) + m_settings.unsettledTime;
    }
    auto append = std::make_shared<Append>();
    append->record = { jobKey(id), jobValue(policy, spec), 0 };
    append->deadline = deadline - m_settings.replyMargin;
    append->done = [this, id, done = std::move(done)](JobRequestStatus status) {
        std::erase_if(m_accepted, [&](const auto& job) { return job.second < m_follower.freshAsOf(); });
        if (status == JobRequestStatus::Done)
            m_accepted.insert_or_assign(id, m_clock.now());
        if (m_settings.admissionByBacklog)
            m_unsettled[id] = m_clock.now() + m_settings.unsettledTime;
        done(status);
    };
    send(append);
}

void JobRequestHandler::cancel(const std::string& id, Instant deadline, Callback done)
{
    cancelOnceKnown(id, m_clock.now(), deadline, std::move(done));
}

void JobRequestHandler::cancelOnceKnown(const std::string& id, Instant receivedAt, Instant deadline, Callback done)
{
    const Job* job = m_registry.find(id);
    if (!job && !m_accepted.contains(id)) {
        if (m_follower.isCaughtUp() && m_follower.freshAsOf() >= receivedAt)
            return done(JobRequestStatus::NoSuchJob);
        if (m_clock.now() + m_settings.viewCheckInterval >= deadline - m_settings.replyMargin)
            return done(JobRequestStatus::NotReady);
        m_timers.after(m_settings.viewCheckInterval, [this, id, receivedAt, deadline, done = std::move(done)] {
            cancelOnceKnown(id, receivedAt, deadline, done);
        });
        return;
    }
    if (job && (job->isCancelRequested() || isFinal(job->publishedPhase())))
        return done(JobRequestStatus::Done);
    auto append = std::make_shared<Append>();
    append->record = { cancelKey(id), "{}", 0 };
    append->deadline = deadline - m_settings.replyMargin;
    append->done = std::move(done);
    send(append);
}

void JobRequestHandler::send(const std::shared_ptr<Append>& append)
{
    m_journal.append({ append->record }, std::nullopt, m_settings.appendTimeout,
        [this, append](AppendStatus status) { answered(append, status); });
}

void JobRequestHandler::answered(const std::shared_ptr<Append>& append, AppendStatus status)
{
    if (status == AppendStatus::Done)
        return append->done(JobRequestStatus::Done);
    append->mayBeRecorded |= status == AppendStatus::Unknown;
    m_counters.add(status == AppendStatus::Unknown ? "appends_unanswered" : "appends_refused");
    // A refusal is reported immediately: the caller retries at another entry, whose appends the store may accept.
    if (!append->mayBeRecorded)
        return append->done(JobRequestStatus::NotDone);
    if (isStoreUnreachable() || m_clock.now() + m_settings.retryDelay >= append->deadline)
        return append->done(JobRequestStatus::Unknown);
    // The record is idempotent, so retrying an append that may have succeeded is safe.
    m_timers.after(m_settings.retryDelay, [this, append] { send(append); });
}

JobRequestStatus JobRequestHandler::phase(const std::string& id, JobPhase& out)
{
    if (const Job* job = m_registry.find(id)) {
        m_accepted.erase(id);
        out = job->publishedPhase();
        return JobRequestStatus::Done;
    }
    if (m_accepted.contains(id)) {
        out = JobPhase::Queued;
        return JobRequestStatus::Done;
    }
    return isReady() ? JobRequestStatus::NoSuchJob : JobRequestStatus::NotReady;
}

JobRequestStatus JobRequestHandler::pending(const std::string& queue, int64_t& out)
{
    if (!isReady())
        return JobRequestStatus::NotReady;
    out = m_registry.pending(queue);
    return JobRequestStatus::Done;
}

} // namespace hemlocklead::dispatch
