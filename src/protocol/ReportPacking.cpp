#include "protocol/ReportPacking.h"

#include <algorithm>
#include <array>
#include <map>

namespace hemlocklead {

namespace {

    // Flags of a packed report.
    constexpr uint64_t drainingFlag = 1;
    constexpr uint64_t silentFlag = 2;
    constexpr uint64_t lapsedFlag = 4;
    constexpr uint64_t fullFlag = 8;
    constexpr uint64_t descriptionFlag = 16; ///< The fields that describe the host follow.
    constexpr uint64_t epochFlag = 32; ///< The epoch and the incarnation of the worker follow.
    constexpr uint64_t refusesBestEffortFlag = 128;
    constexpr uint64_t moreEndsFlag = 256;
    constexpr uint64_t fencesEpochsFlag = 512;
    constexpr uint64_t epochFencedFlag = 1024;
    constexpr uint64_t leaseInheritedFlag = 2048;
    constexpr uint64_t allEndsFlag = 64; ///< All ends follow; otherwise only those added at the end of the list.

    /// The numbers of a run that change while it runs, each with a bit in the mask of its row.
    constexpr std::array<int64_t RunReport::*, 3> runNumbers { &RunReport::percent, &RunReport::pace,
        &RunReport::tailPerMille };
    constexpr uint64_t checkpointBit = 1 << runNumbers.size();
    constexpr unsigned maskBits = runNumbers.size() + 1;

    /// Which fields of `run` differ from `last`.
    uint64_t changedFields(const RunReport& run, const RunReport& last)
    {
        uint64_t mask = run.checkpoint == last.checkpoint ? 0 : checkpointBit;
        for (size_t i = 0; i < runNumbers.size(); ++i)
            mask |= run.*runNumbers[i] == last.*runNumbers[i] ? 0 : uint64_t { 1 } << i;
        return mask;
    }

    void putFields(PackWriter& out, const RunReport& run, uint64_t mask)
    {
        for (size_t i = 0; i < runNumbers.size(); ++i) {
            if ((mask >> i & 1) != 0)
                out.putInteger(run.*runNumbers[i]);
        }
        if ((mask & checkpointBit) != 0)
            out.putText(run.checkpoint);
    }

    void takeFields(PackReader& in, RunReport& run, uint64_t mask)
    {
        for (size_t i = 0; i < runNumbers.size(); ++i) {
            if ((mask >> i & 1) != 0)
                run.*runNumbers[i] = in.takeInteger();
        }
        if ((mask & checkpointBit) != 0)
            run.checkpoint = in.takeText();
    }

    // Malformed input may contain any number, so the arithmetic must be defined for all.
    int64_t sum(int64_t a, int64_t b)
    {
        return static_cast<int64_t>(static_cast<uint64_t>(a) + static_cast<uint64_t>(b));
    }
    int64_t difference(int64_t a, int64_t b)
    {
        return static_cast<int64_t>(static_cast<uint64_t>(a) - static_cast<uint64_t>(b));
    }

    bool describeSameHost(const HostReport& a, const HostReport& b)
    {
        return a.host == b.host && a.service == b.service && a.dataCentre == b.dataCentre && a.rack == b.rack
            && a.labels == b.labels && a.capacity == b.capacity;
    }

    void putDescription(PackWriter& out, const HostReport& report)
    {
        for (const std::string& text : { report.host, report.service, report.dataCentre, report.rack })
            out.putText(text);
        out.putUnsigned(report.labels.size());
        for (const std::string& label : report.labels)
            out.putText(label);
        out.putInteger(report.capacity.cpuMilli);
        out.putInteger(report.capacity.memoryMib);
        out.putInteger(report.capacity.accelerators);
    }

    void takeDescription(PackReader& in, HostReport& report)
    {
        for (std::string* text : { &report.host, &report.service, &report.dataCentre, &report.rack })
            *text = in.takeText();
        report.labels.clear();
        for (size_t labels = in.takeCount(); labels > 0 && in.isValid(); --labels)
            report.labels.push_back(in.takeText());
        report.capacity.cpuMilli = in.takeInteger();
        report.capacity.memoryMib = in.takeInteger();
        report.capacity.accelerators = in.takeInteger();
    }

    void putRun(PackWriter& out, const std::string& task, uint32_t attempt)
    {
        out.putText(task);
        out.putUnsigned(attempt);
    }

