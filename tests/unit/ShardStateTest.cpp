#include "state/ShardState.h"
#include "state/ShardOf.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class ShardStateTest : public testing::Test {
    protected:
        void SetUp() override { fold(claimRecord({ 1, "entry-a", "127.0.0.1:1" })); }

        FoldResult fold(const Json& record)
        {
            const uint64_t offset = m_state.nextOffset();
            const FoldResult result = m_state.fold(offset, record);
            m_state.advanceTo(offset + 1);
            return result;
        }

        FoldResult accept(uint32_t tasks = 1, bool watch = false)
        {
            JobSpec spec;
            spec.id = "job-1";
            spec.task.name = "compile";
            spec.task.watch = watch;
            spec.tasks = tasks;
            spec.maxAttempts = 2;
            return fold(acceptedRecord(1, spec));
        }

        FoldResult assign(uint32_t attempt, uint32_t index = 0, const std::string& host = "host-a")
        {
            return fold(assignedRecord(1, { "job-1", index, attempt }, host));
        }

        FoldResult end(uint32_t attempt, EndReason reason, uint32_t index = 0, const std::string& token = "")
        {
            return fold(endedRecord(1, { "job-1", index, attempt }, reason, token, "out", 77));
        }

        const JobState& job() const { return *m_state.job("job-1"); }
        const TaskState& task(uint32_t index = 0) const { return job().tasks.at(index); }

        ShardState m_state;
    };

    // Guards against two owners of one shard: only a claim of the next epoch applies.
    TEST_F(ShardStateTest, claim_notNextEpoch_isVoid)
    {
        EXPECT_EQ(fold(claimRecord({ 1, "entry-b", "127.0.0.1:2" })), FoldResult::Conflict);
        EXPECT_EQ(fold(claimRecord({ 3, "entry-b", "127.0.0.1:2" })), FoldResult::Conflict);
        EXPECT_EQ(fold(claimRecord({ 2, "entry-b", "127.0.0.1:2" })), FoldResult::Applied);
        EXPECT_EQ(m_state.claim().entry, "entry-b");
    }

    // Guards against an owner that resumes after a pause and changes the jobs of its successor.
    TEST_F(ShardStateTest, records_staleEpoch_areVoid)
    {
        accept();
        fold(claimRecord({ 2, "entry-b", "127.0.0.1:2" }));
        EXPECT_EQ(assign(1), FoldResult::Conflict);
        EXPECT_EQ(fold(cancelledRecord(1, "job-1", 1)), FoldResult::Conflict);
        EXPECT_EQ(fold(releaseRecord(1)), FoldResult::Conflict);
        EXPECT_EQ(task().phase, TaskPhase::Waiting);
    }

    // Guards against an owner that still writes after it has released the shard.
    TEST_F(ShardStateTest, records_afterRelease_areVoid)
    {
        accept();
        EXPECT_EQ(fold(releaseRecord(1)), FoldResult::Applied);
        EXPECT_EQ(m_state.claim().entry, "");
        EXPECT_EQ(assign(1), FoldResult::Conflict);
        EXPECT_EQ(fold(claimRecord({ 2, "entry-b", "127.0.0.1:2" })), FoldResult::Applied);
    }

    // Guards against a repeated submission that resets a running job.
    TEST_F(ShardStateTest, accepted_knownJob_isVoid)
    {
        EXPECT_EQ(accept(), FoldResult::Applied);
        assign(1);
        EXPECT_EQ(accept(5), FoldResult::Conflict);
        EXPECT_EQ(job().tasks.size(), 1U);
        EXPECT_EQ(task().phase, TaskPhase::Assigned);
    }

    // Guards against a single record that exhausts the memory of every reader.
    TEST_F(ShardStateTest, accepted_invalidTaskCount_isMalformed)
    {
        EXPECT_EQ(accept(0), FoldResult::Malformed);
        EXPECT_EQ(accept(maxTasksPerJob + 1), FoldResult::Malformed);
        EXPECT_EQ(m_state.jobs().size(), 0U);
    }

    // Guards against a task that runs in two places, by a second assignment while an attempt is open.
    TEST_F(ShardStateTest, assigned_openAttempt_isVoid)
    {
        accept(2);
        EXPECT_EQ(assign(2), FoldResult::Conflict);
        EXPECT_EQ(assign(1), FoldResult::Applied);
        EXPECT_EQ(assign(1), FoldResult::Conflict);
        EXPECT_EQ(assign(2), FoldResult::Conflict);
        EXPECT_EQ(assign(1, 2), FoldResult::Conflict);
        EXPECT_EQ(assign(1, 1), FoldResult::Applied);
    }

    // Guards against an end that is counted twice, and against the end of an old attempt closing a later one.
    TEST_F(ShardStateTest, ended_duplicateOrStaleEnd_isVoid)
    {
        accept();
        EXPECT_EQ(end(1, EndReason::Finished), FoldResult::Conflict);
        assign(1);
        EXPECT_EQ(end(1, EndReason::Evicted, 0, "token-1"), FoldResult::Applied);
        EXPECT_EQ(end(1, EndReason::Finished), FoldResult::Conflict);
        EXPECT_EQ(task().phase, TaskPhase::Waiting);
        EXPECT_EQ(task().checkpoint, "token-1");
        EXPECT_EQ(task().evictions, 1U);
        assign(2);
        EXPECT_EQ(end(1, EndReason::Finished), FoldResult::Conflict);
        EXPECT_TRUE(task().open.has_value());
    }

    // Guards against a checkpoint of an ended attempt replacing a newer one.
    TEST_F(ShardStateTest, checkpoint_notOfOpenAttempt_isVoid)
    {
        accept();
        assign(1);
        EXPECT_EQ(fold(checkpointRecord(1, { "job-1", 0, 1 }, "token-1")), FoldResult::Applied);
        end(1, EndReason::Lost);
        assign(2);
        EXPECT_EQ(fold(checkpointRecord(1, { "job-1", 0, 1 }, "old")), FoldResult::Conflict);
        EXPECT_EQ(task().checkpoint, "token-1");
    }

    // Guards against a job that ends too early or never, or that counts as finished although a task failed.
    TEST_F(ShardStateTest, job_allTasksEnded_phaseFollowsTaskPhases)
    {
        accept(2);
        assign(1, 0);
        assign(1, 1);
        end(1, EndReason::Finished, 0);
        EXPECT_EQ(job().phase, JobPhase::Active);
        EXPECT_EQ(task(0).result, "out");
        end(1, EndReason::Failed, 1);
        EXPECT_EQ(task(1).phase, TaskPhase::Waiting);
        assign(2, 1);
        end(2, EndReason::Failed, 1);
        EXPECT_EQ(task(1).phase, TaskPhase::Failed);
        EXPECT_EQ(job().phase, JobPhase::Failed);
        EXPECT_EQ(job().endedAtUnixMs, 77);
    }

    // Guards against counting refusals, evictions, losses and cancelled attempts towards the job's maximum of failures.
    TEST_F(ShardStateTest, ended_notFailed_isRetriedWithoutLimit)
    {
        accept();
        const EndReason reasons[] = { EndReason::Refused, EndReason::Evicted, EndReason::Lost, EndReason::Cancelled };
        for (uint32_t attempt = 1; attempt <= 12; ++attempt) {
            assign(attempt);
            EXPECT_EQ(end(attempt, reasons[attempt % 4]), FoldResult::Applied);
            EXPECT_EQ(task().phase, TaskPhase::Waiting);
        }
        EXPECT_EQ(task().failures, 0U);
    }

    // Guards against a standing watch that is no longer retried after repeated failures.
    TEST_F(ShardStateTest, watch_repeatedFailures_staysWaiting)
    {
        accept(1, true);
        for (uint32_t attempt = 1; attempt <= 10; ++attempt) {
            assign(attempt);
            end(attempt, EndReason::Failed);
            EXPECT_EQ(task().phase, TaskPhase::Waiting);
        }
    }

    // Guards against removing a cancelled job while an attempt still runs, and against a late end that turns the
    // cancelled task into a finished one.
    TEST_F(ShardStateTest, cancelled_runningAttempt_staysOpenUntilEnded)
    {
        accept(2);
        assign(1);
        EXPECT_EQ(fold(cancelledRecord(1, "job-1", 5)), FoldResult::Applied);
        EXPECT_EQ(job().phase, JobPhase::Cancelled);
        EXPECT_TRUE(task().open.has_value());
        EXPECT_EQ(assign(1, 1), FoldResult::Conflict);
        EXPECT_EQ(fold(forgottenRecord(1, "job-1")), FoldResult::Conflict);
        EXPECT_EQ(end(1, EndReason::Finished), FoldResult::Applied);
        EXPECT_EQ(task().phase, TaskPhase::Cancelled);
        EXPECT_FALSE(task().open.has_value());
        EXPECT_EQ(fold(forgottenRecord(1, "job-1")), FoldResult::Applied);
        EXPECT_EQ(m_state.job("job-1"), nullptr);
    }

    // Guards against a late cancellation that revokes the result of a finished job.
    TEST_F(ShardStateTest, cancelled_finishedJob_isVoid)
    {
        accept();
        EXPECT_EQ(fold(forgottenRecord(1, "job-1")), FoldResult::Conflict);
        assign(1);
        end(1, EndReason::Finished);
        EXPECT_EQ(fold(cancelledRecord(1, "job-1", 5)), FoldResult::Conflict);
        EXPECT_EQ(job().phase, JobPhase::Finished);
    }

    // Guards against a crash or a changed state on records from faulty writers.
    TEST_F(ShardStateTest, fold_malformedRecords_changeNothing)
    {
        accept();
        assign(1);
        const ShardState before = m_state;
        const AttemptKey key { "job-1", 0, 1 };
        JobSpec spec;
        spec.id = "job-2";
        const std::vector<Json> records { acceptedRecord(1, spec), assignedRecord(1, key, "h"),
            checkpointRecord(1, key, "t"), endedRecord(1, key, EndReason::Lost, "", "", 0),
            cancelledRecord(1, "job-1", 0), forgottenRecord(1, "job-1"), claimRecord({ 2, "e", "a" }) };
        for (const Json& valid : records) {
            for (const char* field : { "epoch", "job", "index", "attempt", "agent", "reason", "spec", "entry" }) {
                if (!valid.contains(field))
                    continue;
                for (const Json& value : { Json(), Json(-1), Json(1e300), Json::array(), Json::object() }) {
                    Json record = valid;
                    record[field] = value;
                    EXPECT_EQ(m_state.fold(9, record), FoldResult::Malformed) << record;
                }
            }
        }
        EXPECT_EQ(m_state.fold(9, Json { { "kind", "lent" }, { "epoch", 1 } }), FoldResult::Unknown);
        EXPECT_EQ(m_state.fold(9, Json("claim")), FoldResult::Malformed);
        EXPECT_TRUE(m_state == before);
    }

    // Guards against a snapshot that loses an open attempt, a counter or a checkpoint token.
    TEST_F(ShardStateTest, json_roundTrip_keepsState)
    {
        accept(4);
        assign(1, 0);
        end(1, EndReason::Failed, 0, "token");
        assign(2, 0);
        assign(1, 1);
        end(1, EndReason::Finished, 1);
        const auto parseOwnJson = [&] {
            return orElse([&] { return parseShardState(m_state.toJson()); }, [](const Error&) { return ShardState(); });
        };
        EXPECT_TRUE(parseOwnJson() == m_state);
        fold(cancelledRecord(1, "job-1", 5));
        EXPECT_TRUE(parseOwnJson() == m_state);
    }

    // Guards against accepting an inconsistent snapshot as a state.
    TEST_F(ShardStateTest, parseShardState_inconsistentState_fails)
    {
        accept(2);
        const auto fails = [](const Json& json) {
            return orElse(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(parseShardState(json));
                    return false;
                },
                [](const Error&) { return true; });
        };
        Json json = m_state.toJson();
        EXPECT_FALSE(fails(json));
        json["jobs"][0]["tasks"][0]["phase"] = "assigned";
        EXPECT_TRUE(fails(json));
        json = m_state.toJson();
        json["jobs"][0]["tasks"].erase(0);
        EXPECT_TRUE(fails(json));
        EXPECT_TRUE(fails(Json()));
    }

    // Guards against two ids of one attempt, which the worker would run as two tasks.
    TEST_F(ShardStateTest, taskId_notCanonical_isRejected)
    {
        const auto parse = [](std::string_view id) {
            return orElse([&] { return parseTaskId(id); }, [](const Error&) { return AttemptKey(); });
        };
        EXPECT_EQ(parse("a.b.3.4"), (AttemptKey { "a.b", 3, 4 }));
        for (const char* id : { "", "a", "a.1", ".1.1", "a.01.1", "a.1.0", "a.1.+1", "a.1.4294967296", "a.-1.1" })
            EXPECT_EQ(parse(id), AttemptKey()) << id;
    }

    // Guards against a change of the hash, which would move the jobs of a team to another shard.
    TEST_F(ShardStateTest, shardOf_knownTeams_isStable)
    {
        EXPECT_EQ(shardOf("", 1000), 0x2d06800538d394c2ULL % 1000);
        for (uint32_t shards = 1; shards <= 16; ++shards)
            EXPECT_LT(shardOf("core-team", shards), shards);
    }

} // namespace
} // namespace hemlocklead
