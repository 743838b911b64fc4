#pragma once

#include "entry/EntrySettings.h"
#include "protocol/Messages.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// A minimal model of an agent and its worker that follows the rules of design section 5. The worker keeps running
/// while the agent restarts.
class ModelAgent {
public:
    using Send = std::function<void(size_t entry, const Message& message)>;

    /// `started` is called for each start that the agent accepts.
    ModelAgent(std::string host, std::string dataCentre, const EntrySettings& settings, size_t entries,
        std::mt19937_64& random, Send send, std::function<void(const Start&)> started,
        std::function<bool(const std::string&)> isOut)
        : m_host(std::move(host))
        , m_dataCentre(std::move(dataCentre))
        , m_settings(settings)
        , m_firstAfterConnect(entries, true)
        , m_random(random)
        , m_send(std::move(send))
        , m_started(std::move(started))
        , m_isOut(std::move(isOut))
        , m_offset(static_cast<int64_t>(random() % 1'000'000))
        , m_drift(static_cast<double>(random() % 21) / 1000.0 - 0.01)
    {
        restart(Instant { Duration { 0 } });
    }

    const std::string& host() const { return m_host; }
    Hello hello() const { return { m_host, m_dataCentre, "rack", m_incarnation, 1 }; }

    /// Replaces the agent process: its state is lost, but pending calls to the worker still arrive.
    void restart(Instant now)
    {
        m_incarnation = m_random();
        m_startedAt = now;
        m_held.clear();
        m_reserved.clear();
        m_unacknowledgedEnds.clear();
        m_endedKeys.clear();
        m_firstAfterConnect.assign(m_firstAfterConnect.size(), true);
    }

    void handleConnected(size_t entry) { m_firstAfterConnect[entry] = true; }

    /// Attempts that run on the worker now.
    std::vector<AttemptKey> running() const
    {
        std::vector<AttemptKey> keys;
        for (const auto& [key, task] : m_worker) {
            if (task.state == State::Running)
                keys.push_back(key);
        }
        return keys;
    }

    /// Advances the worker. It keeps running while the agent is paused or dead.
    void workerStep(Instant now)
    {
        std::erase_if(m_calls, [&](const StartCall& call) {
            if (call.arrivesAt > now)
                return false;
            m_worker.try_emplace(call.key,
                WorkerTask { State::Running, now + call.lease, now + call.runTime, call.fails,
                    call.key.taskId() + "@" + std::to_string(m_random() % 100), call.spec });
            return true;
        });
        for (auto& [key, task] : m_worker) {
            if (task.state != State::Running)
                continue;
            if (task.endsAt <= now)
                task.state = task.fails ? State::Failed : State::Finished;
            else if (task.leaseEnd <= now)
                task.state = State::Expired;
        }
    }

    void step(Instant now)
    {
        m_now = now;
        pollWorker();
        if (now < m_nextReport)
            return;
        m_nextReport = now + Duration { 300 };
        for (size_t entry = 0; entry < m_firstAfterConnect.size(); ++entry) {
            for (const auto& [key, ended] : m_unacknowledgedEnds)
                m_send(entry, ended);
            m_send(entry, keepalive(m_firstAfterConnect[entry] || m_random() % 4 == 0));
            m_firstAfterConnect[entry] = false;
        }
    }

    void receive(size_t entry, const Message& message, Instant now)
    {
        m_now = now;
        if (const auto* reserve = std::get_if<Reserve>(&message))
            onReserve(entry, *reserve);
        else if (const auto* start = std::get_if<Start>(&message))
            m_send(entry, onStart(*start));
        else if (const auto* renew = std::get_if<Renew>(&message))
            onRenew(*renew);
        else if (const auto* stop = std::get_if<Stop>(&message))
            onStop(*stop);
        else if (const auto* ack = std::get_if<AttemptEndedAck>(&message))
            m_unacknowledgedEnds.erase(ack->key);
    }

private:
    enum class State : uint8_t { Running, Finished, Failed, Expired };
    struct WorkerTask {
        State state { State::Running };
        Instant leaseEnd;
        Instant endsAt;
        bool fails { false };
        std::string token;
        TaskSpec spec;
    };
    struct StartCall {
        Instant arrivesAt;
        AttemptKey key;
        Duration lease;
        Duration runTime;
        bool fails { false };
        TaskSpec spec;
    };
    struct HeldAttempt {
        int64_t leaseEnd { 0 }; ///< On the agent's clock, in ms.
        TaskSpec spec;
        bool arrived { false };
        Instant startedAt;
    };

    int64_t clock() const
    {
        return static_cast<int64_t>(static_cast<double>(m_now.time_since_epoch().count()) * (1 + m_drift)) + m_offset;
    }
    Stamp stamp() const { return { m_incarnation, clock() }; }

    Duration workerLease(int64_t leaseEnd) const
    {
        return std::min(m_settings.workerLease, Duration { leaseEnd - clock() } - m_settings.driftMargin);
    }

    Resources free() const
    {
        Resources left = capacity;
        for (const auto& [key, held] : m_held)
            left = left - held.spec.resources;
        for (const auto& [key, reserved] : m_reserved)
            left = left - reserved.first;
        return left;
    }

    Keepalive keepalive(bool full) const
    {
        Keepalive message;
        message.stamp = stamp();
        message.ledgerReady = true;
        message.settled = m_now - m_startedAt > m_settings.workerLease;
        message.capacity = capacity;
        message.free = free();
        message.full = full;
        for (const auto& [key, held] : m_held) {
            if (full || m_random() % 2 == 0)
                message.attempts.push_back({ key, held.spec, 10, static_cast<int64_t>(m_random() % 10) });
        }
        return message;
    }

