// Plays one case of the review: case NAME RECORD-FILE. The environment variable TROUBLE=0 leaves the disruption out.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include "Site.h"
#include "base/Log.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

namespace hemlocklead::review {
namespace {

    constexpr int held = 0;
    constexpr int broken = 1;
    constexpr int couldNotRun = 2;

    struct Case {
        const char* name;
        int (*play)(RunLog& log, bool trouble);
    };

    int verdict(RunLog& log, const std::vector<std::string>& violations)
    {
        for (const std::string& violation : violations)
            log.line("BROKEN " + violation);
        log.line(std::to_string(violations.size()) + " violations, " + std::to_string(log.runs().size()) + " runs");
        std::cout << violations.size() << " violations in " << log.runs().size() << " runs" << std::endl;
        for (size_t i = 0; i < violations.size() && i < 3; ++i)
            std::cout << "  " << violations[i] << std::endl;
        return violations.empty() ? held : broken;
    }

    /// A server crashes and starts again; during 5 s after that, every second call for its lists is answered late.
    int lateHold(RunLog& log, bool trouble)
    {
        Site site(log, { .cpuMilli = 8000 });
        if (!site.start())
            return couldNotRun;
        Timer submit(site.loop());
        size_t next = 0;
        submit.startRepeating(Duration { 60 }, [&] {
            site.send(next++ % 3, "POST", site.newJobId(), jobBody("ms=300 spread=200", 9, 1000, 100),
                [](const HttpResponse&) {});
        });
        site.wait(Duration { 8000 });
        size_t busiest = 0;
        for (size_t i = 0; i < site.minionCount(); ++i) {
            if (site.minion(i).highestLastSeen() > site.minion(busiest).highestLastSeen())
                busiest = i;
        }
        Minion& minion = site.minion(busiest);
        if (minion.highestLastSeen() < 20)
            return couldNotRun;
        if (trouble) {
            minion.crash();
            site.wait(Duration { 2000 });
            const Instant lateUntil = log.now() + Duration { 5000 };
            size_t calls = 0;
            minion.setLateness([&, lateUntil](const HttpRequest& request) -> std::optional<Duration> {
                if (request.path != "/v1/hold" || log.now() > lateUntil || calls++ % 2 == 1)
                    return std::nullopt;
                return Duration { 3000 };
            });
            minion.boot();
        }
        site.wait(Duration { 12'000 });
        submit.cancel();
        site.wait(Duration { 8000 });
        return verdict(log, log.runTwice());
    }

    /// More ends than a server lists at a time wait while the store is down for 4.5 s.
    int manyEnds(RunLog& log, bool trouble)
    {
        Site site(log, {});
        if (!site.start())
            return couldNotRun;
        const Instant submittedAt = log.now();
        for (size_t job = 0; job < 20; ++job)
            site.send(job % 3, "POST", site.newJobId(), jobBody("ms=4000 spread=1000", 30, 50, 100),
                [](const HttpResponse&) {});
        const auto busiest = [&site] {
            size_t most = 0;
            for (size_t i = 0; i < site.minionCount(); ++i)
                most = std::max(most, site.minion(i).runningCount());
            return most;
        };
        const bool allStarted = site.waitFor([&] { return busiest() > 550; }, Duration { 3400 });
        log.line("most runs on one server: " + std::to_string(busiest()));
        if (!allStarted)
            return couldNotRun;
        site.wait(submittedAt + Duration { 3500 } - log.now());
        if (trouble) {
            log.line("store down");
            site.store().setFault(soak::StoreStandIn::Fault::Unresponsive);
        }
        site.wait(Duration { 4500 });
        site.store().setFault(soak::StoreStandIn::Fault::None);
        log.line("store up");
        site.wait(Duration { 15'000 });
        return verdict(log, log.runTwice());
    }

    /// An agent's process is stopped for 2.2 s, several times, while jobs arrive.
    int frozenAgent(RunLog& log, bool trouble)
    {
        constexpr int rounds = 7;
        constexpr size_t specBytes = 3900; ///< The pages allow 4,000.
        Site site(log, { .agents = 10 });
        if (!site.start())
            return couldNotRun;
        // Later tasks take the tightest fit and so the host of this one.
        if (site.call(0, "POST", site.newJobId(), jobBody("ms=0", 1, 4000, 1000, true)).status != 200)
            return couldNotRun;
        site.wait(Duration { 1500 });
        size_t frozen = 0;
        while (frozen < site.minionCount() && site.minion(frozen).runningCount() == 0)
            ++frozen;
        if (frozen == site.minionCount())
            return couldNotRun;
        const std::string spec = "ms=2500 text=" + std::string(specBytes, 'x');
        for (int round = 0; round < rounds; ++round) {
            if (trouble)
                site.signalAgent(frozen, SIGSTOP);
            const Instant until = log.now() + Duration { 2200 };
            site.wait(Duration { 300 });
            for (size_t job = 0; job < 6; ++job)
                site.send(job % 3, "POST", site.newJobId(), jobBody(spec, 6, 500, 100), [](const HttpResponse&) {});
            site.wait(until - log.now());
            if (trouble)
                site.signalAgent(frozen, SIGCONT);
            site.wait(Duration { 5000 + 61 * round });
        }
        site.wait(Duration { 4000 });
        return verdict(log, log.runTwice());
    }

    /// The first steps of many jobs end while the store is down for 4.5 s, so that all tasks of the second steps are
    /// ordered at once.
    int largeOrders(RunLog& log, bool trouble)
    {
        constexpr size_t jobs = 45;
        constexpr uint32_t width = 30; ///< Of the second step.
        constexpr size_t specBytes = 3900; ///< The pages allow 4,000.
        constexpr Duration finish { 14'000 };
        Site site(log, {});
        if (!site.start())
            return couldNotRun;
        const std::string spec = "ms=3000 spread=500 cpu=20 text=" + std::string(specBytes, 'x');
        const Json first = { { "count", 1 }, { "cpu", 20 }, { "memMb", 20 }, { "estimateMs", 3000 } };
        Json second = first;
        second["count"] = width;
        second["after"] = { 0 };
        const std::string body = jsonText({ { "spec", spec }, { "steps", { first, second } } });
        std::vector<std::string> accepted;
        for (size_t i = 0; i < jobs; ++i) {
            const std::string job = site.newJobId();
            site.send(i % 3, "POST", job, body, [&accepted, job](const HttpResponse& response) {
                if (response.status == 200)
                    accepted.push_back(job);
            });
            site.wait(Duration { 30 });
        }
        site.wait(Duration { 600 });
        if (accepted.size() < jobs || log.runs().size() < jobs)
            return couldNotRun;
        if (trouble) {
            log.line("store down");
            site.store().setFault(soak::StoreStandIn::Fault::Unresponsive);
        }
        site.wait(Duration { 4500 });
        site.store().setFault(soak::StoreStandIn::Fault::None);
        log.line("store up");
        site.wait(finish);
        // From here on, a job must not be without a run for 3 s while tasks of it wait and servers have room.
        const Instant checkedFrom = log.now();
        site.wait(Duration { 3000 });
        std::vector<std::string> violations;
        for (const std::string& job : accepted) {
            std::set<std::string> done;
            bool isRunning = false;
            for (const RunLog::Run& run : log.runs()) {
                if (!run.task.starts_with(job))
                    continue;
                if (run.endedAt && run.how == "done")
                    done.insert(run.task);
                isRunning |= !run.endedAt || *run.endedAt >= checkedFrom;
            }
            if (done.size() == 1 + width || isRunning)
                continue;
            const HttpResponse state = site.call(0, "GET", job);
            violations.push_back("job " + job + " has had no run for 3 s, " + std::to_string(done.size()) + " of "
                + std::to_string(1 + width) + " tasks are done; its state is shown as " + state.body);
        }
        return verdict(log, violations);
    }

    constexpr Case cases[] = {
        { "large-orders", &largeOrders },
        { "frozen-agent", &frozenAgent },
        { "late-hold", &lateHold },
        { "many-ends", &manyEnds },
    };

} // namespace
} // namespace hemlocklead::review

int main(int count, char** arguments)
{
    using namespace hemlocklead;
    if (count != 3) {
        std::cerr << "usage: case NAME RECORD-FILE" << std::endl;
        return 2;
    }
    configureLog("case", LogLevel::Error, LogTarget::StandardError);
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::string_view(setting) != "0";
    for (const review::Case& entry : review::cases) {
        if (std::string_view(entry.name) == arguments[1]) {
            review::RunLog log(arguments[2]);
            return entry.play(log, trouble);
        }
    }
    std::cerr << "no such case: " << arguments[1] << std::endl;
    return 2;
}
