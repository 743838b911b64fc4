#include "dispatch/JobRequestHandler.h"

#include "base/Log.h"

#include <array>

namespace hemlocklead::dispatch {

std::string_view requestStatusName(JobRequestStatus status)
{
    constexpr std::array<std::string_view, 5> names { "done", "not-done", "unknown", "no-such-job", "not-ready" };
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

bool JobRequestHandler::isReady() const
{
    return m_follower.isCaughtUp() && m_clock.now() - m_follower.freshAsOf() <= m_settings.maxViewAge;
}

bool JobRequestHandler::isStoreUnreachable() const
{
    return m_clock.now() - m_follower.freshAsOf() > m_settings.storeTimeout;
}

void JobRequestHandler::submit(
    const std::string& id, const QueuePolicy& policy, const JobSpec& spec, Instant deadline, Callback done)
{
    if (m_registry.find(id))
        return done(JobRequestStatus::Done);
    // Another entry may reach the store, so fail now and let the caller retry before its deadline.
    if (isStoreUnreachable())
        return done(JobRequestStatus::NotDone);
    auto append = std::make_shared<Append>();
    append->record = { jobKey(id), jobValue(policy, spec), 0 };
    append->deadline = deadline - m_settings.replyMargin;
    append->done = [this, id, done = std::move(done)](JobRequestStatus status) {
        std::erase_if(m_accepted, [&](const auto& job) { return job.second < m_follower.freshAsOf(); });
        if (status == JobRequestStatus::Done)
            m_accepted.insert_or_assign(id, m_clock.now());
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
