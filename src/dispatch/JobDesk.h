#pragma once

#include "dispatch/JobBook.h"

namespace hemlocklead::dispatch {

/// What a caller of the job interface is told.
enum class DeskAnswer : uint8_t {
    Done, ///< Recorded.
    NotDone, ///< Not recorded, and it never will be.
    Unknown, ///< It may have been recorded.
    NoSuchJob,
    NotReady, ///< This entry's view of the jobs is too old to tell.
};

std::string_view answerName(DeskAnswer answer);

/// Serves callers of jobs from this entry's copy of the journal and records what they hand in.
///
/// Any entry accepts: a job is accepted once its record is durable, whoever owns the jobs at that time.
class JobDesk {
public:
    struct Settings {
        Duration appendTimeout { 700 }; ///< For one answer; several tries fit in a caller's time.
        Duration retry { 100 };
        Duration reserve { 250 }; ///< Kept of the caller's time for the answer's way back.
        Duration storeSilence { 1600 }; ///< A view older than this means that the store does not answer: reads wait for
                                        ///< at most 1 s.
        Duration viewAge { 2500 }; ///< An older view does not tell whether a job exists.
    };

    JobDesk(JobBook& book, JournalFollower& follower, JournalService& journal, Timers& delays, const Clock& clock,
        Counters& counters, Settings settings);
    JobDesk(const JobDesk&) = delete;
    JobDesk& operator=(const JobDesk&) = delete;

    using Callback = std::function<void(DeskAnswer)>;

    /// Accepts a job, or refuses it at once while the store does not answer. A job of the same id that was accepted
    /// before stays as it is.
    void submit(const std::string& id, const QueueTerms& terms, const JobSpec& spec, Instant deadline, Callback done);

    /// Records that the job is cancelled.
    void cancel(const std::string& id, Instant deadline, Callback done);

    /// The job's phase, or why it cannot be told.
    DeskAnswer phase(const std::string& id, JobPhase& out);

    /// Number of accepted jobs of the queue that have not begun.
    DeskAnswer pending(const std::string& queue, int64_t& out);

    /// Whether this entry's view is recent.
    bool isReady() const;

private:
    struct Append {
        JournalRecord record;
        Instant deadline;
        Callback done;
        bool mayBeRecorded { false };
    };

    bool isStoreAway() const;
    void send(const std::shared_ptr<Append>& append);
    void answered(const std::shared_ptr<Append>& append, AppendStatus status);

    JobBook& m_book;
    JournalFollower& m_follower;
    JournalService& m_journal;
    Timers& m_delays;
    const Clock& m_clock;
    Counters& m_counters;
    Settings m_settings;
    std::map<std::string, Instant> m_accepted; ///< Jobs that were recorded and have not been read back yet.
};

} // namespace hemlocklead::dispatch
