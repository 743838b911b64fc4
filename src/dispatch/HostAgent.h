#pragma once

#include "base/Counters.h"
#include "dispatch/Journal.h"
#include "dispatch/ThrottleController.h"
#include "dispatch/WorkerPort.h"

#include <map>
#include <set>

namespace hemlocklead::dispatch {

/// Sends reports to the owner. Reports are dropped while no owner is connected.
class ReportSender {
public:
    virtual ~ReportSender() = default;
    virtual void send(const HostReport& report) = 0;
};

/// Carries out the owner's orders on one worker and reports to the owner what runs there.
///
/// It obeys only the highest owner epoch that it has seen, and of that owner only the newest connection: from a report
/// on that one the owner may conclude that orders on an earlier one will not be carried out any more. Its fence begins
/// with the epoch, so the worker refuses the calls of former owners also after the agent has restarted and forgotten
/// which epochs it has seen. It extends the worker's leases only up to a fixed time after the reading of the worker's
/// clock that the owner has echoed. It reports a start as refused only when the run can no longer start.
///
/// The worker may be replaced by another incarnation at any time. The fence rises with each incarnation, so the next
/// one refuses late calls that were meant for the former ones as soon as it has answered a poll. Only the list of runs
/// in such an answer is reported, as the first one of that incarnation.
class HostAgent {
public:
    struct Settings {
        std::string host;

        /// Counted from the echoed reading of the worker's clock.
        Duration lease { 5000 };

        /// Longest time that the worker may delay its answer to a poll; its measurements cover half a second.
        Duration pollWait { 450 };

        /// As `pollWait` while tasks are paused. Paused tasks resume as soon as a measurement allows it.
        Duration pollWaitWhilePausing { 150 };

        /// Shortest time from one poll to the next, so that many ends cost few calls.
        Duration minPollInterval { 40 };

        /// As `minPollInterval` while ends are not acknowledged; an acknowledgement triggers the next poll at once.
        Duration acknowledgementWait { 150 };

        /// Delay after an unanswered poll.
        Duration retry { 250 };

        /// Number of consecutive unanswered polls after which the worker is reported as unresponsive.
        int pollsUntilSilent { 2 };

        /// A start is refused when less than this is left of the lease.
        Duration minStartLease { 1500 };

        /// A start is refused when the clock reading in its message is older than this: the owner may have cancelled
        /// the job or given up the run meanwhile. Less than the users' bound from a cancellation to the last start, 3
        /// s.
        Duration maxOrderAge { 2500 };

        /// A report waits while the owner has not read this many earlier ones: they would only queue on the owner's
        /// link, and the next report contains all that they say.
        uint64_t maxUnreadReports { 3 };

        /// A report does not wait longer than this: an owner without authority sends no orders, and the owner replaces
        /// a connection without reports for 2 s.
        Duration maxReportDelay { 1000 };

        /// Time for the answer when the newest epoch is read from the journal, and delay before it is read again.
        Duration epochCheckTimeout { 1000 };

        /// Delay before an unanswered stop is repeated.
        Duration stopRetry { 400 };

        /// The worker's clock may be 2% slow.
        double clockDriftFactor { 1.03 };

        /// The worker's timers may fire late.
        Duration leaseExpiryMargin { 300 };

        /// The worker grants no longer lease than this. A late call that was meant for a former incarnation may have
        /// asked for any.
        Duration maxLease { 6000 };

        /// A pause that the owner orders holds no longer than this without renewal.
        Duration maxPause { 1500 };

        ThrottleController::Settings throttle {};
    };

    /// `journal` is read only when the worker refuses every fence of the owner's epoch.
    HostAgent(WorkerPort& worker, ReportSender& sender, JournalService& journal, Timers& timers, const Clock& clock,
        Counters& counters, Settings settings);
    HostAgent(const HostAgent&) = delete;
    HostAgent& operator=(const HostAgent&) = delete;

    void start();

    /// Handles a status announcement of the worker. Returns false if it is out of order or of an earlier incarnation;
    /// it is ignored then.
    bool handleAnnouncement(const WorkerAnnouncement& announcement);

    /// Handles a worker's notice that it shuts down. A notice of another instance than the announced one is late and is
    /// ignored.
    void handleWorkerShutdown(const std::string& instance);

    /// Handles a new connection to an owner; sends a full report.
    void handleOwnerConnected();

    /// Whether the orders come from a former owner or on a connection that the owner has replaced.
    bool isStale(const HostOrders& orders) const;

    /// Carries out an owner's orders. Returns false if they are stale; the connection can be closed.
    bool handleOrders(const HostOrders& orders);

    uint64_t epochSeen() const { return m_epochSeen; }
    bool isDraining() const { return m_announcement.draining; }

private:
    /// A start order whose outcome the worker's list of runs does not show yet.
    struct PendingStart {
        RunOrder order;
        uint64_t connection { 0 };
        uint64_t epoch { 0 }; ///< Of the owner that ordered it.
        uint64_t ownerConnection { 0 }; ///< HostOrders::connection of the order.

