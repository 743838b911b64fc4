#include "soak/RunLedger.h"

#include "dispatch/JobSpec.h"

namespace hemlocklead::soak {

namespace {

    /// From an acknowledged cancel to the last start of one of the job's tasks, as the users' bounds have it.
    constexpr Duration cancelBound { 3000 };

    /// From the acceptance of a job until every entry knows it, as the users' bounds have it.
    constexpr Duration visibleBound { 3000 };

} // namespace

RunLedger::RunLedger(const Clock& clock)
    : m_clock(clock)
{
}

RunLedger::Job& RunLedger::add(const std::string& id, Job job)
{
    return m_jobs.insert_or_assign(id, std::move(job)).first->second;
}

RunLedger::Job* RunLedger::find(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void RunLedger::accepted(const std::string& id)
{
    Job& job = m_jobs.at(id);
    job.accepted = true;
    job.acceptedAt = m_clock.now();
}

void RunLedger::refused(const std::string& id) { m_jobs.at(id).refused = true; }

void RunLedger::cancelled(const std::string& id)
{
    Job& job = m_jobs.at(id);
    if (!job.isCancelled())
        job.cancelledAt = m_clock.now();
}

void RunLedger::shown(const std::string& id, const std::string& state)
{
    const Job& job = m_jobs.at(id);
    if (state == "completed" && !job.isDone())
        violation("job " + id + " is shown as completed, " + std::to_string(job.done.size()) + " tasks are done");
    const bool mustBeKnown = job.isOwed() && m_clock.now() - job.acceptedAt > visibleBound;
    if ((state == "none" && mustBeKnown) || (state == "failed" && job.isOwed()))
        violation("accepted job " + id + " is shown as " + state);
    if (state == "cancelled" && !job.cancelAsked)
        violation("job " + id + " is shown as cancelled");
}

void RunLedger::started(const std::string& task, uint32_t attempt, const std::string& payload, const std::string& host)
{
    ++m_starts;
    const std::string run = task + " run " + std::to_string(attempt) + " on " + host;
    const auto id = dispatch::parseTaskId(task);
    const Job* job = id ? find(id->job) : nullptr;
    if (!job)
        return violation(run + ": nobody submitted its job");
    if (payload != job->payload)
        violation(run + ": payload differs");
    if (job->refused)
        violation(run + ": its job was refused as not run");
    if (job->isCancelled() && m_clock.now() - job->cancelledAt > cancelBound)
        violation(run + ": its job was cancelled before");
    if (m_acknowledged.contains(task))
        violation(run + ": an end as done was noted before");
    if (const auto other = m_running.find(task); other != m_running.end())
        violation(run + ": it runs on " + other->second + " at the same time");
    if (id->step == 1)
        checkOrder(*job, run);
    m_running[task] = host;
}

void RunLedger::checkOrder(const Job& job, const std::string& run)
{
    size_t first = 0;
    for (const std::string& task : job.done)
        first += dispatch::parseTaskId(task)->step == 0;
    if (first < job.tasks)
        violation(run + ": started before its first step was done");
}

void RunLedger::ended(const std::string& task, const std::string& host, bool done)
{
    if (const auto running = m_running.find(task); running != m_running.end() && running->second == host)
        m_running.erase(running);
    const auto id = dispatch::parseTaskId(task);
    if (Job* job = id && done ? find(id->job) : nullptr)
        job->done.insert(task);
}

void RunLedger::acknowledgedDone(const std::string& task) { m_acknowledged.insert(task); }

void RunLedger::violation(const std::string& text) { m_violations.push_back(text); }

} // namespace hemlocklead::soak
