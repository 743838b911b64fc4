#pragma once

#include "dispatch/WorkerPort.h"
#include "support/ProcessTimers.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// A worker as the platform specifies it, which outlives the processes of its agent: it keeps the highest fence that it
/// has seen, ends its runs when the lease has expired on its own clock, and lists runs and ends until they are
/// acknowledged. The payload of an order is the time that the run takes, in milliseconds; a run of 0 lasts.
class ModelWorker {
public:
    struct Callbacks {
        std::function<void(const std::string& task, uint32_t attempt)> started;
        std::function<void(const RunEnd& end)> ended;
        /// An end was acknowledged. The end does not count if the lease has expired since (`lapsed`).
        std::function<void(const RunEnd& end, bool lapsed)> acknowledged;
    };

    /// `rate` is the speed of the worker's clock; it may be 2% slow.
    ModelWorker(const Clock& clock, double rate, Callbacks callbacks)
        : m_clock(clock)
        , m_rate(rate)
        , m_callbacks(std::move(callbacks))
    {
        restart();
    }

    int64_t life() const { return m_life; }
    uint64_t fence() const { return m_fence; }

    int64_t clockMs() const
    {
        return static_cast<int64_t>(static_cast<double>((m_clock.now() - m_bornAt).count()) * m_rate);
    }

    bool runs(const std::string& task) const { return m_runs.contains(task); }
    size_t runCount() const { return m_runs.size(); }

    /// Replaces the worker by a new incarnation, which knows nothing of the former one.
    void restart()
    {
        for (const auto& [deadline, answer] : std::exchange(m_waitingPolls, {}))
            answer({});
        m_bornAt = m_clock.now();
        m_life = m_bornAt.time_since_epoch().count();
        m_sequence = 0;
        m_fence = 0;
        m_leaseUntilMs = 0;
        m_lastEnd = 0;
        m_runs.clear();
        m_ends.clear();
        m_closedAttempts.clear();
    }

    dispatch::WorkerAnnouncement announce()
    {
        dispatch::WorkerAnnouncement announcement;
        announcement.life = m_life;
        announcement.sequence = ++m_sequence;
        announcement.service = "service";
        announcement.dataCentre = "a";
        announcement.rack = "r1";
        announcement.capacity = { 8000, 8000, 0 };
        return announcement;
    }

    /// Ends runs that are done or whose lease has expired, and answers polls.
    void step()
    {
        const int64_t now = clockMs();
        const bool lapsed = now >= m_leaseUntilMs;
        std::vector<std::pair<std::string, const char*>> ended;
        for (const auto& [task, run] : m_runs) {
            if (run.endsAtMs > 0 && run.endsAtMs <= now)
                ended.emplace_back(task, "done");
            else if (lapsed)
                ended.emplace_back(task, "lapsed");
        }
        for (const auto& [task, reason] : ended)
            end(task, reason);
        if (lapsed) {
            for (ListedEnd& end : m_ends)
                end.lapsed = true;
        }
        answerPolls();
    }

    /// Calls with a lower fence than the highest one seen have no effect.
    dispatch::WorkerAnswer start(const RunOrder& order, int64_t leaseUntilMs, uint64_t fence)
    {
        if (isFenced(fence))
            return { dispatch::WorkerAnswer::Status::Refused, "fence" };
        if (leaseUntilMs <= clockMs())
            return { dispatch::WorkerAnswer::Status::Refused, "late" };
        extendLease(leaseUntilMs);
        const auto run = m_runs.find(order.task);
        if (run != m_runs.end() && run->second.attempt == order.attempt)
            return { dispatch::WorkerAnswer::Status::Done, {} };
        if (order.attempt <= m_closedAttempts[order.task])
            return { dispatch::WorkerAnswer::Status::Refused, "old" };
        m_callbacks.started(order.task, order.attempt);
        const int64_t time = std::stoll(order.payload);
        m_runs[order.task] = { order.attempt, time == 0 ? 0 : clockMs() + time };
        return { dispatch::WorkerAnswer::Status::Done, {} };
    }

