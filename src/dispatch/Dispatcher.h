#pragma once

#include "base/Counters.h"
#include "coordination/StartEjector.h"
#include "dispatch/HostBook.h"
#include "dispatch/HostChooser.h"
#include "dispatch/JobBook.h"
#include "dispatch/JobPlan.h"
#include "dispatch/JournalWriter.h"

#include <set>

namespace hemlocklead::dispatch {

/// Delivers orders to agents. A message to a host that is not connected is dropped.
class HostSender {
public:
    virtual ~HostSender() = default;
    virtual void send(const std::string& host, const HostOrders& orders) = 0;
};

/// Time of day, for scheduled jobs only. It may jump.
class CalendarClock {
public:
    virtual ~CalendarClock() = default;
    virtual int64_t unixMs() const = 0;
};

/// The owner's decisions: which task runs where, what an end means, when a run counts as lost.
///
/// Nothing is ordered before it is recorded, and no end is acknowledged before it is recorded, so that the next owner
/// knows every run that may exist.
class Dispatcher final : public JobBookListener {
public:
    struct Settings {
        Duration lease { 5000 }; ///< Runs on a host that hears nothing from an owner end after this.
        Duration leaseMargin { 400 }; ///< The worker's clock may be 2% slow, and timers fire late.
        Duration authority { 8000 }; ///< Leases are renewed this long after the last append that proved the ownership.
        Duration keepalive { 400 }; ///< Longest pause between two messages to a host.
        Duration maxReportAge { 1500 }; ///< A host that was not heard for longer gets no new runs.
        Duration stopRepeat { 600 }; ///< A stop is repeated until the run has ended.
        Duration retryDelay { 150 }; ///< Pause after a refused start, and after each failure of a lasting task.
        Duration fillPatience { 1500 }; ///< A job with nothing running overcommits a host after waiting this long.
        Duration slackReserve { 300 }; ///< A filling task stops waiting for a better host this long before its job must
                                       ///< go on: a start takes about 100 ms, a look 450 ms.
        double mostDisturbed { 0.7 }; ///< Serving tasks that a filling task may disturb while its job can wait.
        Duration retention { 180'000 }; ///< Ended jobs are forgotten after this.
        size_t maxCommitBytes { 1'000'000 }; ///< The store takes 2 MiB in one append.
    };

    Dispatcher(JobBook& book, JournalWriter& writer, HostSender& sender, const Clock& clock,
        const CalendarClock& calendar, Counters& counters, Settings settings);
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Takes over all jobs. `formerStopped` says that the former owner renews no lease any more.
    void begin(bool formerStopped);

    /// Drops everything; another entry decides now.
    void end();

    void hostConnected(const std::string& host);
    void hostDisconnected(const std::string& host);
    void hostReported(const std::string& host, const HostReport& report);

    /// Data centres in which nothing new starts.
    void setClosedDataCentres(std::set<std::string> closed);

    /// The terms of the present configuration, by queue. Jobs of queues that are gone keep theirs.
    void setTerms(const std::map<std::string, QueueTerms>& terms);

    /// One pass: expiry of leases, placement, records, messages. Called every few tens of milliseconds.
    void pass();

    void jobAccepted(Job& job) override;
    void cancelRequested(Job& job) override;
    void hostChanged(const std::string& host) override;
    void bookReset() override;

private:
    /// An end that becomes durable with a commit.
    struct Ack {
        std::string host;
        int64_t life;
        uint64_t number;
    };

    /// A run whose order goes out once it is durable.
    struct Start {
        std::string host;
        TaskId task;
        uint32_t attempt;
    };

    /// What becomes true when a commit is durable.
    struct Commit {
        std::vector<std::pair<std::string, JobPhase>> jobs;
        std::vector<Ack> acks;
        std::vector<Start> starts;
    };

    void adoptRuns(Job& job);
    void markDirty(Job& job) { m_dirty.insert(job.id()); }

    // Reports.
    void lifeChanged(HostView& host, const HostReport& report);
    void applyRefusal(HostView& host, const RunRefusal& refusal);
    void applyEnd(HostView& host, const RunEnd& end);
    void taskEnded(Job& job, TaskState& task, const TaskId& id, const RunEnd& end, HostView& host);
    void taskFailed(Job& job, TaskState& task, const TaskId& id, HostView& host);
    void reconcile(HostView& host, const HostReport& report);
    void noteRunning(HostView& host, const RunReport& row);
    PlacementView placementView() const;
    void runLost(HostView& host, const std::string& task, std::string_view reason);
    void loseRuns(HostView& host, std::string_view reason);
    void evacuateDraining(HostView& host);
    void learnDisturbance(HostView& host, const HostReport& report);
    void tellDisturbances(HostView& host);
    void finishIfDone(Job& job);
    void endJob(Job& job, JobPhase phase);
    void stopRuns(Job& job);
    void stopRun(HostView& host, HostRun& run);

    // Passes.
    void expireHosts();
    void place();
    const JobPlan& planOf(const Job& job);
    int lateness(Job& job, Instant now);
    FillLimits fillLimits(const Job& job, uint32_t step, Instant now);
    void placeJob(Job& job, const PlacementView& view);
    void placeStep(Job& job, uint32_t occurrence, uint32_t step, const PlacementView& view);
    bool isStepReady(const Job& job, const Occurrence& occurrence, uint32_t step) const;
    void openDueOccurrences(Job& job);
    PlacementNeeds needsOf(const Job& job, const StepState& state, const StepSpec& spec);
    void startTask(Job& job, const TaskId& id, TaskState& task, const HostView& host);
    void commit();
    void recorded(const Commit& commit);
    void order(const Start& start);
    void removeOldJobs(std::vector<JournalRecord>& records);
    void sendOrders();
    static RunOrder describe(const Job& job, const TaskId& id, const TaskState& task);

    JobBook& m_book;
    JournalWriter& m_writer;
    HostSender& m_sender;
    const Clock& m_clock;
    const CalendarClock& m_calendar;
    Counters& m_counters;
    Settings m_settings;
    HostBook m_hosts;
    InterferenceModel m_disturbance;
    DurationBook m_durations;
    std::map<std::string, JobPlan> m_plans; ///< Of open jobs, made when they are first placed.
    StartEjector m_ejector;
    std::set<std::string> m_closedDataCentres;
    std::map<std::string, QueueTerms> m_terms;
    bool m_active { false };
    std::set<std::string> m_open; ///< Jobs that have not ended.
    std::set<std::string> m_dirty; ///< Jobs whose record is behind.
    std::vector<Ack> m_acks; ///< Ends that the next commit makes durable.
    std::vector<Start> m_starts; ///< Runs that the next commit makes durable.
    std::map<std::string, Instant> m_ended; ///< Jobs that wait to be forgotten.
};

} // namespace hemlocklead::dispatch
