// Rate of folding a shard stream, size and load time of its snapshot, and rate of batches appended through LogStream.

#include "coordination/LogBatch.h"
#include "coordination/ShardFold.h"
#include "coordination/StreamSnapshot.h"
#include "support/MemoryLog.h"

#include <benchmark/benchmark.h>

namespace hemlocklead {
namespace {

    constexpr uint32_t jobs = 40;
    constexpr uint32_t tasksPerJob = 100;
    constexpr size_t recordsPerBatch = 20;

    std::string jobId(uint32_t job) { return "4f1c2a7b9d3e5860-" + std::to_string(job); }

    JobSpec makeJobSpec(uint32_t job)
    {
        JobSpec spec;
        spec.id = jobId(job);
        spec.task = { "register-compilation", "registers", std::string(200, 'p'), { 2000, 4096, 0 }, false, false };
        spec.tasks = tasksPerJob;
        spec.acceptedAtUnixMs = 1'800'000'000'000;
        return spec;
    }

    /// Records after which each of the 4,000 tasks has one evicted attempt and one open attempt with a checkpoint.
    std::vector<Json> shardRecords()
    {
        std::vector<Json> records { claimRecord({ 1, "entry-muscat-1", "127.0.0.1:7000" }) };
        for (uint32_t job = 0; job < jobs; ++job) {
            records.push_back(acceptedRecord(1, makeJobSpec(job)));
            for (uint32_t index = 0; index < tasksPerJob; ++index) {
                const AttemptKey first { jobId(job), index, 1 };
                const AttemptKey second { jobId(job), index, 2 };
                const std::string host = "worker-sohar-" + std::to_string(index);
                records.push_back(assignedRecord(1, first, host));
                records.push_back(endedRecord(1, first, EndReason::Evicted, "checkpoint-1", "", 0));
                records.push_back(assignedRecord(1, second, host));
                records.push_back(checkpointRecord(1, second, "checkpoint-0123456789abcdef"));
            }
        }
        return records;
    }

    std::vector<std::string> shardBatches()
    {
        std::vector<std::string> batches;
        std::vector<std::string> texts;
        for (const Json& record : shardRecords()) {
            texts.push_back(jsonText(record));
            if (texts.size() < recordsPerBatch)
                continue;
            batches.push_back(encodeBatch("producer", batches.size() + 1, texts));
            texts.clear();
        }
        batches.push_back(encodeBatch("producer", batches.size() + 1, texts));
        return batches;
    }

    ShardFold makeFilledFold()
    {
        ShardFold fold;
        for (const Json& record : shardRecords())
            fold.fold(0, record);
        fold.advanceTo(1);
        return fold;
    }

    /// Runs a stream until it has loaded the snapshot and folded all records.
    void catchUp(LogStream& stream, MemoryLog& log)
    {
        while (!stream.isCaughtUp()) {
            stream.tick();
            log.run();
        }
    }

    /// Folds parsed records into the state, without the log.
    void foldShardRecords(benchmark::State& state)
    {
        const std::vector<Json> records = shardRecords();
        for (auto step : state) {
            ShardState shard;
            for (const Json& record : records)
                shard.fold(0, record);
            benchmark::DoNotOptimize(shard);
        }
        state.counters["records_per_second"]
            = benchmark::Counter(static_cast<double>(records.size()), benchmark::Counter::kIsIterationInvariantRate);
    }
    BENCHMARK(foldShardRecords)->Unit(benchmark::kMillisecond);

    /// Process start without a snapshot: reads the stream from the log, parses the JSON text and folds it.
    void readShardStream(benchmark::State& state)
    {
        const std::vector<std::string> batches = shardBatches();
        LogStore store;
        for (const std::string& batch : batches)
            store.append("shard-0", batch);
        const ManualClock clock;
        for (auto step : state) {
            MemoryLog log(store);
            ShardFold fold;
            Counters counters;
            LogStream stream({ "shard-0" }, log, clock, fold, counters);
            catchUp(stream, log);
        }
        state.counters["records_per_second"] = benchmark::Counter(
            static_cast<double>(shardRecords().size()), benchmark::Counter::kIsIterationInvariantRate);
    }
    BENCHMARK(readShardStream)->Unit(benchmark::kMillisecond);

    void writeShardSnapshot(benchmark::State& state)
    {
        const ShardFold fold = makeFilledFold();
        size_t bytes = 0;
        for (auto step : state)
            bytes = jsonText(toJson(StreamSnapshot { 0, fold.snapshot(), {} })).size();
        state.counters["snapshot_bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(writeShardSnapshot)->Unit(benchmark::kMillisecond);

    /// Process start from a snapshot of 4,000 tasks, with no records after it.
    void loadShardSnapshot(benchmark::State& state)
    {
        LogStore store;
        store.append("shard-0", "{}");
        store.append("shard-0-snapshots", jsonText(toJson(StreamSnapshot { 0, makeFilledFold().snapshot(), {} })));
        const ManualClock clock;
        for (auto step : state) {
            MemoryLog log(store);
            ShardFold fold;
            Counters counters;
            LogStream stream({ "shard-0" }, log, clock, fold, counters);
            catchUp(stream, log);
            if (fold.state().jobs().size() != jobs)
                state.SkipWithError("the snapshot was not loaded");
        }
    }
    BENCHMARK(loadShardSnapshot)->Unit(benchmark::kMillisecond);

    /// Appends batches of `range` records one after the other: encodes, stores and folds them and delivers the
    /// outcomes.
    void appendBatches(benchmark::State& state)
    {
        const auto recordsInBatch = static_cast<size_t>(state.range(0));
        LogStore store;
        for (const std::string& batch : shardBatches())
            store.append("shard-0", batch);
        ManualClock clock;
        MemoryLog log(store);
        ShardFold fold;
        Counters counters;
        LogStream stream({ "shard-0" }, log, clock, fold, counters);
        catchUp(stream, log);
        store.setRetention(100);
        size_t applied = 0;
        const Json record = checkpointRecord(1, { jobId(1), 1, 2 }, "checkpoint-0123456789abcdef");
        for (auto step : state) {
            for (size_t i = 0; i < recordsInBatch; ++i)
                stream.append(
                    record, [&](const RecordOutcome& outcome) { applied += outcome.result == FoldResult::Applied; });
            clock.advance(Duration { 20 });
            stream.tick();
            log.run();
        }
        if (applied != recordsInBatch * state.iterations())
            state.SkipWithError("records that were not applied");
        state.counters["batches_per_second"] = benchmark::Counter(1, benchmark::Counter::kIsIterationInvariantRate);
        state.counters["records_per_second"]
            = benchmark::Counter(static_cast<double>(recordsInBatch), benchmark::Counter::kIsIterationInvariantRate);
    }
    BENCHMARK(appendBatches)->Arg(1)->Arg(20)->Arg(200)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace hemlocklead
