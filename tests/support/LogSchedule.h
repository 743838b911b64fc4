#pragma once

#include "coordination/ShardFold.h"
#include "support/MemoryLog.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace hemlocklead {

/// Folds every batch that the log ever stored, trimmed ones too, with rules of its own for repeats, epochs and open
/// attempts, and records which tagged records took effect.
class ReferenceReader {
public:
    struct Folded {
        int count { 0 };
        uint64_t offset { 0 };
        FoldResult result { FoldResult::Unknown };
    };

    void read(const std::string& text)
    {
        const Json batch = Json::parse(text);
        const bool isNew = m_seen.emplace(batch["producer"], batch["sequence"]).second;
        for (const Json& record : batch["records"]) {
            if (isNew)
                readRecord(record);
        }
        m_state.advanceTo(++m_offset);
    }

    const ShardState& state() const { return m_state; }

    Folded tagged(uint64_t tag) const
    {
        const auto found = m_tags.find(tag);
        return found == m_tags.end() ? Folded {} : found->second;
    }

private:
    void readRecord(const Json& record)
    {
        Folded& folded = m_tags[record["tag"]];
        ++folded.count;
        folded.offset = m_offset;
        folded.result = m_state.fold(m_offset, record);
        if (folded.result == FoldResult::Applied)
            checkApplied(record);
    }

    void checkApplied(const Json& record)
    {
        const std::string kind = record["kind"];
        if (kind == "claim") {
            EXPECT_EQ(record["epoch"], ++m_epoch);
            return;
        }
        EXPECT_EQ(record["epoch"], m_epoch) << "a stale epoch took effect: " << record;
        bool isAllowed = true;
        if (kind == "accepted")
            isAllowed = m_jobs.insert(record["job"]).second;
        if (kind == "forgotten")
            isAllowed = m_jobs.erase(record["job"]) == 1;
        if (kind == "assigned")
            isAllowed = m_open.emplace(record["job"], record["index"]).second;
        if (kind == "ended")
            isAllowed = m_open.erase({ record["job"], record["index"] }) == 1;
        EXPECT_TRUE(isAllowed) << "took effect twice, or beside an open attempt: " << record;
    }

    ShardState m_state;
    uint64_t m_offset { 0 };
    uint64_t m_epoch { 0 };
    std::set<std::pair<std::string, uint64_t>> m_seen;
    std::set<std::string> m_jobs;
    std::set<std::pair<std::string, uint32_t>> m_open;
    std::map<uint64_t, Folded> m_tags;
};

/// One process with a stream of the shard log.
class LogNode {
public:
    LogNode(LogStore& store, const Clock& clock, std::string name)
        : m_name(std::move(name))
        , m_clock(clock)
        , m_log(store)
    {
        start();
    }

    /// Starts a new process in place of the old one, without its memory.
    void start()
    {
        m_stream.reset();
        m_fold = ShardFold();
        m_lastOffset = 0;
        m_epoch = 0;
        LogStream::Settings settings;
        settings.name = "shard-0";
        settings.pollInterval = Duration { 100 };
        settings.retryDelay = Duration { 30 };
        settings.refuseAfter = Duration { 400 };
        settings.maxBatchRecords = 4;
        m_stream = std::make_unique<LogStream>(settings, m_log, m_clock, m_fold, m_counters);
    }

    /// Appends a record, notes its verdict under its tag and, for a claim that wins, the epoch.
    void append(const Json& record, std::map<uint64_t, RecordVerdict>& verdicts)
    {
        m_stream->append(record, [this, &verdicts, record](const RecordVerdict& verdict) {
            EXPECT_TRUE(verdicts.emplace(record["tag"], verdict).second) << "two verdicts: " << record;
            EXPECT_TRUE(!verdict.stored || verdict.offset < m_fold.nextOffset()) << "verdict before the fold";
            if (verdict.stored && verdict.result == FoldResult::Applied && record["kind"] == "claim")
                m_epoch = record["epoch"];
        });
    }

