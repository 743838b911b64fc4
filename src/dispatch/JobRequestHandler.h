#pragma once

#include "dispatch/JobRegistry.h"

namespace hemlocklead::dispatch {

/// Result of a job request.
enum class JobRequestStatus : uint8_t {
    Done, ///< Recorded.
    NotDone, ///< Not recorded, and never will be.
    Unknown, ///< May have been recorded.
    NoSuchJob,
    NotReady, ///< This entry's view of the journal is too old to answer.
    Overloaded, ///< Not recorded, and never will be: it would end too late to be worth anything to its caller.
};

std::string_view requestStatusName(JobRequestStatus status);

/// Handles job requests: answers queries from this entry's copy of the journal and appends submissions and
/// cancellations to the journal.
///
/// Every entry accepts jobs: a job is accepted once its record is durable, whichever entry is the owner.
class JobRequestHandler {
public:
    struct Settings {
        Duration appendTimeout { 700 }; ///< For one append; allows several retries before a caller's deadline.
        Duration retryDelay { 100 }; ///< Before an unanswered append is retried.
        Duration viewCheckInterval { 20 }; ///< While a request waits until the view of the journal is up to date.
        Duration replyMargin { 250 }; ///< Left before the caller's deadline for sending the reply.
        Duration storeTimeout { 1600 }; ///< With an older view the store counts as unreachable: reads wait at most 1 s.
        /// How long an append that may be recorded can still become visible: the store holds one for up to 2 s in its
        /// queue, and a view is up to 1.6 s old.
        Duration unsettledTime { 5000 };
        bool admissionByBacklog { false }; ///< Rejects jobs by the load that the owner publishes.
        Duration maxViewAge { 2500 }; ///< An older view cannot prove that a job does not exist.
    };

    JobRequestHandler(JobRegistry& registry, JournalFollower& follower, JournalService& journal, Timers& timers,
        const Clock& clock, Counters& counters, Settings settings);
    JobRequestHandler(const JobRequestHandler&) = delete;
    JobRequestHandler& operator=(const JobRequestHandler&) = delete;

    using Callback = std::function<void(JobRequestStatus)>;

    /// Records the job, or reports `NotDone` immediately while the store is unreachable, or `Overloaded` if the job
    /// would be of no use by the published load. A job that was already accepted under the same id is left unchanged.
    void submit(const std::string& id, const QueuePolicy& policy, const JobSpec& spec, Instant deadline, Callback done);

    /// After which time a request about the job that was answered with `status` makes sense again; always 1 s without
    /// `admissionByBacklog`.
    std::chrono::seconds retryAfter(const std::string& id, const std::string& queue, JobRequestStatus status) const;

    /// Records the cancellation of the job. Another entry may have accepted a job just before, so `NoSuchJob` is
    /// reported only once this entry has read all that was recorded when the request arrived.
    void cancel(const std::string& id, Instant deadline, Callback done);

    /// Writes the job's phase to `out`, or returns why it is not known.
    JobRequestStatus phase(const std::string& id, JobPhase& out);

    /// Writes the number of queued jobs of the queue to `out`.
    JobRequestStatus pending(const std::string& queue, int64_t& out);

    /// Whether this entry's view of the journal is recent enough to answer queries.
    bool isReady() const;

private:
    struct Append {
        JournalRecord record;
        Instant deadline;
        Callback done;
        bool mayBeRecorded { false };
    };

    bool isStoreUnreachable() const;
    Duration viewAge() const { return m_clock.now() - m_follower.freshAsOf(); }
    overload::AdmissionDecision admissionOf(const QueuePolicy& policy, const JobSpec& spec) const;
    bool isRejected(const std::string& id, const QueuePolicy& policy, const JobSpec& spec);
    Duration outageAge() const; ///< At least how long the store has been away, as far as reads show; 0 if it is not.
    std::optional<overload::QueueLoad> loadOf(const std::string& queue) const;
    void cancelOnceKnown(const std::string& id, Instant receivedAt, Instant deadline, Callback done);
    void send(const std::shared_ptr<Append>& append);
    void answered(const std::shared_ptr<Append>& append, AppendStatus status);

    JobRegistry& m_registry;
    JournalFollower& m_follower;
    JournalService& m_journal;
    Timers& m_timers;
    const Clock& m_clock;
    Counters& m_counters;
    Settings m_settings;
    /// Until when the record of a job whose append is in progress or has been answered may still become visible.
    std::map<std::string, Instant> m_unsettled;
    std::map<std::string, Instant> m_accepted; ///< When jobs were recorded that have not been read back yet.
};

} // namespace hemlocklead::dispatch