    dispatch::WorkerAnswer stop(const RunStop& stop, uint64_t fence)
    {
        if (isFenced(fence))
            return { dispatch::WorkerAnswer::Status::Refused, "fence" };
        m_closedAttempts[stop.task] = std::max(m_closedAttempts[stop.task], stop.attempt);
        const auto run = m_runs.find(stop.task);
        if (run != m_runs.end() && run->second.attempt <= stop.attempt)
            end(stop.task, "stopped");
        answerPolls();
        return { dispatch::WorkerAnswer::Status::Done, {} };
    }

    void poll(
        const dispatch::WorkerPoll& poll, uint64_t fence, const std::function<void(dispatch::WorkerState)>& answer)
    {
        // The platform's refusal names the worker's clock, but not its incarnation.
        if (isFenced(fence))
            return answer({ dispatch::WorkerState::Status::Fenced, 0, clockMs(), {}, {} });
        if (poll.leaseUntilMs)
            extendLease(*poll.leaseUntilMs);
        std::erase_if(m_ends, [&](const ListedEnd& listed) {
            if (listed.end.number > poll.acknowledgedEnds)
                return false;
            m_callbacks.acknowledged(listed.end, listed.lapsed);
            return true;
        });
        m_waitingPolls.emplace_back(m_clock.now() + poll.wait, answer);
        answerPolls();
    }

private:
    struct Run {
        uint32_t attempt { 0 };
        int64_t endsAtMs { 0 }; ///< On the worker's clock; 0 for a run that lasts.
    };

    struct ListedEnd {
        RunEnd end;
        bool lapsed { false }; ///< The lease has expired since.
    };

    static constexpr int64_t maxLeaseMs = 6000;

    bool isFenced(uint64_t fence)
    {
        if (fence < m_fence)
            return true;
        m_fence = fence;
        return false;
    }

    void extendLease(int64_t untilMs)
    {
        m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + maxLeaseMs));
    }

    void end(const std::string& task, const char* reason)
    {
        const auto run = m_runs.find(task);
        m_closedAttempts[task] = std::max(m_closedAttempts[task], run->second.attempt);
        m_ends.push_back({ { ++m_lastEnd, task, run->second.attempt, reason, "" }, false });
        m_runs.erase(run);
        m_callbacks.ended(m_ends.back().end);
    }

    void answerPolls()
    {
        const auto isDue = [this](const auto& poll) { return !m_ends.empty() || m_clock.now() >= poll.first; };
        if (std::ranges::none_of(m_waitingPolls, isDue))
            return;
        for (auto& [deadline, answer] : std::exchange(m_waitingPolls, {})) {
            if (m_ends.empty() && m_clock.now() < deadline)
                m_waitingPolls.emplace_back(deadline, std::move(answer));
            else
                answer(state());
        }
    }

    dispatch::WorkerState state() const
    {
        dispatch::WorkerState state { dispatch::WorkerState::Status::Ok, m_life, clockMs(), {}, {} };
        for (const auto& [task, run] : m_runs)
            state.running.push_back({ { task, run.attempt, "", 0 }, 0 });
        for (const ListedEnd& listed : m_ends)
            state.ends.push_back(listed.end);
        return state;
    }

    const Clock& m_clock;
    double m_rate;
    Callbacks m_callbacks;
    Instant m_bornAt {};
    int64_t m_life { 0 };
    uint64_t m_sequence { 0 };
    uint64_t m_fence { 0 };
    int64_t m_leaseUntilMs { 0 };
    uint64_t m_lastEnd { 0 };
    std::map<std::string, Run> m_runs; ///< By task.
    std::vector<ListedEnd> m_ends; ///< Not acknowledged yet.
    std::map<std::string, uint32_t> m_closedAttempts; ///< Highest attempt that was stopped or has ended, by task.
    std::vector<std::pair<Instant, std::function<void(dispatch::WorkerState)>>> m_waitingPolls;
};

/// The calls of one agent process to its worker. A call that was sent arrives also after the process has ended.
class ModelWorkerPort final : public dispatch::WorkerPort {
public:
    /// Time until the call is carried out, and whether it is answered.
    struct Fate {
        Duration delay { 1 };
        bool answered { true };
    };

