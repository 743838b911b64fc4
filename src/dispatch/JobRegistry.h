#pragma once

#include "base/Counters.h"
#include "dispatch/JobRecord.h"
#include "dispatch/JournalFollower.h"
#include "overload/Backlog.h"

#include <map>
#include <memory>
#include <set>

namespace hemlocklead::dispatch {

/// The entry that schedules all jobs, according to the newest `owner` record of the journal.
struct OwnerRecord {
    uint64_t epoch { 0 };
    std::string entry;
    uint64_t incarnation { 0 }; ///< Of the entry's process.
    bool released { false }; ///< The owner has given up the ownership and sends no more orders.
    bool listsLeases { true }; ///< The owner keeps a LeaseList; earlier builds do not.
};

/// Hosts whose leases no owner extends, with the end of their leases. An owner, the one that recorded the list or a
/// later one, extends the leases of a listed host only once a list without the host is recorded. So the newest list
/// holds over any number of changes of owner.
struct LeaseList {
    uint64_t epoch { 0 }; ///< Of the owner that recorded it.
    std::map<std::string, Instant> ends; ///< By host.
};

/// The load that the owner has published.
struct LoadRecord {
    uint64_t epoch { 0 }; ///< Of the owner that recorded it.
    overload::QueueLoads queues;
    Instant seenAt {}; ///< When this process read the record.
};

/// An entry process that can become the owner of the jobs.
struct EntryMember {
    uint64_t incarnation { 0 };
    double processorShare { 0 }; ///< In cores; entries with a larger share claim the ownership first.
    uint32_t recordFormat { 0 }; ///< Version of the record format that it reads; 0 in builds that do not announce it.
};

/// An entry that is about to claim the ownership, according to the `candidate` records of the journal. Of the entries
/// that want to replace one owner, the one whose record comes first may claim; the others wait.
struct Candidacy {
    uint64_t formerEpoch { 0 }; ///< Of the owner that it wants to replace.
    std::string entry;
    uint64_t incarnation { 0 }; ///< Of the entry's process.
    Instant seenAt {}; ///< When this process read the record.
};

/// The newest learned state that an owner has recorded, not decoded.
struct LearnedRecord {
    uint64_t epoch { 0 }; ///< Of the owner that recorded it.
    std::string value;
    Instant readAt {}; ///< When this process read the record.
};

/// The agent of a host, with the address at which the owner connects to it.
struct HostMember {
    std::string address;
    uint64_t incarnation { 0 };
};

/// Notified of the changes in the registry that affect scheduling.
class JobRegistryListener {
public:
    virtual ~JobRegistryListener() = default;
    virtual void jobAccepted(Job& job) = 0;
    virtual void cancelRequested(Job& job) = 0;
    virtual void hostChanged(const std::string& host) = 0;
    virtual void registryReset() = 0;
};

/// Fold of the journal: all jobs with their progress, the entries, the hosts and the owner. Every entry maintains one.
///
/// Unreadable records are skipped and counted.
class JobRegistry final : public JournalReader {
public:
    JobRegistry(const Clock& clock, Counters& counters);

    void setListener(JobRegistryListener* listener) { m_listener = listener; }

    void reset() override;
    void apply(const JournalRecord& record) override;
    void caughtUp() override { m_caughtUp = true; }

    /// State records of this epoch are not applied: the owner's state in memory is ahead of its own records.
    ///
    /// Packed records of other epochs are decoded only once this is set: until then only their phases matter, and most
    /// entries never own the jobs.
    void setOwnEpoch(std::optional<uint64_t> epoch);

    /// The newest format of records that all known entries read.
    RecordFormat recordFormat() const;

    Job* find(const std::string& id);
    std::map<std::string, std::unique_ptr<Job>>& jobs() { return m_jobs; }
    const OwnerRecord& owner() const { return m_owner; }

    /// Epoch of the owner before the current one; 0 without one.
    uint64_t formerEpoch() const { return m_formerEpoch; }

    /// When this process read the last record of an earlier owner than the current one. Empty if it has read the
    /// current owner's first record from a page, which says nothing about the order of records.
    std::optional<Instant> formerOwnerSeenAt() const { return m_formerOwnerSeenAt; }

    /// The newest list of leases; empty if the current owner may extend leases without one.
    const std::optional<LeaseList>& leaseList() const { return m_leaseList; }