        /// Number of the last poll that was sent before the worker answered; empty while the order is unanswered.
        std::optional<uint64_t> lastPollBeforeAnswer;
    };

    /// State of the agent when a poll was sent.
    struct SentPoll {
        uint64_t number;
        Instant sentAt;
        uint64_t connection;
        uint64_t settledOrders;
        uint64_t epoch; ///< Of the fence that it carries.
        uint64_t acknowledgedEnds;
    };

    /// What the agent knows of one incarnation of the worker. It is created anew for the next one, to which none of it
    /// applies.
    struct WorkerView {
        int64_t life { 0 }; ///< 0 until the incarnation has answered.
        int64_t clockMs { 0 };
        Instant clockReadAt {};
        /// When it first answered under a fence of the owner that no earlier incarnation has seen. Until then, a late
        /// call could extend its lease.
        std::optional<int64_t> firstListMs;
        int64_t leaseUntilMs { 0 }; ///< End of the lease granted by the owner, on the worker's clock.
        uint64_t acknowledgedEnds { 0 };
        uint64_t discardedEnds { 0 }; ///< The worker has answered a poll that acknowledged the ends up to this one.
        bool epochFenced { false }; ///< The worker has accepted a fence of `m_epochSeen`.
        bool hasReadRuns { false }; ///< `running` was read under a fence that no earlier incarnation has seen.
        uint64_t settledOrders { 0 };
        std::vector<WorkerRun> running;
        std::vector<RunEnd> ends; ///< Not acknowledged yet.
        bool hasMoreEnds { false }; ///< The worker's last list of ends may have been incomplete.
        std::map<std::string, PendingStart> pendingStarts; ///< By task and attempt.
        std::map<std::string, RunOrder> descriptions; ///< Orders without payload that describe the runs, by task.
    };

    void poll();
    void handlePollAnswer(WorkerState state, const SentPoll& sent);
    void schedulePoll(Duration delay);
    void applyState(WorkerState& state, const SentPoll& sent);
    void beginIncarnation(int64_t life);
    void abandonIncarnation();
    void pollAnew();
    WorkerIncarnation incarnation() const { return { m_view.life, m_fence }; }
    void acceptEpoch(uint64_t epoch);
    uint64_t firstFence() const;
    void raiseFence();
    void checkEpoch();
    void handleUnansweredPoll();
    bool isLeaseInherited() const;
    Instant leaseEndAfter(Duration workerTime) const;
    void noteLeaseGranted();
    int64_t workerClockMs() const;

    void startRun(const RunOrder& order, bool isLate);
    void handleStartAnswer(const std::string& key, const WorkerAnswer& answer);
    void revokeStart(const std::string& key);
    void refuseStart(const RunOrder& order, const std::string& reason);
    void stopRun(const RunStop& stop, int triesLeft);
    void pauseRun(const RunPause& pause);
    void updateThrottling();
    uint64_t settledOrders() const;
    void report(bool full);
    bool mustReportWait() const;
    void sendReport();

    WorkerPort& m_worker;
    ReportSender& m_sender;
    JournalService& m_journal;
    Timers& m_timers;
    const Clock& m_clock;
    Counters& m_counters;
    Settings m_settings;

    uint64_t m_epochSeen { 0 };
    uint64_t m_ownerConnection { 0 }; ///< Highest HostOrders::connection of the owner with that epoch.
    uint64_t m_connection { 0 }; ///< Number of connections to owners so far.
    uint64_t m_highestOrder { 0 }; ///< Of the current connection.
    uint64_t m_reportsSent { 0 }; ///< On the current connection.
    uint64_t m_reportsRead { 0 }; ///< Of these, those that the owner has read.
    bool m_ownerCountsReports { false }; ///< The owner says how many reports it has read; earlier builds do not.
    Instant m_reportedAt {}; ///< When the last report was sent.
    bool m_isReportWaiting { false };
    bool m_isNextReportFull { false };

    uint64_t m_fence { 0 }; ///< 0 until the worker's clock is known.
    bool m_epochIsNewest { false }; ///< According to the journal; allows one higher fence than those of the epoch.
    bool m_isCheckingEpoch { false };
    WorkerView m_view;
    Instant m_leaseEnd {}; ///< All leases that this process or an earlier one of the agent has granted end before this.
    int m_unansweredPolls { 0 };
    bool m_isPolling { false };
    uint64_t m_pollsSent { 0 };
    uint64_t m_pollTimer { 0 };
    WorkerAnnouncement m_announcement;
    std::vector<RunRefusal> m_refusals; ///< To be sent with the next report.
    ThrottleController m_throttle;
};

} // namespace hemlocklead::dispatch
