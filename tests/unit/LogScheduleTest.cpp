#include "support/LogSchedule.h"

namespace hemlocklead {
namespace {

    constexpr uint64_t seedsPerGroup = 300;
    constexpr int stepsPerSchedule = 1000;

    /// Runs one group of seeds; ctest runs the groups in parallel.
    class LogScheduleTest : public testing::TestWithParam<uint64_t> { };

    // Guards against lost or duplicate records, readers with different states, offsets that decrease, records of a
    // stale epoch that take effect, and two open attempts of a task, under random sequences of faults.
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
