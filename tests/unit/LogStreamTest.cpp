#include "coordination/ControlFold.h"
#include "coordination/ProducerSequences.h"
#include "coordination/StreamSnapshot.h"
#include "support/MemoryLog.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    using Fault = MemoryLog::Fault;

    /// A control stream of one process on the shared log store.
    struct Reader {
        Reader(LogStore& store, const Clock& clock)
            : log(store)
            , stream({ "control" }, log, clock, fold, counters)
        {
        }

        /// Runs reads and appends without faults until nothing is left to do at the current time.
        void runUntilIdle()
        {
            for (int i = 0; i < 20; ++i) {
                stream.tick();
                log.run();
            }
        }

        MemoryLog log;
        ControlFold fold;
        Counters counters;
        LogStream stream;
    };

    class LogStreamTest : public testing::Test {
    protected:
        /// Appends an edit of data centre `name` and sends it to the log, which does not answer yet.
        void appendEdit(const std::string& name, uint64_t base = 0)
        {
            m_writer.stream.append(dataCentreSetRecord(name, base, base % 2 == 0, "ops"),
                [this](const RecordOutcome& outcome) { m_outcomes.push_back(outcome); });
            m_clock.advance(Duration { 20 });
            m_writer.stream.tick();
        }

        /// Advances the clock by one poll interval and runs the writer until idle.
        void pollWriter()
        {
            m_clock.advance(Duration { 250 });
            m_writer.runUntilIdle();
        }

        void writeSnapshot()
        {
            m_writer.stream.writeSnapshot([](bool stored) { EXPECT_TRUE(stored); });
            m_writer.log.run();
        }

        void appendEdits(uint64_t edits)
        {
            m_writer.runUntilIdle();
            for (uint64_t version = 0; version < edits; ++version) {
                appendEdit("muscat", version);
                m_writer.log.run();
            }
        }

        ManualClock m_clock;
        LogStore m_store;
        Reader m_writer { m_store, m_clock };
        std::vector<RecordOutcome> m_outcomes;
    };

    // Guards against an extra read for each append, which would exceed the rate that the log allows.
    TEST_F(LogStreamTest, append_expectedOffset_needsNoRead)
    {
        m_writer.runUntilIdle();
        const size_t reads = m_writer.log.reads();
        appendEdits(50);
        EXPECT_EQ(m_outcomes.size(), 50U);
        EXPECT_EQ(m_writer.log.reads(), reads);
        EXPECT_EQ(m_writer.stream.confirmedAt(), m_clock.now());
    }

    // Guards against one append per record, and against a second append in flight that could be stored first.
    TEST_F(LogStreamTest, append_manyRecords_goInOneBatchAtATime)
    {
        m_writer.runUntilIdle();
        for (const char* name : { "sohar", "nizwa", "ikeja" })
            m_writer.stream.append(dataCentreSetRecord(name, 0, true, "ops"), {});
        m_writer.stream.tick();
        EXPECT_EQ(m_writer.log.pending(), 0U) << "sent before the group commit time";
        m_clock.advance(Duration { 20 });
        m_writer.stream.tick();
        appendEdit("lekki");
        EXPECT_EQ(m_writer.log.pending(), 1U);
        EXPECT_EQ(m_writer.stream.pendingAppends(), 4U);
        m_writer.log.run();
        EXPECT_EQ(m_store.stats()["control"].appends, 1U);
        EXPECT_EQ(m_writer.fold.state().dataCentres().size(), 3U);
    }

    // Guards against an edit that is applied twice or reported as not stored because the answer to its append was lost.
    TEST_F(LogStreamTest, append_lostAnswer_isFoundByReadBack)
    {
        m_writer.runUntilIdle();
        appendEdit("muscat");
        m_writer.log.run(Fault::LoseAnswer);
        EXPECT_TRUE(m_outcomes.empty());
        m_writer.runUntilIdle();
        ASSERT_EQ(m_outcomes.size(), 1U);
        EXPECT_EQ(m_outcomes[0].result, FoldResult::Applied);
        EXPECT_EQ(m_store.stats()["control"].appends, 1U);
    }

    // Guards against a batch that readers fold twice because the first copy is stored after the retried one.
    TEST_F(LogStreamTest, append_lateFirstCopy_isDropped)
    {
        m_writer.runUntilIdle();
        appendEdit("muscat");
        m_writer.log.run(Fault::LateCopy);
        m_writer.runUntilIdle();
        appendEdit("muscat", 1);
        m_writer.runUntilIdle();
        m_writer.log.storeLateCopies();
        pollWriter();
        Reader fresh(m_store, m_clock);
        fresh.runUntilIdle();
        EXPECT_EQ(m_outcomes.size(), 2U);
        EXPECT_EQ(fresh.counters.value("log_batches_repeated"), 1);
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
    }

    // Guards against an edit that stays pending although the log never received it.
    TEST_F(LogStreamTest, append_refusedByLog_isReportedAsNotStored)
    {
        m_writer.runUntilIdle();
        appendEdit("muscat");
        m_writer.log.run(Fault::Refused);
        ASSERT_EQ(m_outcomes.size(), 1U);
        EXPECT_FALSE(m_outcomes[0].stored);
    }

    // Guards against a record that is reported as not stored although an earlier try may still be stored.
    TEST_F(LogStreamTest, append_refusedAfterLostAnswer_isNotReportedAsNotStored)
    {
        m_writer.runUntilIdle();
        appendEdit("muscat");
        m_writer.log.run(Fault::LateCopy);
        m_writer.log.run();
        m_writer.stream.tick();
        m_writer.log.run(Fault::Refused);
        EXPECT_TRUE(m_outcomes.empty());
        m_writer.log.storeLateCopies();
        pollWriter();
        ASSERT_EQ(m_outcomes.size(), 1U);
        EXPECT_TRUE(m_outcomes[0].stored);
    }

    // Guards against requests that wait forever for a log that does not answer.
    TEST_F(LogStreamTest, append_logSilent_waitingRecordsAreRefused)
    {
        m_writer.runUntilIdle();
        appendEdit("muscat");
        m_writer.log.run(Fault::Lost);
        appendEdit("sohar");
        for (int i = 0; i < 40; ++i) {
            m_clock.advance(Duration { 100 });
            m_writer.stream.tick();
            m_writer.log.run(Fault::Lost);
        }
        ASSERT_EQ(m_outcomes.size(), 1U) << "only the record that was never sent is proved not stored";
        EXPECT_FALSE(m_outcomes[0].stored);
        EXPECT_EQ(m_writer.stream.pendingAppends(), 1U);
        pollWriter();
        EXPECT_TRUE(m_writer.fold.state().isOut("muscat"));
        EXPECT_FALSE(m_writer.fold.state().isOut("sohar"));
    }

    // Guards against a writer that folds other bytes than those that readers receive.
    TEST_F(LogStreamTest, append_invalidUtf8_foldsAsRead)
    {
        m_writer.runUntilIdle();
        appendEdit("bad-\xff-name");
        m_writer.runUntilIdle();
        Reader fresh(m_store, m_clock);
        fresh.runUntilIdle();
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
    }

    // Guards against a crash or a stalled reader on malformed data in the stream.
    TEST_F(LogStreamTest, read_malformedBatches_areSkipped)
    {
        for (const char* text : { "", "{", "[]", "{\"producer\":\"p\"}", "\xff", "null" })
            m_store.append("control", text);
        m_store.append("control", R"({"producer":"p","sequence":-1,"records":[]})");
        m_store.append("control", R"({"producer":"p","sequence":1,"records":[null,[],{"kind":"new"}],"extra":1})");
        m_store.append("control", std::string(200'000, '['));
        m_writer.runUntilIdle();
        EXPECT_TRUE(m_writer.stream.isCaughtUp());
        EXPECT_EQ(m_writer.fold.nextOffset(), 9U);
        EXPECT_EQ(m_writer.counters.value("log_batches_malformed"), 8);
        EXPECT_EQ(m_writer.counters.value("log_records_unknown"), 1);
    }

    // Guards against a restart that loses trimmed records, and against folding a repeat of a batch that only the
    // snapshot contains.
    TEST_F(LogStreamTest, start_trimmedStream_usesSnapshotWithProducers)
    {
        appendEdits(5);
        const std::string first = m_store.read("control", 4, 1).records.at(0).data;
        writeSnapshot();
        m_store.trim("control", 5);
        m_store.append("control", first);
        pollWriter();
        Reader fresh(m_store, m_clock);
        fresh.runUntilIdle();
        EXPECT_TRUE(fresh.stream.isCaughtUp());
        EXPECT_EQ(fresh.counters.value("log_batches_repeated"), 1);
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
    }

    // Guards against serving an empty state after records were trimmed, and against a stream that does not recover when
    // a snapshot is written.
    TEST_F(LogStreamTest, start_trimmedWithoutSnapshot_isStateLostUntilOneIsWritten)
    {
        appendEdits(5);
        m_store.trim("control", 3);
        Reader fresh(m_store, m_clock);
        fresh.runUntilIdle();
        EXPECT_TRUE(fresh.stream.isStateLost());
        EXPECT_FALSE(fresh.stream.isCaughtUp());
        writeSnapshot();
        m_clock.advance(Duration { 6000 });
        fresh.runUntilIdle();
        EXPECT_FALSE(fresh.stream.isStateLost());
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
    }

    // Guards against a search that stops at a malformed or outdated snapshot although an earlier one is usable.
    TEST_F(LogStreamTest, start_lastSnapshotsUnusable_earlierOneIsUsed)
    {
        appendEdits(2);
        const std::string outdated = jsonText(m_writer.stream.snapshot());
        appendEdits(6);
        writeSnapshot();
        m_store.append("control-snapshots", outdated);
        m_store.append("control-snapshots", "{\"through\":4");
        m_store.trim("control", 8);
        Reader fresh(m_store, m_clock);
        fresh.runUntilIdle();
        EXPECT_TRUE(fresh.stream.isCaughtUp());
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
    }

    // Guards against an entry that cannot start while the log is unavailable, and against an older state that replaces
    // a newer one.
    TEST_F(LogStreamTest, adopt_logDown_takesNewerStateOnly)
    {
        appendEdits(3);
        const Json older = m_writer.fold.snapshot();
        appendEdits(6);
        Reader fresh(m_store, m_clock);
        fresh.stream.adopt(m_writer.stream.snapshot());
        fresh.stream.adopt(older);
        fresh.stream.adopt(Json { { "through", 90 } });
        fresh.stream.tick();
        fresh.log.run(Fault::Lost);
        EXPECT_FALSE(fresh.stream.isCaughtUp());
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
        m_clock.advance(Duration { 250 });
        fresh.runUntilIdle();
        EXPECT_TRUE(fresh.stream.isCaughtUp());
        EXPECT_TRUE(fresh.fold.state() == m_writer.fold.state());
    }

    // Guards against use after free when a callback destroys its stream.
    TEST_F(LogStreamTest, append_callbackDestroysStream_isSafe)
    {
        MemoryLog log(m_store);
        ControlFold fold;
        Counters counters;
        auto stream = std::make_unique<LogStream>(LogStream::Settings { "control" }, log, m_clock, fold, counters);
        for (int i = 0; i < 2; ++i)
            stream->append(dataCentreSetRecord("muscat", 0, true, "ops"), [&](const RecordOutcome&) {
                ASSERT_TRUE(stream) << "called after the stream was destroyed";
                stream.reset();
            });
        for (int i = 0; i < 10 && stream; ++i) {
            stream->tick();
            log.run();
            m_clock.advance(Duration { 20 });
        }
        EXPECT_FALSE(stream);
    }

    // Guards against snapshots that grow by one dead producer per restart, and against dropping an active producer.
    TEST(ProducerSequencesTest, record_manyProducers_dropsTheOldest)
    {
        ProducerSequences producers;
        for (uint64_t i = 0; i < 1000; ++i) {
            EXPECT_TRUE(producers.record("live", i + 1, 2 * i));
            EXPECT_TRUE(producers.record("dead-" + std::to_string(i), 1, 2 * i + 1));
        }
        EXPECT_EQ(producers.toJson().size(), ProducerSequences::maxProducers);
        EXPECT_FALSE(producers.record("live", 1000, 9000));
        EXPECT_FALSE(producers.record("dead-999", 1, 9001));
    }

} // namespace
} // namespace hemlocklead
