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

/// Reference implementation that folds every batch the log ever stored, including trimmed ones. Checks repeats, epochs
/// and open attempts independently of ShardState, and keeps the fold result of each tagged record.
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
        EXPECT_EQ(record["epoch"], m_epoch) << "record of a stale epoch was applied: " << record;
        bool isAllowed = true;
        if (kind == "accepted")
            isAllowed = m_jobs.insert(record["job"]).second;
        if (kind == "forgotten")
            isAllowed = m_jobs.erase(record["job"]) == 1;
        if (kind == "assigned")
            isAllowed = m_open.emplace(record["job"], record["index"]).second;
        if (kind == "ended")
            isAllowed = m_open.erase({ record["job"], record["index"] }) == 1;
        EXPECT_TRUE(isAllowed) << "applied twice, or in conflict with an open attempt: " << record;
    }

    ShardState m_state;
    uint64_t m_offset { 0 };
    uint64_t m_epoch { 0 };
    std::set<std::pair<std::string, uint64_t>> m_seen;
    std::set<std::string> m_jobs;
    std::set<std::pair<std::string, uint32_t>> m_open;
    std::map<uint64_t, Folded> m_tags;
};

/// A process with a stream of the shard log.
class LogNode {
public:
    LogNode(LogStore& store, const Clock& clock, std::string name)
        : m_name(std::move(name))
        , m_clock(clock)
        , m_log(store)
    {
        start();
    }

    /// Replaces the process by a new one with an empty state.
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
        settings.unsentTimeout = Duration { 400 };
        settings.maxBatchRecords = 4;
        m_stream = std::make_unique<LogStream>(settings, m_log, m_clock, m_fold, m_counters);
    }

    /// Appends a record and stores its outcome by tag. If the record is a claim and is applied, stores its epoch.
    void append(const Json& record, std::map<uint64_t, RecordOutcome>& outcomes)
    {
        m_stream->append(record, [this, &outcomes, record](const RecordOutcome& outcome) {
            EXPECT_TRUE(outcomes.emplace(record["tag"], outcome).second) << "record has two outcomes: " << record;
            EXPECT_TRUE(!outcome.stored || outcome.offset < m_fold.nextOffset())
                << "outcome reported before the record was folded";
            if (outcome.stored && outcome.result == FoldResult::Applied && record["kind"] == "claim")
                m_epoch = record["epoch"];
        });
    }

    void checkOffset()
    {
        EXPECT_GE(m_fold.nextOffset(), m_lastOffset) << m_name << ": offset decreased";
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

/// Random sequence of appends, faults, repeats, trimming, snapshots and restarts on three processes. Afterwards `run`
/// ends the faults and compares the states and outcomes of the processes with the reference.
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
            runStep();
            for (const auto& node : m_nodes)
                node->checkOffset();
        }
        recover();
        check();
    }

