#include "dispatch/HostChooser.h"
#include "dispatch/ThrottleController.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>

namespace hemlocklead::dispatch {
namespace {

    /// One latency-critical task next to one best-effort task that interferes with it.
    class ThrottleControllerTest : public testing::Test {
    protected:
        /// Polls for `time`. The tail latency divided by its target is `ratioAtFullSpeed` while the best-effort task
        /// runs, and `ratioWhilePaused` otherwise. Returns the orders.
        std::vector<ThrottleOrder> poll(Duration time, double ratioAtFullSpeed, double ratioWhilePaused)
        {
            std::vector<ThrottleOrder> orders;
            const Instant end = m_now + time;
            while (m_now < end) {
                const double ratio = m_controller.speedPercent("fill") > 0 ? ratioAtFullSpeed : ratioWhilePaused;
                for (const ThrottleOrder& order :
                    m_controller.update({ { "serve", "s", ratio } }, { { "fill", "f", 8 } }, m_now))
                    orders.push_back(order);
                m_now += Duration { 450 };
            }
            return orders;
        }

        Instant m_now { Duration { 1'000'000 } };
        ThrottleController m_controller { {} };
    };

    // Guards against interference that keeps a latency-critical task over its target for 4 s.
    TEST_F(ThrottleControllerTest, latencyCriticalTask_overItsTarget_pausesTheAntagonistInTime)
    {
        poll(Duration { 4000 }, 0.4, 0.4);
        const Instant overSince = m_now;
        while (m_controller.speedPercent("fill") > 0 && m_now - overSince < Duration { 6000 })
            poll(Duration { 450 }, 3.0, 0.4);
        // Measurements lag by half a second, and the effect of a pause shows after another half.
        EXPECT_LE(m_now - overSince, Duration { 3000 });
        const std::vector<ThrottleOrder> later = poll(Duration { 1000 }, 3.0, 0.4);
        ASSERT_FALSE(later.empty());
        EXPECT_EQ(later[0], (ThrottleOrder { "fill", 100 }));
    }

    // Guards against interference that keeps a latency-critical task over its target for 4 s when every delay is long:
    // measurements show the tail latency after half a second, polls are 0.6 s apart, and the best-effort image is
    // assumed not to interfere.
    TEST_F(ThrottleControllerTest, image_assumedNotToInterfere_isPausedBeforeFourSeconds)
    {
        m_controller.setInterference("s", "f", 0);
        poll(Duration { 3000 }, 0.4, 0.4);
        const Instant overSince = m_now - Duration { 599 };
        while (m_controller.speedPercent("fill") > 0 && m_now - overSince < Duration { 6000 }) {
            const double measuredRatio = m_now - overSince < Duration { 500 } ? 0.4 : 3.0;
            m_controller.update({ { "serve", "s", measuredRatio } }, { { "fill", "f", 8 } }, m_now);
            m_now += Duration { 600 };
        }
        EXPECT_LT(m_now - Duration { 600 } - overSince, Duration { 3700 });
    }

    // Guards against interference from tasks that start one after the other on a host whose tasks are paused: each
    // starts at full speed and would interfere until the next poll.
    TEST_F(ThrottleControllerTest, bestEffortTask_toStartWhileOthersArePaused_mustPauseToo)
    {
        const BestEffortTask next { "next", "f", 8 };
        poll(Duration { 3000 }, 0.4, 0.4);
        EXPECT_FALSE(m_controller.mustPause(next, m_now));
        poll(Duration { 3000 }, 3.0, 3.0);
        EXPECT_TRUE(m_controller.mustPause(next, m_now));
        EXPECT_TRUE(m_controller.isPausing());
        poll(Duration { 900 }, 0.4, 0.4);
        EXPECT_FALSE(m_controller.mustPause(next, m_now));
        EXPECT_FALSE(m_controller.isPausing());
    }

