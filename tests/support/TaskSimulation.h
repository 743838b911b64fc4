#pragma once

#include "coordination/TaskAgent.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace hemlocklead {

/// Events in time order on a manual clock. Events of a paused receiver wait until the pause ends.
class Schedule {
public:
    using Action = std::function<void()>;

    const ManualClock& clock() const { return m_clock; }
    Instant now() const { return m_clock.now(); }

    void after(Duration delay, Action action) { m_events.emplace(now() + delay, std::move(action)); }

    /// Runs `action` on the agent's process, which may be paused.
    void onAgent(Duration delay, Action action)
    {
        after(delay, [this, action = std::move(action)] {
            if (now() < m_pausedUntil)
                onAgent(m_pausedUntil - now(), action);
            else
                action();
        });
    }

    void pauseAgent(Duration duration) { m_pausedUntil = now() + duration; }

    void run(Duration duration)
    {
        const Instant end = now() + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto next = m_events.extract(m_events.begin());
            m_clock.advance(std::max(Duration { 0 }, next.key() - now()));
            next.mapped()();
        }
        m_clock.advance(end - now());
    }

private:
    ManualClock m_clock;
    Instant m_pausedUntil;
    std::multimap<Instant, Action> m_events;
};

/// How often things go wrong, in percent, and by how much messages are late at most.
struct Trouble {
    int lostRequests { 0 };
    int lostAnswers { 0 };
    Duration delay { 5 };
    Duration startDelay { 5 }; ///< Of start calls on their way to the worker.
};

/// A worker that keeps leases on the simulated clock, behind calls that get lost or come late.
class SimulatedWorker final : public WorkerService {
public:
    static constexpr Duration callTimeout { 1000 };

    struct Task {
        WorkerTaskSpec spec;
        WorkerTask report;
        Instant leaseEnd;
        Instant finishAt;
    };

    SimulatedWorker(Schedule& schedule, std::minstd_rand& random, Resources capacity)
        : m_schedule(schedule)
        , m_random(random)
        , m_capacity(capacity)
    {
    }

    Trouble trouble;
    Duration runTime { 10'000 };
    bool rejects { false };
    std::function<void(const WorkerTaskSpec&)> onStartCall;
    std::function<void(const std::string& id, Duration lease)> onLease; ///< Start or renewal called by the agent.
    int overCommits { 0 };
    int starts { 0 };

    void capacity(std::function<void(std::optional<Resources>)> done) override
    {
        call(trouble.delay, std::move(done), std::optional<Resources>(), [this] { return std::optional(m_capacity); });
    }

    void list(std::function<void(std::optional<std::vector<WorkerTask>>)> done) override
    {
        call(trouble.delay, std::move(done), std::optional<std::vector<WorkerTask>>(), [this] {
            std::vector<WorkerTask> tasks;
            for (auto& [id, task] : m_tasks) {
                advance(task);
                tasks.push_back(task.report);
            }
            return std::optional(std::move(tasks));
        });
    }

    void start(const WorkerTaskSpec& spec, Done done) override
    {
        if (onStartCall)
            onStartCall(spec);
        if (onLease)
            onLease(spec.id, spec.lease);
        call(trouble.startDelay, std::move(done), WorkerCall::Unknown, [this, spec] { return begin(spec); });
    }

    void renew(const std::string& id, Duration lease, Done done) override
    {
        if (onLease)
            onLease(id, lease);
        change(id, std::move(done), [this, lease](Task& task) { task.leaseEnd = m_schedule.now() + lease; });
    }

    void checkpoint(const std::string& id, Done done) override
    {
        change(id, std::move(done), [](Task& task) {
            task.report.checkpointProgress = task.report.progress;
            task.report.checkpoint = std::to_string(task.report.progress);
        });
    }

    void throttle(const std::string& id, double, Done done) override
    {
        change(id, std::move(done), [](Task&) {});
    }

    void stop(const std::string& id, Done done) override
    {
        call(trouble.delay, std::move(done), WorkerCall::Unknown, [this, id] {
            m_tasks.erase(id);
            return WorkerCall::Done;
        });
    }

    std::set<std::string> running()
    {
        std::set<std::string> ids;
        for (auto& [id, task] : m_tasks) {
            advance(task);
            if (task.report.state == WorkerTaskState::Running)
                ids.insert(id);
        }
        return ids;
    }

private:
    bool happens(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    Duration upTo(Duration most)
    {
        return Duration { static_cast<int64_t>(m_random() % static_cast<uint64_t>(most.count() + 1)) };
    }

    /// Carries a call out after up to `delay`. It may be lost, or its answer may; then `unknown` follows in time.
    template <typename Callback, typename Value, typename Run>
    void call(Duration delay, Callback done, Value unknown, Run run)
    {
        const bool requestLost = happens(trouble.lostRequests);
        const bool answerLost = happens(trouble.lostAnswers);
        const Duration there = upTo(delay);
        const bool tooLate = there >= callTimeout;
        if (requestLost || answerLost || tooLate)
            m_schedule.onAgent(callTimeout, [done, unknown] { done(unknown); });
        if (requestLost)
            return;
        m_schedule.after(there, [this, done, run, silent = answerLost || tooLate] {
            auto value = run();
            if (!silent)
                m_schedule.onAgent(upTo(trouble.delay), [done, value] { done(value); });
        });
    }

    template <typename Apply> void change(const std::string& id, Done done, Apply apply)
    {
        call(trouble.delay, std::move(done), WorkerCall::Unknown, [this, id, apply] {
            const auto found = m_tasks.find(id);
            if (found == m_tasks.end())
                return WorkerCall::Rejected;
            advance(found->second);
            if (found->second.report.state != WorkerTaskState::Running)
                return WorkerCall::Rejected;
            apply(found->second);
            return WorkerCall::Done;
        });
    }

    WorkerCall begin(const WorkerTaskSpec& spec)
    {
        if (rejects)
            return WorkerCall::Rejected;
        if (m_tasks.contains(spec.id))
            return WorkerCall::Done;
        WorkerTask report;
        report.id = spec.id;
        report.labels = spec.labels;
        report.checkpoint = spec.checkpoint;
        m_tasks.emplace(
            spec.id, Task { spec, std::move(report), m_schedule.now() + spec.lease, m_schedule.now() + runTime });
        ++starts;
        Resources committed;
        for (const std::string& id : running())
            committed = committed + m_tasks.at(id).spec.resources;
        overCommits += committed.fitsIn(m_capacity) ? 0 : 1;
        return WorkerCall::Done;
    }

    void advance(Task& task) const
    {
        WorkerTask& report = task.report;
        if (report.state != WorkerTaskState::Running)
            return;
        const Instant until = std::min({ m_schedule.now(), task.leaseEnd, task.finishAt });
        report.progress = (runTime - (task.finishAt - until)).count();
        if (m_schedule.now() < std::min(task.leaseEnd, task.finishAt))
            return;
        const bool finished = task.finishAt <= task.leaseEnd;
        report.state = finished ? WorkerTaskState::Finished : WorkerTaskState::Expired;
        report.result = finished ? "result" : "";
    }

    Schedule& m_schedule;
    std::minstd_rand& m_random;
    Resources m_capacity;
    std::map<std::string, Task> m_tasks;
};

} // namespace hemlocklead
