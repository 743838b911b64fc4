#pragma once

#include "coordination/EndReports.h"
#include "coordination/WorkerMonitor.h"
#include "state/ControlState.h"

#include <functional>
#include <set>

namespace hemlocklead {

/// The task side of an agent without sockets and timers: answers the messages of entries and keeps the worker in line.
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

    /// Does what is due. The first calls rebuild the ledger from the worker.
    void tick();

    void entryMessage(size_t entry, const Message& message);

    /// Forgets what the entry was told, as its next keepalive is full.
    void entryGone(size_t entry);

    void fillKeepalive(size_t entry, Keepalive& keepalive);

    /// Whether reservations are granted.
    bool isSettled() const { return m_monitor.isSettled(); }

    void noteLatency(const std::string& service, int64_t latencyUs);

    /// Checkpoints and stops all tasks, and accepts no new ones.
    void drain();

    /// Whether no attempt is left whose end is not acknowledged.
    bool isDrained() const;

private:
    /// What an entry was told of an attempt.
    struct ToldProgress {
        int64_t progress { 0 };
        int64_t checkpointProgress { 0 };
        Instant toldAt;
    };

    /// What an entry was told in keepalives.
    struct ToldEntry {
        std::map<AttemptKey, ToldProgress> attempts;
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
    void begin(size_t entry, const Start& message);
    void answerRefused(size_t entry, const Start& message, ErrorKind refusal);

    /// Confirms that an attempt which is not here has ended, and keeps a later Start of it from running.
    void endUnknown(uint32_t shard, const AttemptKey& key, EndReason reason);

    /// Whether the sender's epoch is the highest seen of its shard. A lower one is of an entry that lost the shard.
    bool isCurrentEpoch(uint32_t shard, uint64_t epoch);

    Stamp stamp() const;
    void replyStarted(size_t entry, const AttemptKey& key, uint32_t shard, std::optional<ErrorKind> refusal);
    void protectServices();
    void stopAll();
    static bool isReportDue(const ToldProgress& told, const ToldProgress& current);
    void fillAttempts(ToldEntry& told, Keepalive& keepalive) const;
    void fillInterference(ToldEntry& told, Keepalive& keepalive) const;

    void attemptStarted(const HeldAttempt& attempt) override;
    void attemptEnded(const HeldAttempt& attempt) override;
    void attemptCheckpointed(const HeldAttempt& attempt) override;
    void listWanted() override;

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
    EndReports m_reports;
    std::map<AttemptKey, std::set<size_t>> m_starters; ///< Entries that wait for a StartReply.
    std::map<uint32_t, uint64_t> m_epochs; ///< Highest epoch by shard.
    std::map<size_t, ToldEntry> m_told;
    std::map<std::pair<std::string, std::string>, double> m_scores; ///< By service and task name.
    bool m_leaving { false };
};

} // namespace hemlocklead
