// A minion crashes and starts again at once under the id that it had. It leaves one order to start, which arrives before
// its first answer to a hold, without an answer and carries it out seconds later.
#include "Site.h"

#include "base/Log.h"

#include <random>
#include <utility>

int main(int count, char** arguments)
{
    using namespace review;
    if (count != 2)
        return 2;
    configureLog("case", LogLevel::Error, LogTarget::StandardError);
    EventLoop loop;
    RunLog log(std::string(arguments[1]) + "/record.txt");
    Site site(loop, log, {});
    const bool started = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(site.start());
            return true;
        },
        [&](const Error& error) {
            std::printf("cannot start: %s\n", error.message.c_str());
            return false;
        });
    if (!started)
        return 2;
    BootClock clock;
    const Instant begin = clock.now();
    std::mt19937 random(std::random_device {}());
    const auto between = [&](int64_t from, int64_t to) {
        return Duration { std::uniform_int_distribution<int64_t>(from, to)(random) };
    };
    constexpr Duration submitFrom { 4000 };
    constexpr Duration troubleFrom { 15'000 };
    constexpr Duration troubleUntil { 50'000 };
    constexpr Duration endAt { 60'000 };

    // 7 jobs of 6 tasks a second. A task works for most of a second, so none ends in the time around a restart.
    Timer submitTimer(loop);
    submitTimer.startRepeating(Duration { 140 }, [&] {
        const Duration elapsed = clock.now() - begin;
        if (elapsed < submitFrom || elapsed > troubleUntil)
            return;
        const std::string spec = "ms=" + std::to_string(between(700, 1000).count()) + " cpu=500 mem=100";
        const Json step = { { "count", 6 }, { "cpu", 500 }, { "memMb", 100 }, { "estimateMs", 850 } };
        site.submit(spec, Json::array({ step }));
    });
    size_t lateOrders = 0;
    std::vector<char> mayDelay(site.minionCount());
    for (size_t i = 0; i < site.minionCount(); ++i) {
        site.minion(i).delayStart = [&, i](const std::string&) -> std::optional<Duration> {
            if (!std::exchange(mayDelay[i], false))
                return std::nullopt;
            ++lateOrders;
            return between(2500, 4000);
        };
        site.minion(i).onHoldAnswered = [&, i](const Json&) { mayDelay[i] = false; };
    }
    Timer crashTimer(loop);
    crashTimer.startRepeating(Duration { 6000 }, [&] {
        const Duration elapsed = clock.now() - begin;
        if (!hasTrouble() || elapsed < troubleFrom || elapsed > troubleUntil)
            return;
        size_t busiest = 0;
        for (size_t i = 0; i < site.minionCount(); ++i) {
            if (site.minion(i).startCount() > site.minion(busiest).startCount())
                busiest = i;
        }
        for (size_t i = 0; i < site.minionCount(); ++i)
            site.minion(i).resetStartCount();
        Minion& minion = site.minion(busiest);
        minion.crashAndRestart(between(10, 60), between(300, 1500));
        mayDelay[busiest] = true;
    });
    Timer endTimer(loop);
    endTimer.startOnce(endAt, [&] { loop.stop(); });
    // Ends the processes also when the case itself is told to end.
    loop.onTerminate([&] { loop.stop(); });
    loop.run();
    const bool couldRun = log.runCount() > 500 && site.acceptedCount() > 100 && (!hasTrouble() || lateOrders > 0);
    const std::string summary = "jobs accepted " + std::to_string(site.acceptedCount()) + ", runs "
        + std::to_string(log.runCount()) + ", late orders " + std::to_string(lateOrders) + ", rule broken "
        + std::to_string(log.brokenCount()) + " times";
    log.line(summary);
    std::printf("%s\n", summary.c_str());
    if (std::getenv("LOGS"))
        std::ofstream(std::getenv("LOGS")) << site.logs();
    return verdict(log, couldRun);
}
