// A minion crashes and starts again at once under the id that it had. As soon as it has started a run, its machine is cut
// off from the entries and the store.
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
    Site::Settings settings;
    settings.hasLinkProxies = true;
    Site site(loop, log, settings);
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
    constexpr Duration troubleFrom { 13'000 };
    constexpr Duration troubleUntil { 45'000 };
    constexpr Duration endAt { 60'000 };
    constexpr Duration cutTime { 5500 };

    // 5 jobs of 7 tasks a second, at most one task of a job on each of the 8 minions.
    Timer submitTimer(loop);
    submitTimer.startRepeating(Duration { 200 }, [&] {
        const Duration elapsed = clock.now() - begin;
        if (elapsed < submitFrom || elapsed > troubleUntil)
            return;
        const std::string spec = "ms=" + std::to_string(between(9000, 13'000).count()) + " cpu=100 mem=10";
        const Json step
            = { { "count", 7 }, { "cpu", 100 }, { "memMb", 10 }, { "estimateMs", 11'000 }, { "antiAffinity", 1 } };
        site.submit(spec, Json::array({ step }));
    });
    size_t cuts = 0;
    std::optional<size_t> watched;
    Timer cutTimer(loop);
    for (size_t i = 0; i < site.minionCount(); ++i) {
        site.minion(i).onStarted = [&, i](const std::string&, int64_t) {
            if (watched != i)
                return;
            watched.reset();
            ++cuts;
            site.setCut(i, true);
            cutTimer.startOnce(cutTime, [&, i] { site.setCut(i, false); });
        };
    }
    Timer crashTimer(loop);
    size_t next = 0;
    crashTimer.startRepeating(Duration { 13'000 }, [&] {
        const Duration elapsed = clock.now() - begin;
        if (!hasTrouble() || elapsed < troubleFrom || elapsed > troubleUntil)
            return;
        const size_t target = next++ % site.minionCount();
        site.minion(target).crashAndRestart(between(10, 60), between(250, 450));
        // Watches only runs of the new incarnation.
        watched = target;
    });
    Timer endTimer(loop);
    endTimer.startOnce(endAt, [&] { loop.stop(); });
    // Ends the processes also when the case itself is told to end.
    loop.onTerminate([&] { loop.stop(); });
    loop.run();
    const bool couldRun = log.runCount() > 500 && site.acceptedCount() > 100 && (!hasTrouble() || cuts > 0);
    const std::string summary = "jobs accepted " + std::to_string(site.acceptedCount()) + ", runs "
        + std::to_string(log.runCount()) + ", cuts " + std::to_string(cuts) + ", rule broken "
        + std::to_string(log.brokenCount()) + " times";
    log.line(summary);
    std::printf("%s\n", summary.c_str());
    if (std::getenv("LOGS"))
        std::ofstream(std::getenv("LOGS")) << site.logs();
    return verdict(log, couldRun);
}