    void checkOffset()
    {
        EXPECT_GE(m_fold.nextOffset(), m_lastOffset) << m_name << " went back";
        m_lastOffset = m_fold.nextOffset();
    }

    const std::string& name() const { return m_name; }
    const ShardState& state() const { return m_fold.state(); }
    LogStream& stream() { return *m_stream; }
    MemoryLog& log() { return m_log; }
    const Counters& counters() const { return m_counters; }
    uint64_t epoch() const { return m_epoch; }

private:
    std::string m_name;
    const Clock& m_clock;
    MemoryLog m_log;
    ShardFold m_fold;
    Counters m_counters;
    std::unique_ptr<LogStream> m_stream;
    uint64_t m_lastOffset { 0 };
    uint64_t m_epoch { 0 };
};

/// Random order of appends, faults, repeats, trimming, snapshots and restarts on three processes; `run` then lets the
/// log recover and checks what they hold.
class LogSchedule {
public:
    explicit LogSchedule(uint64_t seed)
        : m_random(seed)
    {
        for (const char* name : { "entry-a", "entry-b", "entry-c" })
            m_nodes.push_back(std::make_unique<LogNode>(m_store, m_clock, name));
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            oneStep();
            for (const auto& node : m_nodes)
                node->checkOffset();
        }
        settle();
        check();
    }

