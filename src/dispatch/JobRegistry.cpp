#include "dispatch/JobRegistry.h"

#include "base/Log.h"
#include "learning/LearnedState.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    constexpr std::string_view jobPrefix = "job/";
    constexpr std::string_view statePrefix = "state/";
    constexpr std::string_view cancelPrefix = "cancel/";
    constexpr std::string_view hostPrefix = "host/";
    constexpr std::string_view entryPrefix = "entry/";

    /// Reads a time of a load record in milliseconds, at most a day, so that sums with it stay in range.
    Duration loadTime(const Json& value)
    {
        constexpr int64_t maxMs = 24 * 3600 * 1000;
        const int64_t milliseconds = value.is_number_integer() ? value.get<int64_t>() : -1;
        if (milliseconds < 0 || milliseconds > maxMs)
            throw Json::other_error::create(501, "not a time of at most a day", &value);
        return Duration { milliseconds };
    }

} // namespace

std::string jobKey(const std::string& id) { return std::string(jobPrefix) + id; }
std::string stateKey(const std::string& id) { return std::string(statePrefix) + id; }
std::string cancelKey(const std::string& id) { return std::string(cancelPrefix) + id; }
std::string hostKey(const std::string& host) { return std::string(hostPrefix) + host; }
std::string entryKey(const std::string& entry) { return std::string(entryPrefix) + entry; }

std::string jobValue(const QueuePolicy& policy, const JobSpec& spec)
{
    return jsonText({ { "terms", policy }, { "spec", spec } });
}

std::string ownerValue(const OwnerRecord& owner)
{
    return jsonText({ { "epoch", owner.epoch }, { "entry", owner.entry }, { "incarnation", owner.incarnation },
        { "released", owner.released }, { "lists_leases", owner.listsLeases } });
}

std::string leasesValue(uint64_t epoch, const std::map<std::string, Duration>& remaining)
{
    Json hosts = Json::object();
    for (const auto& [host, time] : remaining)
        hosts[host] = time.count();
    return jsonText({ { "epoch", epoch }, { "hosts", std::move(hosts) } });
}

std::string loadValue(const LoadRecord& load)
{
    Json queues = Json::object();
    for (const auto& [queue, times] : load.queues)
        queues[queue] = { { "wait_ms", times.wait.count() }, { "drain_ms", times.drain.count() } };
    return jsonText({ { "epoch", load.epoch }, { "queues", std::move(queues) } });
}

std::string candidateValue(const Candidacy& candidacy)
{
    return jsonText({ { "former_epoch", candidacy.formerEpoch }, { "entry", candidacy.entry },
        { "incarnation", candidacy.incarnation } });
}

std::string hostValue(const HostMember& host)
{
    return jsonText({ { "address", host.address }, { "incarnation", host.incarnation } });
}

std::string entryValue(const EntryMember& entry)
{
    return jsonText({ { "incarnation", entry.incarnation }, { "processor_share", entry.processorShare },
        { "record_format", entry.recordFormat } });
}

JobRegistry::JobRegistry(const Clock& clock, Counters& counters)
    : m_clock(clock)
    , m_counters(counters)
{
}

const std::vector<JobRegistry::RecordKind>& JobRegistry::recordKinds()
{
    static const std::vector<RecordKind> recordKinds {
        { jobPrefix, &JobRegistry::applyJob },
        { statePrefix, &JobRegistry::applyState },
        { cancelPrefix, &JobRegistry::applyCancel },
        { ownerKey, &JobRegistry::applyOwner },
        { leasesKey, &JobRegistry::applyLeases },
        { loadKey, &JobRegistry::applyLoad },
        { candidateKey, &JobRegistry::applyCandidate },
        { hostPrefix, &JobRegistry::applyHost },
        { entryPrefix, &JobRegistry::applyEntry },
    };
    return recordKinds;
}

void JobRegistry::reset()
{
    m_jobs.clear();
    m_unmatchedStates.clear();
    m_packedStates.clear();
    m_unmatchedCancels.clear();
    m_entries.clear();
    m_hosts.clear();
    m_owner = {};
    m_formerEpoch = 0;
    m_formerOwnerSeenAt.reset();
    m_leaseList.reset();
    m_learnedRecord.reset();
    m_caughtUp = false;
    m_load.reset();
    m_candidacies.clear();
    if (m_listener)
        m_listener->registryReset();
}