    template <typename T> void takeRun(PackReader& in, T& run)
    {
        run.task = in.takeText();
        run.attempt = static_cast<uint32_t>(in.takeUnsigned());
    }

    void putEnd(PackWriter& out, const RunEnd& end)
    {
        out.putUnsigned(end.number);
        putRun(out, end.task, end.attempt);
        out.putText(end.reason);
        out.putText(end.checkpoint);
    }

    RunEnd takeEnd(PackReader& in)
    {
        RunEnd end;
        end.number = in.takeUnsigned();
        takeRun(in, end);
        end.reason = in.takeText();
        end.checkpoint = in.takeText();
        return end;
    }

    /// Number of ends at the front of `last` that `ends` no longer has, if `ends` otherwise continues `last`.
    std::optional<size_t> acknowledgedSince(const std::vector<RunEnd>& last, const std::vector<RunEnd>& ends)
    {
        const auto first = ends.empty() ? last.end() : std::ranges::find(last, ends.front());
        const auto kept = static_cast<size_t>(last.end() - first);
        if (kept > ends.size() || !std::equal(first, last.end(), ends.begin()))
            return std::nullopt;
        return static_cast<size_t>(first - last.begin());
    }

    using RunKey = std::pair<std::string_view, uint32_t>;

    RunKey keyOf(const RunReport& run) { return { run.task, run.attempt }; }

} // namespace

PackedHostReport HostReportPacker::pack(const HostReport& report)
{
    PackWriter out;
    uint64_t flags = (report.draining ? drainingFlag : 0) | (report.silent ? silentFlag : 0)
        | (report.lapsed ? lapsedFlag : 0) | (report.full ? fullFlag : 0)
        | (report.refusesBestEffort ? refusesBestEffortFlag : 0) | (report.hasMoreEnds ? moreEndsFlag : 0)
        | (report.fencesEpochs ? fencesEpochsFlag : 0) | (report.epochFenced ? epochFencedFlag : 0)
        | (report.leaseInherited ? leaseInheritedFlag : 0);
    if (!describeSameHost(report, m_last))
        flags |= descriptionFlag;
    if (report.epochSeen != m_last.epochSeen || report.life != m_last.life)
        flags |= epochFlag;
    const std::optional<size_t> acknowledged = acknowledgedSince(m_last.ends, report.ends);
    if (!acknowledged)
        flags |= allEndsFlag;
    out.putUnsigned(flags);
    if ((flags & descriptionFlag) != 0)
        putDescription(out, report);
    if ((flags & epochFlag) != 0) {
        out.putUnsigned(report.epochSeen);
        out.putInteger(report.life);
    }
    out.putInteger(difference(report.clockMs, m_last.clockMs));
    out.putInteger(report.remainingMs);
    out.putUnsigned(report.settledOrders);
    if (acknowledged)
        out.putUnsigned(*acknowledged);
    const size_t known = acknowledged ? m_last.ends.size() - *acknowledged : 0;
    out.putUnsigned(report.ends.size() - known);
    for (size_t i = known; i < report.ends.size(); ++i)
        putEnd(out, report.ends[i]);
    out.putUnsigned(report.refusals.size());
    for (const RunRefusal& refusal : report.refusals) {
        putRun(out, refusal.task, refusal.attempt);
        out.putText(refusal.reason);
    }
    std::vector<RunReport> runs = std::move(m_last.running);
    m_last = report;
    m_last.running = std::move(runs);
    if (report.full)
        putRuns(out, report);
    return { out.take() };
}

void HostReportPacker::putRuns(PackWriter& out, const HostReport& report)
{
    std::map<RunKey, const RunReport*> added;
    for (const RunReport& run : report.running)
        added.emplace(keyOf(run), &run);
    std::vector<size_t> removed;
    std::vector<RunReport> kept;
    PackWriter changes;
    size_t changed = 0;
    size_t nextPosition = 0;
    for (size_t i = 0; i < m_last.running.size(); ++i) {
        const auto found = added.find(keyOf(m_last.running[i]));
        if (found == added.end()) {
            removed.push_back(i);
            continue;
        }
        const RunReport& run = *found->second;
        added.erase(found);
        if (const uint64_t mask = changedFields(run, m_last.running[i]); mask != 0) {
            changes.putUnsigned((kept.size() - nextPosition) << maskBits | mask);
            putFields(changes, run, mask);
            nextPosition = kept.size() + 1;
            ++changed;
        }
        kept.push_back(run);
    }
    out.putUnsigned(removed.size());
    for (const size_t position : removed)
        out.putUnsigned(position);
    out.putUnsigned(changed);
    out.append(changes);
    out.putUnsigned(added.size());
    for (const auto& [key, run] : added) {
        putRun(out, run->task, run->attempt);
        const uint64_t mask = changedFields(*run, RunReport());
        out.putUnsigned(mask);
        putFields(out, *run, mask);
        kept.push_back(*run);
    }
    out.putUnsigned(report.pending.size());
    for (const RunReport& run : report.pending)
        putRun(out, run.task, run.attempt);
    m_last.running = std::move(kept);
}

std::optional<HostReport> HostReportUnpacker::unpack(const PackedHostReport& packed)
{
    PackReader in(packed.data);
    const uint64_t flags = in.takeUnsigned();
    m_last.draining = (flags & drainingFlag) != 0;
    m_last.silent = (flags & silentFlag) != 0;
    m_last.lapsed = (flags & lapsedFlag) != 0;
    m_last.full = (flags & fullFlag) != 0;
    m_last.refusesBestEffort = (flags & refusesBestEffortFlag) != 0;
    m_last.hasMoreEnds = (flags & moreEndsFlag) != 0;
    m_last.fencesEpochs = (flags & fencesEpochsFlag) != 0;
    m_last.epochFenced = (flags & epochFencedFlag) != 0;
    m_last.leaseInherited = (flags & leaseInheritedFlag) != 0;
    if ((flags & descriptionFlag) != 0)
        takeDescription(in, m_last);
    if ((flags & epochFlag) != 0) {
        m_last.epochSeen = in.takeUnsigned();
        m_last.life = in.takeInteger();
    }
    m_last.clockMs = sum(m_last.clockMs, in.takeInteger());
    m_last.remainingMs = in.takeInteger();
    m_last.settledOrders = in.takeUnsigned();
    takeEnds(in, (flags & allEndsFlag) != 0);
    m_last.refusals.clear();
    for (size_t refusals = in.takeCount(); refusals > 0 && in.isValid(); --refusals) {
        RunRefusal& refusal = m_last.refusals.emplace_back();
        takeRun(in, refusal);
        refusal.reason = in.takeText();
    }
    m_last.pending.clear();
    if (m_last.full)
        takeRuns(in);
    if (!in.isValid() || !in.isAtEnd())
        return std::nullopt;
    HostReport report = m_last;
    if (!report.full)
        report.running.clear();
    return report;
}

void HostReportUnpacker::takeEnds(PackReader& in, bool all)
{
    if (all) {
        m_last.ends.clear();
    } else {
        const uint64_t acknowledged = in.takeUnsigned();
        if (acknowledged > m_last.ends.size())
            return in.reject();
        m_last.ends.erase(m_last.ends.begin(), m_last.ends.begin() + static_cast<ptrdiff_t>(acknowledged));
    }
    for (size_t added = in.takeCount(); added > 0 && in.isValid(); --added)
        m_last.ends.push_back(takeEnd(in));
}

void HostReportUnpacker::takeRuns(PackReader& in)
{
    std::vector<RunReport>& runs = m_last.running;
    std::vector<bool> isRemoved(runs.size());
    for (size_t removed = in.takeCount(); removed > 0 && in.isValid(); --removed) {
        const uint64_t position = in.takeUnsigned();
        if (position >= runs.size())
            return in.reject();
        isRemoved[position] = true;
    }
    std::vector<RunReport> kept;
    for (size_t i = 0; i < runs.size(); ++i) {
        if (!isRemoved[i])
            kept.push_back(std::move(runs[i]));
    }
    runs = std::move(kept);
    size_t position = 0;
    for (size_t changed = in.takeCount(); changed > 0 && in.isValid(); --changed) {
        const uint64_t row = in.takeUnsigned();
        position += row >> maskBits;
        if (position >= runs.size())
            return in.reject();
        takeFields(in, runs[position++], row & ((uint64_t { 1 } << maskBits) - 1));
    }
    for (size_t added = in.takeCount(); added > 0 && in.isValid(); --added) {
        RunReport run;
        takeRun(in, run);
        takeFields(in, run, in.takeUnsigned());
        runs.push_back(std::move(run));
    }
    for (size_t pending = in.takeCount(); pending > 0 && in.isValid(); --pending)
        takeRun(in, m_last.pending.emplace_back());
}

} // namespace hemlocklead
