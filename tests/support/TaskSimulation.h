#pragma once

#include "coordination/TaskAgent.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace hemlocklead {

/// Runs events in order of time on a manual clock. Events of a paused agent are deferred to the end of the pause.
class EventSchedule {
public:
    using Action = std::function<void()>;

    const ManualClock& clock() const { return m_clock; }
    Instant now() const { return m_clock.now(); }

    void after(Duration delay, Action action) { m_events.emplace(now() + delay, std::move(action)); }

    /// Like `after`, for actions of the agent process, which may be paused.
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

/// Faults of calls to the simulated worker: probabilities in percent, and maximum delays.
struct WorkerFaults {
    int lostRequests { 0 };
    int lostAnswers { 0 };
    Duration delay { 5 };
    Duration startDelay { 5 }; ///< Maximum delay of a start call to the worker.
};

/// A worker with leases on the simulated clock; calls to it and their answers are lost or delayed.
class SimulatedWorker final : public WorkerService {
public:
    static constexpr Duration callTimeout { 1000 };

    struct Task {
        WorkerTaskSpec spec;
        WorkerTask report;
        Instant leaseEnd;
        Instant finishAt;
    };

    SimulatedWorker(EventSchedule& schedule, std::minstd_rand& random, Resources capacity)
        : m_schedule(schedule)
        , m_random(random)
        , m_capacity(capacity)
    {
    }

    WorkerFaults faults;
    Duration runTime { 10'000 };
    bool rejectsStarts { false };
    std::function<void(const WorkerTaskSpec&)> onStartCall;
    /// Called for each start and renewal call of the agent.
    std::function<void(const std::string& id, Duration lease)> onLease;
    int overcommits { 0 };
    int starts { 0 };

    void capacity(std::function<void(std::optional<Resources>)> done) override
    {
        call(faults.delay, std::move(done), std::optional<Resources>(), [this] { return std::optional(m_capacity); });
    }

    void list(std::function<void(std::optional<std::vector<WorkerTask>>)> done) override
    {
        call(faults.delay, std::move(done), std::optional<std::vector<WorkerTask>>(), [this] {
            std::vector<WorkerTask> tasks;
            for (auto& [id, task] : m_tasks) {
                advance(task);
                tasks.push_back(task.report);
            }
            return std::optional(std::move(tasks));
        });
    }

    void start(const WorkerTaskSpec& spec, ResultCallback done) override
    {
        if (onStartCall)
            onStartCall(spec);
        if (onLease)
            onLease(spec.id, spec.lease);
        call(faults.startDelay, std::move(done), WorkerCallResult::Unknown, [this, spec] { return begin(spec); });
    }

    void renew(const std::string& id, Duration lease, ResultCallback done) override
    {
        if (onLease)
            onLease(id, lease);
        change(id, std::move(done), [this, lease](Task& task) { task.leaseEnd = m_schedule.now() + lease; });
    }

    void checkpoint(const std::string& id, ResultCallback done) override
    {
        change(id, std::move(done), [](Task& task) {
            task.report.checkpointProgress = task.report.progress;
            task.report.checkpoint = std::to_string(task.report.progress);
        });
    }

    void throttle(const std::string& id, double, ResultCallback done) override
    {
        change(id, std::move(done), [](Task&) {});
    }

    void stop(const std::string& id, ResultCallback done) override
    {
        call(faults.delay, std::move(done), WorkerCallResult::Unknown, [this, id] {
            m_tasks.erase(id);
            return WorkerCallResult::Done;
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
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    Duration upTo(Duration max)
    {
        return Duration { static_cast<int64_t>(m_random() % static_cast<uint64_t>(max.count() + 1)) };
    }

    /// Executes `run` after up to `delay` and passes its result to `done`. If the call or its answer is lost, or the
    /// call is too late, `done` gets `unknown` after `callTimeout`.
    template <typename Callback, typename Value, typename Run>
    void call(Duration delay, Callback done, Value unknown, Run run)
    {
        const bool requestLost = chance(faults.lostRequests);
        const bool answerLost = chance(faults.lostAnswers);
        const Duration requestDelay = upTo(delay);
        const bool tooLate = requestDelay >= callTimeout;
        if (requestLost || answerLost || tooLate)
            m_schedule.onAgent(callTimeout, [done, unknown] { done(unknown); });
        if (requestLost)
            return;
        m_schedule.after(requestDelay, [this, done, run, answerDropped = answerLost || tooLate] {
            auto value = run();
            if (!answerDropped)
                m_schedule.onAgent(upTo(faults.delay), [done, value] { done(value); });
        });
    }

    template <typename Apply> void change(const std::string& id, ResultCallback done, Apply apply)
    {
        call(faults.delay, std::move(done), WorkerCallResult::Unknown, [this, id, apply] {
            const auto found = m_tasks.find(id);
            if (found == m_tasks.end())
                return WorkerCallResult::Rejected;
            advance(found->second);
            if (found->second.report.state != WorkerTaskState::Running)
                return WorkerCallResult::Rejected;
            apply(found->second);
            return WorkerCallResult::Done;
        });
    }

    WorkerCallResult begin(const WorkerTaskSpec& spec)
    {
        if (rejectsStarts)
            return WorkerCallResult::Rejected;
        if (m_tasks.contains(spec.id))
            return WorkerCallResult::Done;
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
        overcommits += committed.fitsIn(m_capacity) ? 0 : 1;
        return WorkerCallResult::Done;
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

    EventSchedule& m_schedule;
    std::minstd_rand& m_random;
    Resources m_capacity;
    std::map<std::string, Task> m_tasks;
};

} // namespace hemlocklead