private:
    using Fault = MemoryLog::Fault;

    uint64_t pick(uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(m_random); }
    LogNode& anyNode() { return *m_nodes[pick(m_nodes.size())]; }

    Fault anyFault()
    {
        const Fault faults[] = { Fault::Refused, Fault::Lost, Fault::LoseAnswer, Fault::LateCopy };
        return pick(100) < 75 ? Fault::None : faults[pick(4)];
    }

    void oneStep()
    {
        LogNode& node = anyNode();
        const uint64_t choice = pick(100);
        if (choice < 35)
            answerOne(node);
        else if (choice < 60)
            node.stream().tick();
        else if (choice < 72)
            m_clock.advance(Duration { 1 + pick(40) });
        else if (choice < 92)
            appendAny(node);
        else if (choice < 94)
            m_nodes[pick(3)]->log().landLate();
        else if (choice < 96)
            node.stream().writeSnapshot([](bool) {});
        else if (choice < 98)
            trim();
        else if (choice < 99)
            restart(node);
        else
            node.stream().pollNow();
    }

    /// A process without an epoch of its own seldom claims, so that owners last long enough to run jobs.
    void appendAny(LogNode& node)
    {
        if (node.epoch() == 0 && pick(12) > 0)
            return;
        Json record = anyRecord(node);
        record["tag"] = ++m_tag;
        node.append(record, m_verdicts);
    }

    void answerOne(LogNode& node)
    {
        if (node.log().pending() > 0)
            node.log().runOne(pick(node.log().pending()), anyFault());
    }

    void restart(LogNode& node)
    {
        const Json peerState = anyNode().stream().snapshot();
        node.start();
        while (node.log().pending() > 0)
            answerOne(node);
        if (pick(3) == 0 && !peerState.is_null())
            node.stream().adopt(peerState);
    }

    /// Trims what the snapshot with the highest offset holds, and the snapshots before it.
    void trim()
    {
        collect();
        const LogPage snapshots = m_store.read("shard-0-snapshots", 0, 1000);
        uint64_t through = 0;
        uint64_t best = 0;
        for (const LogRecord& record : snapshots.records) {
            const uint64_t candidate = Json::parse(record.data)["through"];
            if (candidate < through)
                continue;
            through = candidate;
            best = record.offset;
        }
        if (snapshots.records.empty())
            return;
        m_store.trim("shard-0", through + 1);
        m_store.trim("shard-0-snapshots", best);
    }

    Json anyRecord(const LogNode& node)
    {
        const auto& jobs = node.state().jobs();
        const uint64_t choice = pick(20);
        if ((choice == 0 && pick(4) == 0) || node.epoch() == 0)
            return claimRecord({ node.state().claim().epoch + 1, node.name(), "127.0.0.1:1" });
        if (choice == 1 && pick(4) == 0)
            return releaseRecord(node.epoch());
        if (choice < 5 || jobs.empty())
            return anyAccepted(node.epoch());
        const auto job = std::next(jobs.begin(), static_cast<ptrdiff_t>(pick(jobs.size())));
        if (choice == 5)
            return pick(2) ? cancelledRecord(node.epoch(), job->first, 1) : forgottenRecord(node.epoch(), job->first);
        return anyAttemptRecord(node.epoch(), job->second);
    }

    Json anyAccepted(uint64_t epoch)
    {
        JobSpec spec;
        spec.id = "job-" + std::to_string(pick(40));
        spec.tasks = static_cast<uint32_t>(1 + pick(3));
        return acceptedRecord(epoch, spec);
    }

    Json anyAttemptRecord(uint64_t epoch, const JobState& job)
    {
        const auto index = static_cast<uint32_t>(pick(job.tasks.size()));
        const TaskState& task = job.tasks[index];
        const EndReason reasons[] = { EndReason::Finished, EndReason::Failed, EndReason::Evicted, EndReason::Lost };
        AttemptKey key { job.spec.id, index, task.lastAttempt };
        if (task.open && pick(4) > 0) {
            return pick(3) == 0 ? checkpointRecord(epoch, key, "token-" + std::to_string(m_tag))
                                : endedRecord(epoch, key, reasons[pick(4)], "", "", 1);
        }
        key.attempt = task.lastAttempt + 1;
        return assignedRecord(epoch, key, "host-" + std::to_string(pick(9)));
    }

    /// Feeds the reference with what was stored since the last call.
    void collect()
    {
        const LogPage page = m_store.read("shard-0", m_collected, 100'000);
        for (const LogRecord& record : page.records)
            m_reference.read(record.data);
        m_collected = page.end;
    }

    void settle()
    {
        m_nodes.push_back(std::make_unique<LogNode>(m_store, m_clock, "fresh"));
        for (const auto& node : m_nodes)
            node->log().landLate();
        for (int round = 0; round < 100; ++round) {
            m_clock.advance(Duration { 25 });
            for (const auto& node : m_nodes) {
                node->log().run();
                node->stream().tick();
                node->checkOffset();
            }
        }
    }

    void check()
    {
        collect();
        for (const auto& node : m_nodes) {
            EXPECT_TRUE(node->stream().isCaughtUp()) << node->name();
            EXPECT_EQ(node->stream().pendingAppends(), 0U) << node->name();
            EXPECT_TRUE(node->state() == m_reference.state()) << node->name() << " folded another state";
        }
        for (const auto& [tag, verdict] : m_verdicts)
            checkVerdict(tag, verdict);
    }

    void checkVerdict(uint64_t tag, const RecordVerdict& verdict)
    {
        const ReferenceReader::Folded folded = m_reference.tagged(tag);
        EXPECT_EQ(folded.count, verdict.stored ? 1 : 0) << "lost, doubled or wrongly refused: tag " << tag;
        if (!verdict.stored || verdict.result == FoldResult::Unknown)
            return;
        EXPECT_EQ(folded.result, verdict.result) << tag;
        EXPECT_EQ(folded.offset, verdict.offset) << tag;
    }

    std::mt19937_64 m_random;
    ManualClock m_clock;
    LogStore m_store;
    std::vector<std::unique_ptr<LogNode>> m_nodes;
    ReferenceReader m_reference;
    std::map<uint64_t, RecordVerdict> m_verdicts;
    uint64_t m_collected { 0 };
    uint64_t m_tag { 0 };
};

} // namespace hemlocklead
