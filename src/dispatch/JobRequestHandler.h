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
        Duration maxViewAge { 2500 }; ///< An older view cannot prove that a job does not exist.
    };

    JobRequestHandler(JobRegistry& registry, JournalFollower& follower, JournalService& journal, Timers& timers,
        const Clock& clock, Counters& counters, Settings settings);
    JobRequestHandler(const JobRequestHandler&) = delete;
    JobRequestHandler& operator=(const JobRequestHandler&) = delete;

    using Callback = std::function<void(JobRequestStatus)>;

    /// Records the job, or reports `NotDone` immediately while the store is unreachable. A job that was already
    /// accepted under the same id is left unchanged.
    void submit(const std::string& id, const QueuePolicy& policy, const JobSpec& spec, Instant deadline, Callback done);

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
    std::map<std::string, Instant> m_accepted; ///< When jobs were recorded that have not been read back yet.
};

} // namespace hemlocklead::dispatch
