#include "support/LogSchedule.h"

namespace hemlocklead {
namespace {

    constexpr uint64_t seedsPerGroup = 300;
    constexpr int stepsPerSchedule = 1000;

    /// One group of seeds; the groups run beside each other under ctest.
    class LogScheduleTest : public testing::TestWithParam<uint64_t> { };

    // Guards against lost or doubled records, readers that differ, offsets that go back, records of a stale epoch that
    // take effect, and two open attempts, in any order of faults.
    TEST_P(LogScheduleTest, logStream_randomFaults_allReadersAgree)
    {
        for (uint64_t i = 0; i < seedsPerGroup && !HasFailure(); ++i) {
            const uint64_t seed = GetParam() * seedsPerGroup + i;
            SCOPED_TRACE("seed " + std::to_string(seed));
            LogSchedule(seed).run(stepsPerSchedule);
        }
    }

    INSTANTIATE_TEST_SUITE_P(seeds, LogScheduleTest, testing::Range<uint64_t>(0, 8));

} // namespace
} // namespace hemlocklead
