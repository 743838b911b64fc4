#include "Site.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

// Plays one case: CaseMain NAME RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// With TROUBLE=0 in the environment, the disruption is left out.

using namespace hemlocklead;

namespace review {

namespace {

    enum Outcome : int { Held = 0, Broken = 1, NotRun = 2 };

    const std::vector<Minion::Settings> threeMinions { { "m1", "zone-a", "a", "r1" }, { "m2", "zone-b", "a", "r2" },
        { "m3", "zone-c", "a", "r3" } };

    bool hasTrouble()
    {
        const char* trouble = std::getenv("TROUBLE");
        return !trouble || std::strcmp(trouble, "0") != 0;
    }

    /// A job of lasting tasks that serve their own users, two on each of three minions.
    const char* servingJob
        = R"({"spec":"lasts","steps":[{"count":6,"cpu":4000,"memMb":1000,"estimateMs":400,"longRunning":true,)"
          R"("image":"watch","targetMs":50,"antiAffinity":2}]})";

    /// A job of three tasks that fill, each with 8 s of work.
    const char* fillingJob
        = R"({"spec":"work=8000","steps":[{"count":3,"cpu":3500,"memMb":2000,"estimateMs":8000,"checkpoints":true,)"
          R"("image":"build","fills":true}]})";

    constexpr const char* servingPath = "/watch/00000000000000a1";
    constexpr const char* fillingPath = "/build/00000000000000b1";

    size_t runningTasks(Site& site, const std::string& job)
    {
        size_t count = 0;
        for (size_t i = 0; i < site.minions(); ++i) {
            count += static_cast<size_t>(std::ranges::count_if(
                site.minion(i).runs(), [&](const auto& entry) { return entry.first.starts_with(job); }));
        }
        return count;
    }