    ModelWorkerPort(ModelWorker& worker, ManualTimers& network, ProcessTimers& process, std::function<Fate()> fate)
        : m_worker(worker)
        , m_network(network)
        , m_process(process)
        , m_fate(std::move(fate))
    {
    }

    void start(const dispatch::WorkerIncarnation& incarnation, const RunOrder& order, int64_t leaseUntilMs,
        std::function<void(dispatch::WorkerAnswer)> done) override
    {
        command(incarnation, std::move(done), [order, leaseUntilMs, fence = incarnation.fence, worker = &m_worker] {
            return worker->start(order, leaseUntilMs, fence);
        });
    }

    void stop(const dispatch::WorkerIncarnation& incarnation, const RunStop& stop,
        std::function<void(dispatch::WorkerAnswer)> done) override
    {
        command(incarnation, std::move(done),
            [stop, fence = incarnation.fence, worker = &m_worker] { return worker->stop(stop, fence); });
    }

    void setSpeed(const dispatch::WorkerIncarnation&, const RunStop&, int64_t,
        std::function<void(dispatch::WorkerAnswer)> done) override
    {
        done({ dispatch::WorkerAnswer::Status::Done, {} });
    }

    void poll(const dispatch::WorkerIncarnation& incarnation, const dispatch::WorkerPoll& poll,
        std::function<void(dispatch::WorkerState)> done) override
    {
        const Fate fate = m_fate();
        auto answer = answerOnce<dispatch::WorkerState>(std::move(done), fate, poll.wait + answerTimeout);
        m_network.after(fate.delay, [incarnation, poll, answer, isLate = !fate.answered, worker = &m_worker] {
            if (isForOther(incarnation, isLate, *worker))
                return answer({ dispatch::WorkerState::Status::OtherIncarnation, 0, 0, {}, {} });
            worker->poll(poll, incarnation.fence, answer);
        });
    }

private:
    static constexpr Duration answerTimeout { 700 };

    /// Calls `done` in the process with the answer, or with an empty one after `timeout`.
    template <typename Answer>
    std::function<void(Answer)> answerOnce(std::function<void(Answer)> done, Fate fate, Duration timeout)
    {
        auto pending = std::make_shared<std::function<void(Answer)>>(std::move(done));
        const auto finish = [pending](const Answer& answer) {
            if (const auto call = std::exchange(*pending, nullptr))
                call(answer);
        };
        m_process.after(timeout, [finish] { finish({}); });
        // The process may have ended when the answer arrives, and its timers with it.
        return [fate, finish, alive = m_process.alive(), process = &m_process](const Answer& answer) {
            if (fate.answered && !alive.expired())
                process->after(Duration { 1 }, [finish, answer] { finish(answer); });
        };
    }

    void command(const dispatch::WorkerIncarnation& incarnation, std::function<void(dispatch::WorkerAnswer)> done,
        const std::function<dispatch::WorkerAnswer()>& call)
    {
        const Fate fate = m_fate();
        auto answer = answerOnce<dispatch::WorkerAnswer>(std::move(done), fate, answerTimeout);
        m_network.after(fate.delay, [incarnation, call, answer, isLate = !fate.answered, worker = &m_worker] {
            if (isForOther(incarnation, isLate, *worker))
                return answer({ dispatch::WorkerAnswer::Status::Refused, dispatch::restartedReason });
            answer(call());
        });
    }

    /// Whether the call does not reach the worker, whose incarnation is not the one that has answered on the connection
    /// of the call. A late call is carried out by whichever incarnation runs then: all have the same id.
    static bool isForOther(const dispatch::WorkerIncarnation& incarnation, bool isLate, const ModelWorker& worker)
    {
        return !isLate && incarnation.life != 0 && incarnation.life != worker.life();
    }

    ModelWorker& m_worker;
    ManualTimers& m_network;
    ProcessTimers& m_process;
    std::function<Fate()> m_fate;
};

} // namespace hemlocklead
