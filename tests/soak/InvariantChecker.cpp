#include "soak/InvariantChecker.h"

#include "dispatch/JobSpec.h"
#include "soak/TimeOfDay.h"

#include <algorithm>

namespace hemlocklead::soak {

namespace {

    /// Users' bound from an acknowledged cancellation to the last start of one of the job's tasks.
    constexpr Duration cancelBound { 3000 };

    /// Users' bound from the acceptance of a job until every entry knows it.
    constexpr Duration visibilityBound { 3000 };

} // namespace

InvariantChecker::InvariantChecker(const Clock& clock)
    : m_clock(clock)
{
}

InvariantChecker::Job& InvariantChecker::add(const std::string& id, Job job)
{
    return m_jobs.insert_or_assign(id, std::move(job)).first->second;
}

InvariantChecker::Job* InvariantChecker::find(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void InvariantChecker::jobAccepted(const std::string& id)
{
    Job& job = m_jobs.at(id);
    job.accepted = true;
    job.acceptedAt = m_clock.now();
}

void InvariantChecker::jobRefused(const std::string& id) { m_jobs.at(id).refused = true; }

void InvariantChecker::jobCancelled(const std::string& id)
{
    Job& job = m_jobs.at(id);
    if (!job.isCancelled())
        job.cancelledAt = m_clock.now();
}

void InvariantChecker::jobStateReported(const std::string& id, const std::string& state)
{
    const Job& job = m_jobs.at(id);
    if (state == "completed" && !job.isDone())
        violation(
            "job " + id + " is reported as completed, " + std::to_string(job.doneTasks.size()) + " tasks are done");
    const bool mustBeKnown = job.mustRun() && m_clock.now() - job.acceptedAt > visibilityBound;
    if ((state == "none" && mustBeKnown) || (state == "failed" && job.mustRun()))
        violation("accepted job " + id + " is reported as " + state);
    if (state == "cancelled" && !job.cancelRequested)
        violation("job " + id + " is reported as cancelled, no caller cancelled it");
}

void InvariantChecker::runStarted(
    const std::string& task, uint32_t attempt, const std::string& payload, const std::string& host)
{
    ++m_starts;
    const std::string run = task + " run " + std::to_string(attempt) + " on " + host;
    const auto id = dispatch::parseTaskId(task);
    const Job* job = id ? find(id->job) : nullptr;
    if (!job)
        return violation(run + ": no caller submitted its job");
    if (payload != job->payload)
        violation(run + ": its payload differs from the submitted one");
    if (job->refused)
        violation(run + ": every submission of its job was answered as not run");
    if (job->isCancelled() && m_clock.now() - job->cancelledAt > cancelBound)
        violation(run + ": its job was cancelled longer ago than the bound");
    if (m_acknowledgedTasks.contains(task))
        violation(run + ": an earlier run ended as done and was acknowledged");
    if (const auto other = m_running.find(task); other != m_running.end())
        violation(run + ": it runs on " + other->second + " at the same time");
    if (id->step == 1)
        checkStepOrder(*job, run);
    m_running[task] = host;
}

void InvariantChecker::checkStepOrder(const Job& job, const std::string& run)
{
    size_t firstStepDone = 0;
    for (const std::string& task : job.doneTasks)
        firstStepDone += dispatch::parseTaskId(task)->step == 0;
    if (firstStepDone < job.tasks)
        violation(run + ": started before the first step of its job was done");
}

void InvariantChecker::runEnded(const std::string& task, const std::string& host, bool done)
{
    if (const auto running = m_running.find(task); running != m_running.end() && running->second == host)
        m_running.erase(running);
    const auto id = dispatch::parseTaskId(task);
    if (Job* job = id && done ? find(id->job) : nullptr)
        job->doneTasks.insert(task);
}

size_t InvariantChecker::runningTasks(const std::string& id) const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_running, [prefix = id + "."](const auto& run) { return run.first.starts_with(prefix); }));
}

bool InvariantChecker::isSettled(const std::string& id) const
{
    const Job& job = m_jobs.at(id);
    if (job.isCancelled())
        return runningTasks(id) == 0;
    if (!job.mustRun())
        return true;
    return job.isLongRunning ? runningTasks(id) == job.tasks : job.isDone();
}

void InvariantChecker::completionAcknowledged(const std::string& task) { m_acknowledgedTasks.insert(task); }

void InvariantChecker::violation(const std::string& text) { m_violations.push_back(timeOfDay() + " " + text); }

} // namespace hemlocklead::soak