void JobRegistry::apply(const JournalRecord& record)
{
    if (!record.value)
        return applyRemoval(record.key);
    if (record.key == learnedKey)
        return applyLearned(record);
    for (const RecordKind& kind : recordKinds()) {
        if (!record.key.starts_with(kind.prefix))
            continue;
        if (kind.prefix == statePrefix && isPackedRecord(*record.value))
            return applyPackedState(record.key.substr(statePrefix.size()), record);
        const Json value = Json::parse(*record.value, nullptr, false);
        try {
            if (!value.is_object())
                throw Json::other_error::create(501, "not an object", &value);
            (this->*kind.apply)(record.key.substr(kind.prefix.size()), record, value);
        } catch (const Json::exception& error) {
            skip(record, error.what());
        }
        return;
    }
    m_counters.add("journal_records_skipped");
}

void JobRegistry::skip(const JournalRecord& record, std::string_view reason)
{
    m_counters.add("journal_records_skipped");
    LogEvent(LogLevel::Warning, "journal_record_skipped")
        .field("key", record.key)
        .field("offset", record.offset)
        .field("reason", reason);
}

void JobRegistry::applyJob(const std::string& id, const JournalRecord& record, const Json& value)
{
    // Submissions are idempotent: a second record of the same job has no effect.
    if (m_jobs.contains(id))
        return;
    auto spec = value.at("spec").get<JobSpec>();
    const std::string problem = validationError(spec);
    if (!problem.empty())
        throw Json::other_error::create(501, problem, &value);
    auto job = std::make_unique<Job>(
        id, value.at("terms").get<QueuePolicy>(), std::move(spec), record.offset, m_clock.now());
    Job& added = *m_jobs.emplace(id, std::move(job)).first->second;
    if (const auto unmatched = m_unmatchedStates.extract(id); !unmatched.empty()) {
        added.applyRecord(unmatched.mapped());
        added.publishCurrentPhase();
    }
    if (const auto packed = m_packedStates.find(id); packed != m_packedStates.end()) {
        if (const std::optional<PackedRecordHeader> header = packedRecordHeader(packed->second))
            adoptPackedState(added, header->phase);
    }
    const bool cancelled = m_unmatchedCancels.erase(id) > 0;
    if (m_listener)
        m_listener->jobAccepted(added);
    if (cancelled)
        cancel(added);
}

void JobRegistry::applyState(const std::string& id, const JournalRecord&, const Json& value)
{
    m_ownerSeenAt = m_clock.now();
    if (m_ownEpoch && value.value("epoch", uint64_t { 0 }) == *m_ownEpoch)
        return;
    m_packedStates.erase(id);
    Job* job = find(id);
    if (!job) {
        m_unmatchedStates.insert_or_assign(id, value);
        return;
    }
    job->applyRecord(value);
    job->publishCurrentPhase();
}

void JobRegistry::applyPackedState(const std::string& id, const JournalRecord& record)
{
    m_ownerSeenAt = m_clock.now();
    const std::optional<PackedRecordHeader> header = packedRecordHeader(*record.value);
    if (!header)
        return skip(record, "malformed packed record");
    if (m_ownEpoch && header->epoch == *m_ownEpoch)
        return;
    m_unmatchedStates.erase(id);
    m_packedStates.insert_or_assign(id, *record.value);
    if (Job* job = find(id))
        adoptPackedState(*job, header->phase);
}

void JobRegistry::adoptPackedState(Job& job, JobPhase phase)
{
    job.setPhase(phase);
    job.publishCurrentPhase();
    if (m_ownEpoch)
        decodeState(job);
}

void JobRegistry::decodeState(Job& job)
{
    const auto packed = m_packedStates.extract(job.id());
    if (packed.empty())
        return;
    if (!applyPackedRecord(job, packed.mapped()))
        return skip({ stateKey(job.id()), std::nullopt, 0 }, "malformed packed record");
    job.publishCurrentPhase();
}

void JobRegistry::setOwnEpoch(std::optional<uint64_t> epoch)
{
    m_ownEpoch = epoch;
    if (!epoch)
        return;
    for (const auto& [id, job] : m_jobs)
        decodeState(*job);
}

RecordFormat JobRegistry::recordFormat() const
{
    const bool allReadPacked = std::ranges::all_of(
        m_entries, [](const auto& entry) { return entry.second.recordFormat >= recordFormatVersion; });
    return allReadPacked ? RecordFormat::Packed : RecordFormat::Json;
}

void JobRegistry::applyCancel(const std::string& id, const JournalRecord&, const Json&)
{
    if (Job* job = find(id))
        cancel(*job);
    else
        m_unmatchedCancels.insert(id);
}

void JobRegistry::cancel(Job& job)
{
    if (job.isCancelRequested())
        return;
    job.requestCancel();
    if (m_listener)
        m_listener->cancelRequested(job);
}

