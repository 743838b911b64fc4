#pragma once

#include "base/Counters.h"
#include "dispatch/JobState.h"
#include "dispatch/JournalFollower.h"

#include <map>
#include <memory>
#include <set>

namespace hemlocklead::dispatch {

/// The entry that decides for all jobs, as the journal's newest `owner` record names it.
struct OwnerRecord {
    uint64_t epoch { 0 };
    std::string entry;
    uint64_t incarnation { 0 }; ///< Of the entry's process.
    bool released { false }; ///< The owner has stopped and gives nothing more out.
};

/// An entry process that may own the jobs.
struct EntryMember {
    uint64_t incarnation { 0 };
    double processorShare { 0 }; ///< Of a core; stronger entries claim first.
};

/// An agent and where the owner reaches it.
struct HostMember {
    std::string address;
    uint64_t incarnation { 0 };
};

/// What the owner's decisions follow, beside the fold itself.
class JobRegistryListener {
public:
    virtual ~JobRegistryListener() = default;
    virtual void jobAccepted(Job& job) = 0;
    virtual void cancelRequested(Job& job) = 0;
    virtual void hostChanged(const std::string& host) = 0;
    virtual void registryReset() = 0;
};

/// Fold of the journal: all jobs with their progress, the members and the owner. Every entry keeps one.
///
/// Records of other writers that cannot be read are skipped and counted.
class JobRegistry final : public JournalReader {
public:
    JobRegistry(const Clock& clock, Counters& counters);

    void setListener(JobRegistryListener* listener) { m_listener = listener; }

    void reset() override;
    void apply(const JournalRecord& record) override;
    void caughtUp() override { }

    /// While this process owns the jobs its own records are not applied: its memory is ahead of them.
    void setOwnEpoch(std::optional<uint64_t> epoch) { m_ownEpoch = epoch; }

    Job* find(const std::string& id);
    std::map<std::string, std::unique_ptr<Job>>& jobs() { return m_jobs; }
    const OwnerRecord& owner() const { return m_owner; }

    /// When the last record of the owner was applied.
    Instant ownerSeenAt() const { return m_ownerSeenAt; }

    const std::map<std::string, EntryMember>& entries() const { return m_entries; }
    const std::map<std::string, HostMember>& hosts() const { return m_hosts; }

    /// Accepted jobs of the queue of which no task has started.
    int64_t pending(const std::string& queue) const;

    /// Forgets a job; its records are removed by the caller.
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
    void applyHost(const std::string& name, const JournalRecord& record, const Json& value);
    void applyEntry(const std::string& name, const JournalRecord& record, const Json& value);
    void applyRemoval(const std::string& key);
    void cancel(Job& job);

    const Clock& m_clock;
    Counters& m_counters;
    JobRegistryListener* m_listener { nullptr };
    std::optional<uint64_t> m_ownEpoch;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<std::string, Json> m_unmatchedStates; ///< Progress of jobs whose own record comes later in the pages.
    std::set<std::string> m_unmatchedCancels;
    OwnerRecord m_owner;
    Instant m_ownerSeenAt {};
    std::map<std::string, EntryMember> m_entries;
    std::map<std::string, HostMember> m_hosts;
};

/// Keys of the journal's records.
std::string jobKey(const std::string& id);
std::string stateKey(const std::string& id);
std::string cancelKey(const std::string& id);
std::string hostKey(const std::string& host);
std::string entryKey(const std::string& entry);
constexpr std::string_view ownerKey = "owner/";

/// Values of the journal's records.
std::string jobValue(const QueuePolicy& policy, const JobSpec& spec);
std::string ownerValue(const OwnerRecord& owner);
std::string hostValue(const HostMember& host);
std::string entryValue(const EntryMember& entry);

} // namespace hemlocklead::dispatch