private:
    using Fault = MemoryLog::Fault;

    uint64_t randomBelow(uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(m_random); }
    LogNode& randomNode() { return *m_nodes[randomBelow(m_nodes.size())]; }

    Fault randomFault()
    {
        const Fault faults[] = { Fault::Refused, Fault::Lost, Fault::LoseAnswer, Fault::LateCopy };
        return randomBelow(100) < 75 ? Fault::None : faults[randomBelow(4)];
    }

    void runStep()
    {
        LogNode& node = randomNode();
        const uint64_t choice = randomBelow(100);
        if (choice < 35)
            runOneOperation(node);
        else if (choice < 60)
            node.stream().tick();
        else if (choice < 72)
            m_clock.advance(Duration { 1 + randomBelow(40) });
        else if (choice < 92)
            appendRandomRecord(node);
        else if (choice < 94)
            m_nodes[randomBelow(3)]->log().storeLateCopies();
        else if (choice < 96)
            node.stream().writeSnapshot([](bool) {});
        else if (choice < 98)
            trim();
        else if (choice < 99)
            restart(node);
        else
            node.stream().pollNow();
    }

    /// A process without an epoch of its own rarely appends a claim, so that owners last long enough to run jobs.
    void appendRandomRecord(LogNode& node)
    {
        if (node.epoch() == 0 && randomBelow(12) > 0)
            return;
        Json record = randomRecord(node);
        record["tag"] = ++m_tag;
        node.append(record, m_outcomes);
    }

    void runOneOperation(LogNode& node)
    {
        if (node.log().pending() > 0)
            node.log().runOne(randomBelow(node.log().pending()), randomFault());
    }

    void restart(LogNode& node)
    {
        const Json peerState = randomNode().stream().snapshot();
        node.start();
        while (node.log().pending() > 0)
            runOneOperation(node);
        if (randomBelow(3) == 0 && !peerState.is_null())
            node.stream().adopt(peerState);
    }

    /// Trims the records contained in the snapshot with the highest offset, and the snapshots before that one.
    void trim()
    {
        foldNewBatches();
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

    Json randomRecord(const LogNode& node)
    {
        const auto& jobs = node.state().jobs();
        const uint64_t choice = randomBelow(20);
        if ((choice == 0 && randomBelow(4) == 0) || node.epoch() == 0)
            return claimRecord({ node.state().claim().epoch + 1, node.name(), "127.0.0.1:1" });
        if (choice == 1 && randomBelow(4) == 0)
            return releaseRecord(node.epoch());
        if (choice < 5 || jobs.empty())
            return randomAcceptedRecord(node.epoch());
        const auto job = std::next(jobs.begin(), static_cast<ptrdiff_t>(randomBelow(jobs.size())));
        if (choice == 5)
            return randomBelow(2) ? cancelledRecord(node.epoch(), job->first, 1)
                                  : forgottenRecord(node.epoch(), job->first);
        return randomAttemptRecord(node.epoch(), job->second);
    }

    Json randomAcceptedRecord(uint64_t epoch)
    {
        JobSpec spec;
        spec.id = "job-" + std::to_string(randomBelow(40));
        spec.tasks = static_cast<uint32_t>(1 + randomBelow(3));
        return acceptedRecord(epoch, spec);
    }

    Json randomAttemptRecord(uint64_t epoch, const JobState& job)
    {
        const auto index = static_cast<uint32_t>(randomBelow(job.tasks.size()));
        const TaskState& task = job.tasks[index];
        const EndReason reasons[] = { EndReason::Finished, EndReason::Failed, EndReason::Evicted, EndReason::Lost };
        AttemptKey key { job.spec.id, index, task.lastAttempt };
        if (task.open && randomBelow(4) > 0) {
            return randomBelow(3) == 0 ? checkpointRecord(epoch, key, "token-" + std::to_string(m_tag))
                                       : endedRecord(epoch, key, reasons[randomBelow(4)], "", "", 1);
        }
        key.attempt = task.lastAttempt + 1;
        return assignedRecord(epoch, key, "host-" + std::to_string(randomBelow(9)));
    }

    /// Folds the batches that were stored since the last call into the reference.
    void foldNewBatches()
    {
        const LogPage page = m_store.read("shard-0", m_referenceOffset, 100'000);
        for (const LogRecord& record : page.records)
            m_reference.read(record.data);
        m_referenceOffset = page.end;
    }

    void recover()
    {
        m_nodes.push_back(std::make_unique<LogNode>(m_store, m_clock, "fresh"));
        for (const auto& node : m_nodes)
            node->log().storeLateCopies();
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
        foldNewBatches();
        for (const auto& node : m_nodes) {
            EXPECT_TRUE(node->stream().isCaughtUp()) << node->name();
            EXPECT_EQ(node->stream().pendingAppends(), 0U) << node->name();
            EXPECT_TRUE(node->state() == m_reference.state())
                << node->name() << " has a state that differs from the reference";
        }
        for (const auto& [tag, outcome] : m_outcomes)
            checkOutcome(tag, outcome);
    }

    void checkOutcome(uint64_t tag, const RecordOutcome& outcome)
    {
        const ReferenceReader::Folded folded = m_reference.tagged(tag);
        EXPECT_EQ(folded.count, outcome.stored ? 1 : 0)
            << "lost, duplicate or wrongly reported as not stored: tag " << tag;
        if (!outcome.stored || outcome.result == FoldResult::Unknown)
            return;
        EXPECT_EQ(folded.result, outcome.result) << tag;
        EXPECT_EQ(folded.offset, outcome.offset) << tag;
    }

    std::mt19937_64 m_random;
    ManualClock m_clock;
    LogStore m_store;
    std::vector<std::unique_ptr<LogNode>> m_nodes;
    ReferenceReader m_reference;
    std::map<uint64_t, RecordOutcome> m_outcomes;
    uint64_t m_referenceOffset { 0 };
    uint64_t m_tag { 0 };
};

} // namespace hemlocklead
