#pragma once

#include "base/Counters.h"
#include "dispatch/Journal.h"
#include "dispatch/PaceControl.h"
#include "dispatch/WorkerPort.h"

#include <map>
#include <set>

namespace hemlocklead::dispatch {

/// Delivers reports to the owner. Dropped while no owner is connected.
class ReportSender {
public:
    virtual ~ReportSender() = default;
    virtual void send(const HostReport& report) = 0;
};

/// Carries out the owner's orders on one worker and tells the owner what runs there.
///
/// It obeys only the highest owner epoch that it has seen, renews the worker's lease only as far as the owner's echo of
/// the worker's clock allows, and reports a start as refused only when the run can no longer begin.
class HostAgent {
public:
    struct Settings {
        std::string host;
        Duration lease { 5000 }; ///< From the echoed reading of the worker's clock.
        Duration look { 450 }; ///< Longest wait of a look; the worker's figures cover half a second.
        Duration lookWhileHolding { 150 }; ///< Held tasks go on as soon as a figure shows that they may.
        Duration shortestLook { 40 }; ///< Pause between two looks, so that many ends cost few calls.
        Duration ackWait { 150 }; ///< Longest pause for the acknowledgement of an end before the next look.
        Duration retry { 250 }; ///< Pause after a look without an answer.
        int looksUntilSilent { 2 }; ///< Looks without an answer after which the worker counts as silent.
        Duration minStartLease { 1500 }; ///< A start needs this much of the lease.
        Duration stopRetry { 400 }; ///< Pause before an unanswered stop is repeated.
        double clockSlack { 1.03 }; ///< The worker's clock may be 2% slow.
        Duration lapseMargin { 300 }; ///< Timers of the worker fire late.
        PaceControl::Settings pace {};
    };

    HostAgent(WorkerPort& worker, ReportSender& sender, Delays& delays, const Clock& clock, Counters& counters,
        Settings settings);
    HostAgent(const HostAgent&) = delete;
    HostAgent& operator=(const HostAgent&) = delete;

    void start();

    /// The worker has said something of itself. Announcements of an earlier life or out of order are ignored.
    void announced(const WorkerAnnouncement& announcement);

    /// The worker has taken its leave.
    void withdrawn();

    /// A new connection to an owner; reports everything.
    void ownerConnected();

    /// Orders of an owner. Returns false when a higher epoch has been seen: the connection is of no use.
    bool ordered(const HostOrders& orders);

    uint64_t epochSeen() const { return m_epochSeen; }
    bool isDraining() const { return m_announcement.draining; }

private:
    /// An order whose outcome the list of runs does not show yet.
    struct OpenStart {
        RunOrder order;
        uint64_t connection { 0 };
        std::optional<uint64_t> answeredAfter; ///< Number of the last look that was sent before the worker's answer.
    };

    /// What was known when a look was sent.
    struct SentLook {
        uint64_t number;
        Instant sentAt;
        uint64_t connection;
        uint64_t settledOrders;
    };

    void look();
    void looked(WorkerState state, const SentLook& sent);
    void scheduleLook(Duration delay);
    void noteState(WorkerState& state, const SentLook& sent);
    void beginLife(int64_t life);
    void noAnswer();
    bool hasLapsed() const;
    int64_t workerClock() const;

    void startRun(const RunOrder& order);
    void startAnswered(const std::string& key, const WorkerAnswer& answer);
    void revoke(const std::string& key);
    void refuse(const RunOrder& order, const std::string& reason);
    void stopRun(const RunStop& stop, int triesLeft);
    void controlPace();
    uint64_t settledOrders() const;
    void report(bool full);

    WorkerPort& m_worker;
    ReportSender& m_sender;
    Delays& m_delays;
    const Clock& m_clock;
    Counters& m_counters;
    Settings m_settings;

    uint64_t m_epochSeen { 0 };
    uint64_t m_connection { 0 }; ///< Counts the connections to owners.
    uint64_t m_highestOrder { 0 }; ///< Of the present connection.
    uint64_t m_settled { 0 };

    uint64_t m_fence { 0 }; ///< 0 until the worker's clock is known.
    int64_t m_life { 0 };
    int64_t m_clockMs { 0 };
    Instant m_clockReadAt {};
    int64_t m_leaseUntilMs { 0 }; ///< Granted by the owner, on the worker's clock.
    int64_t m_sentUntilMs { 0 }; ///< The furthest lease that was sent to the worker.
    uint64_t m_acknowledged { 0 };
    int m_unanswered { 0 };
    bool m_looking { false };
    uint64_t m_looks { 0 }; ///< Looks sent.
    uint64_t m_lookTimer { 0 };
    WorkerAnnouncement m_announcement;
    bool m_runsRead { false }; ///< `m_running` was read in the present life, under this process's fence.
    std::vector<WorkerRun> m_running;
    std::vector<RunEnd> m_ends; ///< Not acknowledged yet.
    std::vector<RunRefusal> m_refusals; ///< For the next report.
    std::map<std::string, OpenStart> m_open; ///< By task and attempt.
    PaceControl m_pace;
    std::map<std::string, RunOrder> m_known; ///< Descriptions of runs, by task.
};

} // namespace hemlocklead::dispatch