    // Guards against a pause that is ordered too late when the tail latency is so far over its target that it takes a
    // second to fall.
    TEST_F(ThrottleControllerTest, latencyCriticalTask_farOverItsTarget_pausesEarlier)
    {
        poll(Duration { 3000 }, 0.4, 0.4);
        const Instant overSince = m_now;
        while (m_controller.speedPercent("fill") > 0 && m_now - overSince < Duration { 6000 })
            poll(Duration { 450 }, 12, 0.4);
        EXPECT_LE(m_now - overSince, Duration { 2000 });
    }

    // Guards against pauses, and thus lost throughput, for a short spike of the tail latency.
    TEST_F(ThrottleControllerTest, latencyCriticalTask_shortSpike_pausesNothing)
    {
        poll(Duration { 4000 }, 0.4, 0.4);
        poll(Duration { 1000 }, 2.0, 0.4);
        EXPECT_TRUE(poll(Duration { 4000 }, 0.4, 0.4).empty());
    }

    /// Latency-critical tasks of one image on two hosts. Their users' load rises and falls; on one host a best-effort
    /// image runs next to them.
    class InterferenceModelTest : public testing::Test {
    protected:
        /// Observes both hosts for `time`; each best-effort core uses `headroomPerCore` of the task next to it.
        void observeHosts(Duration time, double headroomPerCore)
        {
            const Instant end = m_now + time;
            for (; m_now < end; m_now += Duration { 225 }) {
                const double baseline = baselineHeadroom();
                m_model.observe(serve, 1 / baseline, {}, m_now);
                m_model.observe(
                    serve, 1 / std::max(baseline - headroomPerCore * cores, 0.08), { { "fill", cores } }, m_now);
            }
        }

        /// Headroom without interference: varies between 1.4 and 3.6 times the headroom at the target, over 20 s.
        double baselineHeadroom() const
        {
            const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
            return 2.5 + 1.1 * std::sin(seconds * 2 * std::numbers::pi / 20);
        }

        double overTargetProbability(double bestEffortCores) const
        {
            return m_model.forecast(serve, { { "fill", bestEffortCores } }).overTargetProbability();
        }

        static constexpr double cores = 8;
        const Service serve { "watch", "serve" };
        Instant m_now { Duration { 1'000'000 } };
        InterferenceModel m_model;
    };