    void onReserve(size_t entry, const Reserve& reserve)
    {
        std::erase_if(m_reserved, [&](const auto& reserved) { return reserved.second.second <= m_now; });
        const bool known = m_held.contains(reserve.key) || m_endedKeys.contains(reserve.key);
        const bool granted = known || m_reserved.contains(reserve.key) || reserve.resources.fitsIn(free());
        if (granted && !known)
            m_reserved[reserve.key] = { reserve.resources, m_now + Duration { 1000 } };
        const std::string refusal = granted ? std::string() : std::string(errorName(ErrorKind::NoCapacity));
        m_send(entry, ReserveReply { reserve.shard, reserve.key, granted, refusal, stamp(), free() });
    }

    StartReply onStart(const Start& start)
    {
        StartReply reply { start.shard, start.key, false, {}, stamp() };
        if (m_held.contains(start.key) || m_endedKeys.contains(start.key)) {
            reply.started = true;
            return reply;
        }
        const int64_t leaseEnd = start.echo.timeMs + m_settings.attemptLease.count();
        const int64_t viewAge = clock() - (start.echo.timeMs - start.viewAge.count());
        if (start.echo.incarnation != m_incarnation || viewAge > m_settings.startFreshness.count())
            reply.refusal = errorName(ErrorKind::StaleView);
        else if (m_isOut(m_dataCentre))
            reply.refusal = errorName(ErrorKind::DataCentreOut);
        else if (m_reserved.erase(start.key) == 0)
            reply.refusal = errorName(ErrorKind::NoCapacity);
        if (!reply.refusal.empty())
            return reply;
        reply.started = true;
        m_held[start.key] = HeldAttempt { leaseEnd, start.spec, false, m_now };
        m_calls.push_back({ m_now + Duration { m_random() % 150 }, start.key, workerLease(leaseEnd),
            Duration { 200 + m_random() % 4000 }, m_random() % 12 == 0, start.spec });
        m_started(start);
        return reply;
    }

    void onRenew(const Renew& renew)
    {
        if (renew.echo.incarnation != m_incarnation)
            return;
        for (const AttemptKey& key : renew.keys) {
            const auto found = m_held.find(key);
            if (found != m_held.end())
                found->second.leaseEnd
                    = std::max(found->second.leaseEnd, renew.echo.timeMs + m_settings.attemptLease.count());
        }
    }

    void onStop(const Stop& stop)
    {
        const auto task = m_worker.find(stop.key);
        if (!m_held.contains(stop.key) || task == m_worker.end() || task->second.state != State::Running)
            return;
        end(stop.key, stop.reason, task->second.token, {});
    }

    void end(const AttemptKey& key, EndReason reason, const std::string& token, const std::string& result)
    {
        // Must come first: token and result may refer to the worker's task that is erased below.
        m_unacknowledgedEnds[key] = AttemptEnded { 0, key, reason, token, result };
        m_held.erase(key);
        m_endedKeys.insert(key);
        m_worker.erase(key);
    }

    void pollWorker()
    {
        std::vector<AttemptKey> keys;
        for (const auto& [key, task] : m_worker)
            keys.push_back(key);
        for (const AttemptKey& key : keys)
            pollTask(key);
        std::vector<AttemptKey> missing;
        for (const auto& [key, held] : m_held) {
            if (!m_worker.contains(key) && m_now - held.startedAt > m_settings.workerLease)
                missing.push_back(key);
        }
        for (const AttemptKey& key : missing)
            end(key, EndReason::Lost, {}, {});
    }

    void checkpoint(const AttemptKey& key, WorkerTask& task)
    {
        task.token = key.taskId() + "@" + std::to_string(m_random() % 1000);
        for (size_t entry = 0; entry < m_firstAfterConnect.size(); ++entry)
            m_send(entry, Checkpointed { 0, key, task.token, 1 });
    }

    void pollTask(const AttemptKey& key)
    {
        WorkerTask& task = m_worker.at(key);
        // A task that an earlier process of this agent started gets no worker lease until an owner renews it.
        HeldAttempt& held = m_held.try_emplace(key, HeldAttempt { clock(), task.spec, true, m_now }).first->second;
        switch (task.state) {
        case State::Running:
            if (workerLease(held.leaseEnd) > Duration { 0 })
                task.leaseEnd = std::max(task.leaseEnd, m_now + workerLease(held.leaseEnd));
            if (m_random() % 100 == 0)
                checkpoint(key, task);
            return;
        case State::Finished:
            end(key, EndReason::Finished, {}, key.taskId());
            return;
        case State::Failed:
            end(key, EndReason::Failed, {}, "failed");
            return;
        case State::Expired:
            end(key, EndReason::Lost, task.token, {});
            return;
        }
    }

    static constexpr Resources capacity { 4000, 4096, 0 };

    std::string m_host;
    std::string m_dataCentre;
    const EntrySettings& m_settings;
    std::vector<bool> m_firstAfterConnect;
    std::mt19937_64& m_random;
    Send m_send;
    std::function<void(const Start&)> m_started;
    std::function<bool(const std::string&)> m_isOut;
    int64_t m_offset;
    double m_drift;
    uint64_t m_incarnation { 0 };
    Instant m_startedAt;
    Instant m_now;
    Instant m_nextReport;
    std::map<AttemptKey, HeldAttempt> m_held;
    std::map<AttemptKey, std::pair<Resources, Instant>> m_reserved;
    std::map<AttemptKey, AttemptEnded> m_unacknowledgedEnds;
    std::set<AttemptKey> m_endedKeys;
    std::vector<StartCall> m_calls;
    std::map<AttemptKey, WorkerTask> m_worker;
};

} // namespace hemlocklead