    bool beginServing(Site& site)
    {
        if (!site.start() || !site.submit(servingPath, servingJob))
            return false;
        return site.waitUntil([&] { return runningTasks(site, "00000000000000a1") == 6; }, Duration { 10'000 });
    }

    /// Index of a minion with a run that is told not to work.
    std::optional<size_t> minionWithPausedRun(Site& site)
    {
        for (size_t i = 0; i < site.minions(); ++i) {
            for (const auto& [task, run] : site.minion(i).runs()) {
                if (run.pace == 0 && !run.stopsAt)
                    return i;
            }
        }
        return std::nullopt;
    }

    /// Whether the filling job is not completed although nothing has disturbed the site for `stableWindowMs` and
    /// `finish_s`, and 40 s more; its work takes less than 9 s at full speed.
    Outcome watchFillingJob(Site& site)
    {
        site.wait(Duration { 3000 + 14'000 });
        // From here on, 3 s in which the job has nothing at work break the rule.
        constexpr Duration watched { 40'000 };
        const bool isCompleted = site.waitUntil(
            [&] { return site.state(fillingPath) == "completed" || (site.wait(Duration { 1000 }), false); }, watched);
        for (size_t i = 0; i < site.minions(); ++i) {
            for (const auto& [task, run] : site.minion(i).runs()) {
                if (!run.lasts)
                    site.record().line(site.minion(i).name() + " still has " + task + " at pace "
                        + std::to_string(run.pace) + " with " + std::to_string(static_cast<int64_t>(run.doneMs))
                        + " ms of 8000 done");
            }
        }
        return isCompleted ? Held : Broken;
    }

    /// Starts the site and both jobs. Tasks that fill disturb those that serve beside them while `interferes` is set.
    bool beginFilling(Site& site, const bool& interferes)
    {
        for (size_t i = 0; i < site.minions(); ++i)
            site.minion(i).tailOf = [&interferes](bool isDisturbed) { return interferes && isDisturbed ? 100 : 20; };
        if (!beginServing(site) || !site.submit(fillingPath, fillingJob))
            return false;
        return site.waitUntil([&] { return runningTasks(site, "00000000000000b1") == 3; }, Duration { 10'000 });
    }

    /// The agent of a minion is killed while a task that fills is paused there, and started again. Nothing disturbs the
    /// site afterwards.
    int agentKilled(Site& site)
    {
        bool interferes = false;
        if (!beginFilling(site, interferes))
            return NotRun;
        site.record().line("tasks that fill now disturb those that serve beside them");
        interferes = true;
        std::optional<size_t> paused;
        if (!site.waitUntil([&] { return (paused = minionWithPausedRun(site)).has_value(); }, Duration { 15'000 }))
            return NotRun;
        if (hasTrouble())
            site.killAgent(*paused);
        site.record().line("tasks that fill no longer disturb others");
        interferes = false;
        site.wait(Duration { 500 });
        if (hasTrouble())
            site.startAgent(*paused);
        return watchFillingJob(site);
    }

    /// One order to pause a task gets no answer and is carried out 3 s later. Nothing disturbs the site afterwards.
    int lateOrder(Site& site)
    {
        bool interferes = false;
        bool isFirst = true;
        site.minion(0).delayOf = [&](const std::string& path) -> std::optional<Duration> {
            if (path != "/v1/pace" || !std::exchange(isFirst, false))
                return std::nullopt;
            site.record().line("tasks that fill no longer disturb others");
            interferes = false;
            return hasTrouble() ? std::optional(Duration { 3000 }) : std::nullopt;
        };
        if (!beginFilling(site, interferes))
            return NotRun;
        site.record().line("tasks that fill now disturb those that serve beside them");
        interferes = true;
        if (!site.waitUntil([&] { return !isFirst; }, Duration { 15'000 }))
            return NotRun;
        return watchFillingJob(site);
    }

    /// The tails of the tasks that serve are about their target or over it by their own load, which changes every
    /// second. Tasks that fill change nothing about it.
    int busyServices(Site& site)
    {
        bool isBusy = false;
        for (size_t i = 0; i < site.minions(); ++i) {
            site.minion(i).tailOf = [&](bool) -> int64_t {
                static constexpr int64_t busyTails[] = { 70, 47, 62, 55 };
                return isBusy ? busyTails[static_cast<size_t>(site.record().seconds()) % 4] : 20;
            };
        }
        if (!beginServing(site))
            return NotRun;
        isBusy = hasTrouble();
        site.wait(Duration { 8000 });
        if (!site.submit(fillingPath, fillingJob))
            return NotRun;
        // finish_s after the last request; then 3 s without a run break the rule. The case watches for 60 s.
        site.wait(Duration { 14'000 });
        bool hasRun = false;
        for (int second = 0; second < 60 && !hasRun; ++second) {
            hasRun = runningTasks(site, "00000000000000b1") > 0 || site.state(fillingPath) == "completed";
            site.wait(Duration { 1000 });
        }
        return hasRun ? Held : Broken;
    }

    /// One of eleven workers, the only one of its kind, fails all that it starts for 6 s. Afterwards it is sound.
    int failingWorker(Site& site)
    {
        // The rule counts from 6 s after the last run of a task, and asks for 3 s without one after 4 calm seconds.
        constexpr Duration allowed { 6000 + 3000 };
        constexpr Duration calm { 3000 + 4000 };
        Minion& only = site.minion(site.minions() - 1);
        std::map<std::string, Instant> endedAt;
        std::map<std::string, Duration> longest;
        std::optional<Instant> soundSince;
        bool fails = false;
        only.failureOf = [&] { return fails ? std::optional(Duration { 200 }) : std::nullopt; };
        const auto noteGap = [&](const std::string& task) {
            const auto ended = endedAt.find(task);
            if (ended == endedAt.end() || !soundSince || site.clock().now() - *soundSince < calm)
                return;
            longest[task] = std::max(longest[task], site.clock().now() - ended->second);
        };
        only.onStart = [&](const std::string& task) {
            noteGap(task);
            endedAt.erase(task);
        };
        only.onEnd = [&](const std::string& task, const std::string&) { endedAt[task] = site.clock().now(); };
        if (!site.start())
            return NotRun;
        fails = hasTrouble();
        site.record().line(only.name() + (fails ? " fails all that it starts" : " is sound"));
        const char* job = R"({"spec":"lasts","steps":[{"count":4,"cpu":2000,"memMb":1000,"estimateMs":400,)"
                          R"("longRunning":true,"image":"watch","requires":"b"}]})";
        if (!site.submit("/watch/00000000000000c1", job) || !site.submit("/watch/00000000000000c2", job))
            return NotRun;
        site.wait(Duration { 6000 });
        fails = false;
        soundSince = site.clock().now();
        site.record().line(only.name() + " is sound");
        site.waitUntil([&] { return only.runs().size() == 8; }, Duration { 60'000 });
        for (const auto& [task, time] : std::map(endedAt))
            noteGap(task);
        bool isBroken = false;
        for (const auto& [task, time] : longest) {
            if (time <= allowed)
                continue;
            isBroken = true;
            site.record().line(
                task + " had no run for " + std::to_string(time.count()) + " ms after its last one had ended");
        }
        return isBroken ? Broken : Held;
    }

    /// A job with large lasting tasks waits for room. A later one with small lasting tasks would fit beside what runs.
    int heldRoom(Site& site)
    {
        const auto lastingJob = [](int cpu) {
            return R"({"spec":"lasts","steps":[{"count":3,"cpu":)" + std::to_string(cpu)
                + R"(,"memMb":1000,"estimateMs":400,"longRunning":true,"image":"watch","antiAffinity":1}]})";
        };
        const char* shortJob = R"({"spec":"work=40000","steps":[{"count":30,"cpu":1200,"memMb":500,"estimateMs":40000,)"
                               R"("image":"lookup","antiAffinity":10}]})";
        if (!site.start() || !site.submit("/build/00000000000000d1", shortJob)
            || !site.submit("/build/00000000000000d2", shortJob))
            return NotRun;
        if (!site.waitUntil([&] { return runningTasks(site, "00000000000000d") == 60; }, Duration { 10'000 }))
            return NotRun;
        site.record().line("24 of 32 cores of each minion are reserved");
        // Tasks of 10 cores do not fit into the 8 that are left, tasks of 4 cores do.
        if (hasTrouble() && !site.submit("/watch/00000000000000e1", lastingJob(10'000)))
            return NotRun;
        site.wait(Duration { 1000 });
        if (!site.submit("/watch/00000000000000e2", lastingJob(4000)))
            return NotRun;
        // The rule counts from 6 s after the last run of a task; then 3 s without one break it. The case watches 30 s.
        site.wait(Duration { 6000 + 3000 + 1000 });
        for (int second = 0; second < 20 && runningTasks(site, "00000000000000e2") < 3; ++second) {
            site.state("/watch/00000000000000e2");
            site.wait(Duration { 1000 });
        }
        const size_t running = runningTasks(site, "00000000000000e2");
        site.record().line(std::to_string(running) + " of 3 small tasks run");
        return running == 3 ? Held : Broken;
    }

    struct Case {
        const char* name;
        int (*play)(Site&);
        std::vector<Minion::Settings> minions;
    };

    int play(const char* name, const char* recordFile)
    {
        std::vector<Minion::Settings> elevenMinions = threeMinions;
        for (int i = 4; i <= 11; ++i) {
            const std::string number = std::to_string(i);
            elevenMinions.push_back({ "m" + number, "zone-a", i == 11 ? "b" : "a", "r" + number });
        }
        const Case cases[] = { { "agent-killed", &agentKilled, threeMinions },
            { "late-order", &lateOrder, threeMinions }, { "busy-services", &busyServices, threeMinions },
            { "failing-worker", &failingWorker, elevenMinions }, { "held-room", &heldRoom, threeMinions } };
        for (const Case& entry : cases) {
            if (std::strcmp(entry.name, name) != 0)
                continue;
            Site site(recordFile, entry.minions);
            int outcome = NotRun;
            try {
                outcome = entry.play(site);
            } catch (const TimeIsUp&) {
                site.record().line("the case takes too long");
            }
            site.record().line(outcome == Broken ? "the rule was broken"
                    : outcome == Held            ? "the rule held"
                                                 : "not run");
            return outcome;
        }
        std::fprintf(stderr, "no case %s\n", name);
        return NotRun;
    }

} // namespace

} // namespace review

int main(int argc, char** argv) { return argc == 3 ? review::play(argv[1], argv[2]) : 2; }