    // Guards against attributing the effect of the users' load to a best-effort image that does not interfere.
    TEST_F(InterferenceModelTest, baselineHeadroom_fallsWithTheUsersLoad_isNotAttributedToTheBestEffortImage)
    {
        observeHosts(Duration { 20'000 }, 0);
        EXPECT_LT(m_model.pair("serve", "fill").headroomPerCore, InterferenceModel::priorHeadroomPerCore / 5);
        EXPECT_LT(overTargetProbability(cores), 0.2);
    }

    // Guards against placing a task that pushes a latency-critical task over its target; few observations must suffice.
    TEST_F(InterferenceModelTest, interferingImage_isLearnedWithinTwoSeconds)
    {
        observeHosts(Duration { 2000 }, 0.3);
        EXPECT_NEAR(m_model.pair("serve", "fill").headroomPerCore, 0.3, 0.1);
        EXPECT_GT(overTargetProbability(cores), 0.5);
    }

    // Guards against a pair whose estimate does not follow a change.
    TEST_F(InterferenceModelTest, pair_changes_isLearnedAgain)
    {
        observeHosts(Duration { 20'000 }, 0.3);
        observeHosts(Duration { 10'000 }, 0);
        EXPECT_LT(m_model.pair("serve", "fill").headroomPerCore, InterferenceModel::priorHeadroomPerCore);
    }

    // Guards against attributing interference to an image that was observed not to interfere.
    TEST_F(InterferenceModelTest, interference_seenWithAndWithoutAnImage_isAttributedToTheOther)
    {
        for (int i = 0; i < 20; ++i, m_now += Duration { 450 })
            m_model.observe(serve, 0.4, { { "calm", 8 } }, m_now);
        for (int i = 0; i < 8; ++i, m_now += Duration { 450 })
            m_model.observe(serve, 3.0, { { "calm", 8 }, { "bad", 8 } }, m_now);
        EXPECT_GT(m_model.pair("serve", "bad").headroomPerCore, 2 * m_model.pair("serve", "calm").headroomPerCore);
        EXPECT_GT(m_model.pair("serve", "bad").headroomPerCore * 8, 0.5);
    }

    // Guards against the forecast of one job's headroom from the load of another job's users: the load of two jobs of
    // one image rises and falls at different times (issue 34).
    TEST_F(InterferenceModelTest, jobsOfOneImage_loadsOutOfPhase_areForecastSeparately)
    {
        const Service other { "other", "serve" };
        for (int i = 0; i < 80; ++i, m_now += Duration { 225 }) {
            m_model.observe(serve, 1 / baselineHeadroom(), {}, m_now);
            m_model.observe(other, 1 / (5 - baselineHeadroom()), {}, m_now);
        }
        EXPECT_NEAR(m_model.forecast(serve, {}).headroom, baselineHeadroom(), 0.4);
        EXPECT_NEAR(m_model.forecast(other, {}).headroom, 5 - baselineHeadroom(), 0.4);
    }

    // Guards against jobs that learn what an image takes from them one by one, each at its users' cost.
    TEST_F(InterferenceModelTest, interferenceSeenByOneJob_isKnownForOthersOfItsImage)
    {
        observeHosts(Duration { 5000 }, 0.3);
        const Service other { "other", "serve" };
        m_model.observe(other, 0.4, {}, m_now);
        EXPECT_LT(m_model.forecast(other, { { "fill", cores } }).headroom, 1);
        m_model.removeJob("watch");
        EXPECT_NEAR(m_model.pair("serve", "fill").headroomPerCore, 0.3, 0.1);
    }

    // Guards against the first measurement of a job beside best-effort tasks being taken for its headroom without them:
    // the correction then looked like a rising trend, and the host like one with room.
    TEST_F(InterferenceModelTest, newJob_firstSeenBesideBestEffortTasks_isNotForecastToRecover)
    {
        observeHosts(Duration { 5000 }, 0.2);
        const Service other { "other", "serve" };
        m_model.observe(other, 1 / 0.6, { { "fill", 10 } }, m_now);
        m_model.observe(other, 1 / 0.6, { { "fill", 10 } }, m_now + Duration { 225 });
        EXPECT_LT(m_model.forecast(other, { { "fill", 10 } }).headroom, 0.9);
    }

    // Guards against learning from a reported value that is not a tail latency.
    TEST_F(InterferenceModelTest, tail_notKnown_isIgnored)
    {
        m_model.observe(serve, 0, { { "fill", 8 } }, m_now);
        m_model.observe(serve, -1, { { "fill", 8 } }, m_now);
        EXPECT_EQ(m_model.pair("serve", "fill").headroomPerCore, InterferenceModel::priorHeadroomPerCore);
    }

    class HostChooserTest : public testing::Test {
    protected:
        HostState& addHost(const std::string& name, int64_t cpu)
        {
            HostState& host = m_registry.host(name);
            host.connected = true;
            host.reported = true;
            host.reportedAt = m_now;
            host.life = 1;
            host.last.life = 1;
            host.last.service = "service";
            host.last.rack = "rack-" + name;
            host.last.labels = { "kind", "rack-" + name };
            host.last.capacity = { cpu, 100'000, 0 };
            return host;
        }

        const HostState* choose(
            const StepSpec& step, const PlacementConstraints& constraints = { "service", "", {}, "" })
        {
            for (auto& [name, host] : m_registry.hosts())
                host.refreshForecasts(m_model, [](const std::string&) { return 1.0; });
            const PlacementContext context { m_registry.hosts(), m_closed, [](const std::string&) { return false; },
                m_now, Duration { 1500 }, m_model };
            return chooseHost(step, constraints, context, m_limits);
        }

        static StepSpec step(int64_t cpu)
        {
            StepSpec spec;
            spec.resources = { cpu, 100, 0 };
            return spec;
        }

        Instant m_now { Duration { 1'000'000 } };
        HostRegistry m_registry;
        BestEffortLimits m_limits { false, 100 };
        InterferenceModel m_model;
        std::set<std::string> m_closed;
    };

    // Guards against fragmentation: short tasks spread over hosts leave no host with enough capacity for a large task
    // although enough processors are free in total.
    TEST_F(HostChooserTest, shortTask_severalHostsFit_takesTheTightestFit)
    {
        addHost("a", 64'000);
        HostState& b = addHost("b", 64'000);
        m_registry.add(b, { "job", 0, 0, 0 }, 1, step(60'000), HostRun::Stage::Ordered);
        EXPECT_EQ(choose(step(1000))->name, "b");
        EXPECT_EQ(choose(step(8000))->name, "a");
    }

    // Guards against placing a best-effort task where it interferes with latency-critical tasks although there is a
    // host whose tasks it does not affect.
    TEST_F(HostChooserTest, bestEffortTask_avoidsHostsWhereItInterferes)
    {
        StepSpec latencyCritical = step(10'000);
        latencyCritical.longRunning = true;
        HostState& a = addHost("a", 64'000);
        HostState& b = addHost("b", 64'000);
        latencyCritical.image = "fragile";
        m_registry.add(a, { "watch", 0, 0, 0 }, 1, latencyCritical, HostRun::Stage::Ordered);
        latencyCritical.image = "robust";
        m_registry.add(b, { "watch", 0, 0, 1 }, 1, latencyCritical, HostRun::Stage::Ordered);
        m_registry.add(b, { "watch", 0, 0, 2 }, 1, latencyCritical, HostRun::Stage::Ordered);
        for (int i = 0; i < 20; ++i) {
            const Instant seenAt = m_now + i * Duration { 450 };
            m_model.observe({ "watch", "fragile" }, 0.5, {}, seenAt);
            m_model.observe({ "watch", "fragile" }, 3, { { "batch", 7 } }, seenAt);
            m_model.observe({ "watch", "robust" }, 0.5, {}, seenAt);
            m_model.observe({ "watch", "robust" }, 0.5, { { "batch", 7 } }, seenAt);
        }
        StepSpec bestEffort = step(7000);
        bestEffort.bestEffort = true;
        bestEffort.image = "batch";
        EXPECT_EQ(choose(bestEffort)->name, "b");
        // If only the host with interference is left, the task waits unless its job cannot wait.
        b.last.draining = true;
        m_limits.maxOverTarget = 0.5;
        EXPECT_EQ(choose(bestEffort), nullptr);
        m_limits.maxOverTarget = 100;
        EXPECT_EQ(choose(bestEffort)->name, "a");
    }

    // Guards against a watch that loses all day (SHORT, issue 34): once best-effort tasks had pushed it over its
    // target, one more there counted as harmless, so its host attracted them.
    TEST_F(HostChooserTest, bestEffortTask_hostWhereOthersInterfereAlready_isNotAddedThere)
    {
        HostState& host = addHost("a", 64'000);
        StepSpec latencyCritical = step(10'000);
        latencyCritical.longRunning = true;
        latencyCritical.image = "fragile";
        m_registry.add(host, { "watch", 0, 0, 0 }, 1, latencyCritical, HostRun::Stage::Ordered);
        StepSpec bestEffort = step(7000);
        bestEffort.bestEffort = true;
        bestEffort.image = "batch";
        for (int i = 0; i < 20; ++i) {
            const Instant seenAt = m_now + i * Duration { 450 };
            m_model.observe({ "watch", "fragile" }, 0.5, {}, seenAt);
            m_model.observe({ "watch", "fragile" }, 3, { { "batch", 7 } }, seenAt);
        }
        m_limits.maxOverTarget = 0.5;
        EXPECT_EQ(choose(bestEffort), nullptr);
        m_registry.add(host, { "job", 0, 0, 0 }, 1, bestEffort, HostRun::Stage::Ordered);
        host.forecastsAreStale = true;
        EXPECT_EQ(choose(bestEffort), nullptr);
    }

    // Guards against repeated refused starts on a host whose agent pauses best-effort tasks.
    TEST_F(HostChooserTest, bestEffortTask_justRefusedByTheAgent_isPlacedElsewhere)
    {
        HostState& a = addHost("a", 64'000);
        addHost("b", 32'000);
        StepSpec bestEffort = step(7000);
        bestEffort.bestEffort = true;
        ASSERT_EQ(choose(bestEffort)->name, "a");
        a.bestEffortRefusedAt = m_now;
        EXPECT_EQ(choose(bestEffort)->name, "b");
        a.bestEffortRefusedAt = m_now - Duration { 1000 };
        EXPECT_EQ(choose(bestEffort)->name, "a");
    }

    // Guards against starts on hosts that drain, do not respond, lack the label or are in a closed data centre.
    TEST_F(HostChooserTest, unusableHosts_areNotChosen)
    {
        HostState& a = addHost("a", 64'000);
        EXPECT_NE(choose(step(1000)), nullptr);
        a.last.draining = true;
        EXPECT_EQ(choose(step(1000)), nullptr);
        a.last.draining = false;
        a.last.silent = true;
        EXPECT_EQ(choose(step(1000)), nullptr);
        a.last.silent = false;
        a.last.dataCentre = "out";
        m_closed = { "out" };
        EXPECT_EQ(choose(step(1000)), nullptr);
        m_closed.clear();
        StepSpec labelled = step(1000);
        labelled.requiredLabel = "other";
        EXPECT_EQ(choose(labelled), nullptr);
        a.reportedAt = m_now - Duration { 2000 };
        EXPECT_EQ(choose(step(1000)), nullptr);
    }

    // Guards against a log that gives the wrong reason for a task that waits.
    TEST_F(HostChooserTest, rejection_hostLacksSomething_namesWhatIsMissing)
    {
        HostState& host = addHost("a", 8000);
        const auto rejection = [&](const StepSpec& spec, const PlacementConstraints& constraints) {
            const PlacementContext context { m_registry.hosts(), m_closed, [](const std::string&) { return false; },
                m_now, Duration { 1500 }, m_model };
            return rejectionOf(host, spec, constraints, context, m_limits);
        };
        const PlacementConstraints any { "service", "", {}, "" };
        EXPECT_EQ(rejection(step(8000), any), HostRejection::None);
        EXPECT_EQ(rejection(step(8001), any), HostRejection::Processors);
        EXPECT_EQ(rejection(step(1000), { "other", "", {}, "" }), HostRejection::OtherKind);
        StepSpec spec = step(1000);
        spec.resources.memoryMib = 100'001;
        EXPECT_EQ(rejection(spec, any), HostRejection::Memory);
        spec = step(1000);
        spec.maxPerHost = 1;
        EXPECT_EQ(rejection(spec, { "service", "", { { "a", 1 } }, "" }), HostRejection::HostLimit);
        spec = step(11'000);
        spec.bestEffort = true;
        EXPECT_EQ(rejection(spec, any), HostRejection::BestEffortLimits);
        host.last.draining = true;
        EXPECT_EQ(rejection(step(1000), any), HostRejection::Unusable);
    }

    // Guards against more tasks of a step on one host than the step allows.
    TEST_F(HostChooserTest, step_atItsHostLimit_isPlacedElsewhere)
    {
        addHost("a", 8000);
        addHost("b", 64'000);
        StepSpec spec = step(1000);
        spec.maxPerHost = 1;
        EXPECT_EQ(choose(spec, { "service", "", { { "a", 1 } }, "" })->name, "b");
        EXPECT_EQ(choose(spec, { "service", "", { { "a", 1 }, { "b", 1 } }, "" }), nullptr);
    }

    // Guards against placing a task outside its data rack although a host there has capacity, and against waiting for
    // that rack.
    TEST_F(HostChooserTest, dataRack_isPreferredAndNotRequired)
    {
        addHost("a", 8000);
        addHost("b", 64'000);
        StepSpec spec = step(1000);
        spec.dataRack = "rack-b";
        EXPECT_EQ(choose(spec)->name, "b");
        spec.dataRack = "rack-c";
        EXPECT_NE(choose(spec), nullptr);
    }

} // namespace
} // namespace hemlocklead::dispatch
