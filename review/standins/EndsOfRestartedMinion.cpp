// Every 8 s the minion with the most starts crashes, and starts again at once under the id that it had.
#include "Site.h"

#include "base/Log.h"

#include <random>

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
    constexpr Duration troubleFrom { 10'000 };
    constexpr Duration troubleUntil { 36'000 };
    constexpr Duration endAt { 44'000 };

    // Short tasks: 12 jobs of 6 tasks a second, about 9 starts a second on each of 8 minions.
    Timer submitTimer(loop);
    submitTimer.startRepeating(Duration { 83 }, [&] {
        const Duration elapsed = clock.now() - begin;
        if (elapsed < submitFrom || elapsed > troubleUntil)
            return;
        const std::string spec = "ms=" + std::to_string(between(30, 90).count()) + " cpu=1000 mem=100";
        const Json step = { { "count", 6 }, { "cpu", 1000 }, { "memMb", 100 }, { "estimateMs", 60 } };
        site.submit(spec, Json::array({ step }));
    });
    Timer crashTimer(loop);
    crashTimer.startRepeating(Duration { 8000 }, [&] {
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
        // The first report comes at any time within one interval of the reports.
        site.minion(busiest).crashAndRestart(between(10, 60), between(0, 1500));
    });
    Timer queryTimer(loop);
    queryTimer.startOnce(endAt - Duration { 4000 }, [&] {
        for (const auto& [id, job] : std::map(site.jobs()))
            site.query(id);
    });
    Timer endTimer(loop);
    endTimer.startOnce(endAt, [&] { loop.stop(); });
    // Ends the processes also when the case itself is told to end.
    loop.onTerminate([&] { loop.stop(); });
    loop.run();
    const bool couldRun = log.runCount() > 1000 && site.acceptedCount() > 200;
    log.line("jobs accepted " + std::to_string(site.acceptedCount()) + ", completed "
        + std::to_string(site.completedCount()) + ", runs " + std::to_string(log.runCount()) + ", rule broken "
        + std::to_string(log.brokenCount()) + " times");
    std::printf("jobs accepted %zu, completed %zu, runs %zu, rule broken %zu times\n", site.acceptedCount(),
        site.completedCount(), log.runCount(), log.brokenCount());
    if (std::getenv("LOGS"))
        std::ofstream(std::getenv("LOGS")) << site.logs();
    return verdict(log, couldRun);
}
