#include "dispatch/JobDesk.h"

#include "base/Log.h"

#include <array>

namespace hemlocklead::dispatch {

std::string_view answerName(DeskAnswer answer)
{
    constexpr std::array<std::string_view, 5> names { "done", "not-done", "unknown", "no-such-job", "not-ready" };
    return names[static_cast<size_t>(answer)];
}

JobDesk::JobDesk(JobBook& book, JournalFollower& follower, JournalService& journal, Timers& delays, const Clock& clock,
    Counters& counters, Settings settings)
    : m_book(book)
    , m_follower(follower)
    , m_journal(journal)
    , m_delays(delays)
    , m_clock(clock)
    , m_counters(counters)
    , m_settings(settings)
{
}

bool JobDesk::isReady() const
{
    return m_follower.isCaughtUp() && m_clock.now() - m_follower.freshAsOf() <= m_settings.viewAge;
}

bool JobDesk::isStoreAway() const { return m_clock.now() - m_follower.freshAsOf() > m_settings.storeSilence; }

void JobDesk::submit(
    const std::string& id, const QueueTerms& terms, const JobSpec& spec, Instant deadline, Callback done)
{
    if (m_book.find(id))
        return done(DeskAnswer::Done);
    // Another entry may reach the store, so the caller's next try should come now and not at its deadline.
    if (isStoreAway())
        return done(DeskAnswer::NotDone);
    auto append = std::make_shared<Append>();
    append->record = { jobKey(id), jobValue(terms, spec), 0 };
    append->deadline = deadline - m_settings.reserve;
    append->done = [this, id, done = std::move(done)](DeskAnswer answer) {
        std::erase_if(m_accepted, [&](const auto& job) { return job.second < m_follower.freshAsOf(); });
        if (answer == DeskAnswer::Done)
            m_accepted.insert_or_assign(id, m_clock.now());
        done(answer);
    };
    send(append);
}

void JobDesk::cancel(const std::string& id, Instant deadline, Callback done)
{
    const Job* job = m_book.find(id);
    if (!job && !m_accepted.contains(id))
        return done(isReady() ? DeskAnswer::NoSuchJob : DeskAnswer::NotReady);
    if (job && (job->isCancelRequested() || isFinal(job->shownPhase())))
        return done(DeskAnswer::Done);
    auto append = std::make_shared<Append>();
    append->record = { cancelKey(id), "{}", 0 };
    append->deadline = deadline - m_settings.reserve;
    append->done = std::move(done);
    send(append);
}

void JobDesk::send(const std::shared_ptr<Append>& append)
{
    m_journal.append({ append->record }, std::nullopt, m_settings.appendTimeout,
        [this, append](AppendStatus status) { answered(append, status); });
}

void JobDesk::answered(const std::shared_ptr<Append>& append, AppendStatus status)
{
    if (status == AppendStatus::Done)
        return append->done(DeskAnswer::Done);
    append->mayBeRecorded |= status == AppendStatus::Unknown;
    m_counters.add(status == AppendStatus::Unknown ? "appends_unanswered" : "appends_refused");
    // A refusal is passed on at once: the caller's next try reaches another entry, which the store may serve.
    if (!append->mayBeRecorded)
        return append->done(DeskAnswer::NotDone);
    if (isStoreAway() || m_clock.now() + m_settings.retry >= append->deadline)
        return append->done(DeskAnswer::Unknown);
    // The record is the same whenever it arrives, so a second copy does no harm.
    m_delays.after(m_settings.retry, [this, append] { send(append); });
}

DeskAnswer JobDesk::phase(const std::string& id, JobPhase& out)
{
    if (const Job* job = m_book.find(id)) {
        m_accepted.erase(id);
        out = job->shownPhase();
        return DeskAnswer::Done;
    }
    if (m_accepted.contains(id)) {
        out = JobPhase::Queued;
        return DeskAnswer::Done;
    }
    return isReady() ? DeskAnswer::NoSuchJob : DeskAnswer::NotReady;
}

DeskAnswer JobDesk::pending(const std::string& queue, int64_t& out)
{
    if (!isReady())
        return DeskAnswer::NotReady;
    out = m_book.pending(queue);
    return DeskAnswer::Done;
}

} // namespace hemlocklead::dispatch