    /// Only an owner decodes it; see learning::decode().
    const std::optional<LearnedRecord>& learnedRecord() const { return m_learnedRecord; }
    /// The newest load of the current owner. Empty until one has been read that is not from the first pages, which do
    /// not tell how old their records are.
    const std::optional<LoadRecord>& load() const { return m_load; }

    /// When this process last read a record written by the owner.
    Instant ownerSeenAt() const { return m_ownerSeenAt; }

    /// The candidacy that comes first for the current owner's epoch, among those read within the last `validity`.
    std::optional<Candidacy> candidacy(Duration validity) const;

    const std::map<std::string, EntryMember>& entries() const { return m_entries; }
    const std::map<std::string, HostMember>& hosts() const { return m_hosts; }

    /// Number of jobs of the queue whose published phase is `Queued`.
    int64_t pending(const std::string& queue) const;

    /// Removes a job from memory; the caller removes its records.
    void erase(const std::string& id);

private:
    using Apply = void (JobRegistry::*)(const std::string& name, const JournalRecord& record, const Json& value);

    struct RecordKind {
        std::string_view prefix;
        Apply apply;
    };

    static const std::vector<RecordKind>& recordKinds();
    void applyJob(const std::string& name, const JournalRecord& record, const Json& value);
    void applyState(const std::string& name, const JournalRecord& record, const Json& value);
    void applyCancel(const std::string& name, const JournalRecord& record, const Json& value);
    void applyOwner(const std::string& name, const JournalRecord& record, const Json& value);
    void applyLeases(const std::string& name, const JournalRecord& record, const Json& value);
    void applyLoad(const std::string& name, const JournalRecord& record, const Json& value);
    void applyCandidate(const std::string& name, const JournalRecord& record, const Json& value);
    void applyHost(const std::string& name, const JournalRecord& record, const Json& value);
    void applyEntry(const std::string& name, const JournalRecord& record, const Json& value);
    void applyLearned(const JournalRecord& record);
    void applyRemoval(const std::string& key);
    void cancel(Job& job);
    void applyPackedState(const std::string& id, const JournalRecord& record);
    void adoptPackedState(Job& job, JobPhase phase);
    void decodeState(Job& job);
    void skip(const JournalRecord& record, std::string_view reason);

    const Clock& m_clock;
    Counters& m_counters;
    JobRegistryListener* m_listener { nullptr };
    std::optional<uint64_t> m_ownEpoch;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<std::string, Json> m_unmatchedStates; ///< Progress of jobs whose job record has not been read yet.
    std::set<std::string> m_unmatchedCancels; ///< Cancellations of such jobs.

    /// Newest packed progress that has not been decoded, by job id.
    std::map<std::string, std::string> m_packedStates;
    OwnerRecord m_owner;
    uint64_t m_formerEpoch { 0 };
    std::optional<Instant> m_formerOwnerSeenAt;
    std::optional<LeaseList> m_leaseList;
    std::optional<LearnedRecord> m_learnedRecord;
    Instant m_ownerSeenAt {};
    bool m_caughtUp { false };
    std::optional<LoadRecord> m_load;
    std::vector<Candidacy> m_candidacies; ///< For the current owner's epoch, in the order of the journal.
    std::map<std::string, EntryMember> m_entries;
    std::map<std::string, HostMember> m_hosts;
};

/// Keys of journal records.
std::string jobKey(const std::string& id);
std::string stateKey(const std::string& id);
std::string cancelKey(const std::string& id);
std::string hostKey(const std::string& host);
std::string entryKey(const std::string& entry);
constexpr std::string_view ownerKey = "owner/";
constexpr std::string_view leasesKey = "leases/";
constexpr std::string_view loadKey = "load/";
constexpr std::string_view candidateKey = "candidate/";
constexpr std::string_view learnedKey = "learned/";

/// Values of journal records.
std::string jobValue(const QueuePolicy& policy, const JobSpec& spec);
std::string ownerValue(const OwnerRecord& owner);

/// `remaining` is the time until the leases of each listed host have ended.
std::string leasesValue(uint64_t epoch, const std::map<std::string, Duration>& remaining);
std::string loadValue(const LoadRecord& load);
std::string candidateValue(const Candidacy& candidacy);
std::string hostValue(const HostMember& host);
std::string entryValue(const EntryMember& entry);

} // namespace hemlocklead::dispatch