void JobRegistry::applyOwner(const std::string&, const JournalRecord&, const Json& value)
{
    OwnerRecord owner { value.at("epoch").get<uint64_t>(), value.at("entry").get<std::string>(),
        value.value("incarnation", uint64_t { 0 }), value.value("released", false),
        value.value("lists_leases", false) };
    if (owner.epoch < m_owner.epoch)
        return;
    if (owner.epoch != m_owner.epoch) {
        m_load.reset();
        m_candidacies.clear();
        m_formerEpoch = m_owner.epoch;
        m_formerOwnerSeenAt = m_owner.epoch == 0 ? std::nullopt : std::optional(m_ownerSeenAt);
    }
    m_ownerSeenAt = m_clock.now();
    if (!owner.listsLeases)
        m_leaseList.reset();
    m_owner = std::move(owner);
}

void JobRegistry::applyLeases(const std::string&, const JournalRecord&, const Json& value)
{
    const Instant now = m_clock.now();
    m_ownerSeenAt = now;
    LeaseList list { value.at("epoch").get<uint64_t>(), {} };
    for (const auto& [host, remainingMs] : value.at("hosts").items())
        list.ends.emplace(host, now + Duration { remainingMs.get<int64_t>() });
    m_leaseList = std::move(list);
}

void JobRegistry::applyLearned(const JournalRecord& record)
{
    const std::optional<uint64_t> epoch = learning::encodedEpoch(*record.value);
    if (!epoch || record.value->size() > learning::maxEncodedBytes)
        return skip(record, epoch ? "too large" : "malformed header");
    if (m_learnedRecord && *epoch < m_learnedRecord->epoch)
        return skip(record, "older epoch");
    m_ownerSeenAt = m_clock.now();
    m_learnedRecord = { *epoch, *record.value, m_ownerSeenAt };
}

void JobRegistry::applyLoad(const std::string&, const JournalRecord&, const Json& value)
{
    const Instant now = m_clock.now();
    LoadRecord load { value.at("epoch").get<uint64_t>(), {}, now };
    for (const auto& [queue, times] : value.at("queues").items())
        load.queues[queue] = { loadTime(times.at("wait_ms")), loadTime(times.at("drain_ms")) };
    if (load.epoch != m_owner.epoch)
        return;
    m_ownerSeenAt = now;
    if (m_caughtUp)
        m_load = std::move(load);
}

void JobRegistry::applyCandidate(const std::string&, const JournalRecord&, const Json& value)
{
    Candidacy candidacy { value.at("former_epoch").get<uint64_t>(), value.at("entry").get<std::string>(),
        value.at("incarnation").get<uint64_t>(), m_clock.now() };
    if (candidacy.formerEpoch == m_owner.epoch)
        m_candidacies.push_back(std::move(candidacy));
}

std::optional<Candidacy> JobRegistry::candidacy(Duration validity) const
{
    const Instant now = m_clock.now();
    const auto first = std::ranges::find_if(
        m_candidacies, [&](const Candidacy& candidacy) { return now - candidacy.seenAt < validity; });
    return first == m_candidacies.end() ? std::nullopt : std::optional(*first);
}

void JobRegistry::applyHost(const std::string& name, const JournalRecord&, const Json& value)
{
    m_hosts[name] = { value.at("address").get<std::string>(), value.value("incarnation", uint64_t { 0 }) };
    if (m_listener)
        m_listener->hostChanged(name);
}

void JobRegistry::applyEntry(const std::string& name, const JournalRecord&, const Json& value)
{
    m_entries[name] = { value.value("incarnation", uint64_t { 0 }), value.value("processor_share", 0.0),
        value.value("record_format", 0u) };
}

void JobRegistry::applyRemoval(const std::string& key)
{
    if (key == learnedKey)
        m_learnedRecord.reset();
    if (key.starts_with(jobPrefix))
        erase(key.substr(jobPrefix.size()));
    if (key.starts_with(hostPrefix)) {
        const std::string name = key.substr(hostPrefix.size());
        m_hosts.erase(name);
        if (m_listener)
            m_listener->hostChanged(name);
    }
    if (key.starts_with(entryPrefix))
        m_entries.erase(key.substr(entryPrefix.size()));
}

Job* JobRegistry::find(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

void JobRegistry::erase(const std::string& id)
{
    m_jobs.erase(id);
    m_packedStates.erase(id);
}

int64_t JobRegistry::pending(const std::string& queue) const
{
    int64_t count = 0;
    for (const auto& [id, job] : m_jobs)
        count += job->publishedPhase() == JobPhase::Queued && job->policy().queue == queue;
    return count;
}

} // namespace hemlocklead::dispatch
