#include "support/JobWorld.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    // Guards against a job that is accepted and never placed, started or reported.
    TEST(ShardOwnerTest, job_withOneOwner_finishes)
    {
        JobWorld world(1, 1, 2);
        world.run(Duration { 2000 });
        ASSERT_TRUE(world.owner());
        world.submit("s0-a", 5);
        world.run(Duration { 15'000 });
        ASSERT_TRUE(world.accepted().contains("s0-a"));
        EXPECT_EQ(world.state()->job("s0-a")->phase, JobPhase::Finished);
        EXPECT_TRUE(world.violations().empty());
    }

} // namespace
} // namespace hemlocklead
