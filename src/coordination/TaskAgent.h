#pragma once

#include "coordination/EndReportSchedule.h"
#include "coordination/WorkerMonitor.h"
#include "state/ControlState.h"

#include <functional>
#include <set>

namespace hemlocklead {

/// Manages the tasks of one host: answers the messages of entries, runs attempts on the worker and throttles or evicts
/// them to protect services. Has no sockets or timers; the caller delivers messages and calls `tick`.
class TaskAgent final : private AttemptListener {
public:
    struct Settings {
        std::string dataCentre;
        AttemptTable::Limits limits;
        Duration reservationTtl { 5000 };
        Duration workerPoll { 500 };
        bool throttling { true };
    };

    /// Sends a message to an entry, or to all connected ones when `entry` is empty.
    using Send = std::function<void(std::optional<size_t> entry, const Message& message)>;

    /// Interval at which `tick` is called.
    static constexpr Duration tickInterval { 100 };

    TaskAgent(const Clock& clock, const Settings& settings, const ControlState& control, WorkerService& worker,
        Counters& counters, Send send);

    /// Runs all periodic work; call it every `tickInterval`. The first calls rebuild the ledger from the worker.
    void tick();

    void entryMessage(size_t entry, const Message& message);

    /// Drops the state of an entry whose connection has closed. The first keepalive after a reconnect is full.
    void entryGone(size_t entry);

    /// Adds the capacity, and the attempts and interference scores whose changes are due to be reported to this entry;
    /// all of them when `keepalive.full` is set. Sets it in the first keepalive after the ledger has settled.
    void fillKeepalive(size_t entry, Keepalive& keepalive);

    /// Whether the ledger is rebuilt and settled. Reservations are granted only from then on.
    bool isSettled() const { return m_monitor.isSettled(); }

    void noteLatency(const std::string& service, int64_t latencyUs);

    /// Checkpoints and stops all tasks, and accepts no new ones.
    void drain();

    /// Whether every attempt has ended and its end is acknowledged.
    bool isDrained() const;

private:
    /// Progress of an attempt as last reported to an entry.
    struct ReportedProgress {
        int64_t progress { 0 };
        int64_t checkpointProgress { 0 };
        Instant reportedAt;
    };

    /// State that keepalives have reported to one entry.
    struct ReportedToEntry {
        std::map<AttemptKey, ReportedProgress> attempts;
        std::map<std::pair<std::string, std::string>, double> scores;
        bool settled { false };
    };

    void handle(size_t entry, const Reserve& message);
    void handle(size_t entry, const Start& message);
    void handle(size_t entry, const Renew& message);
    void handle(size_t entry, const Stop& message);
    void handle(size_t entry, const AttemptEndedAck& message);
    template <typename Other> void handle(size_t, const Other&) { }

    std::optional<ErrorKind> refusalOf(const Reserve& message);
    void beginAttempt(size_t entry, const Start& message);
    void refuseStart(size_t entry, const Start& message, ErrorKind refusal);

    /// Confirms the end of an attempt that is unknown to this host, and records it so that a later Start of it is not
    /// run.
    void endUnknownAttempt(uint32_t shard, const AttemptKey& key, EndReason reason);

    /// Whether `epoch` is the highest seen for the shard. An entry with a lower epoch has lost the shard.
    bool isCurrentEpoch(uint32_t shard, uint64_t epoch);

    Stamp stamp() const;
    void sendStartReply(size_t entry, const AttemptKey& key, uint32_t shard, std::optional<ErrorKind> refusal);
    void mitigateInterference();
    void stopAll();
    static bool isReportDue(const ReportedProgress& reported, const ReportedProgress& current);
    void fillAttempts(ReportedToEntry& reported, Keepalive& keepalive) const;
    void fillInterference(ReportedToEntry& reported, Keepalive& keepalive) const;

    void attemptStarted(const HeldAttempt& attempt) override;
    void attemptEnded(const HeldAttempt& attempt) override;
    void attemptCheckpointed(const HeldAttempt& attempt) override;
    void taskListNeeded() override;

    const Clock& m_clock;
    Settings m_settings;
    const ControlState& m_control;
    Counters& m_counters;
    Send m_send;
    AttemptTable m_table;
    ReservationLedger m_ledger;
    AttemptRunner m_runner;
    WorkerMonitor m_monitor;
    InterferenceLearner m_learner;
    EndReportSchedule m_reports;
    std::map<AttemptKey, std::set<size_t>> m_startReplyWaiters; ///< Entries that wait for a StartReply.
    std::map<uint32_t, uint64_t> m_epochs; ///< Highest epoch by shard.
    std::map<size_t, ReportedToEntry> m_reported;
    std::map<std::pair<std::string, std::string>, double> m_scores; ///< Interference by service and task name.
    bool m_leaving { false };
};

} // namespace hemlocklead
