#include "dispatch/HostChooser.h"
#include "dispatch/PaceControl.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>

namespace hemlocklead::dispatch {
namespace {

    /// Load pattern: serving tasks beside tasks that fill, of which some images disturb some others heavily.
    class HarmTest : public testing::Test {
    protected:
        /// Looks for `time`; the tail is `disturbed` while the task that fills runs at full pace.
        std::vector<PaceOrder> look(Duration time, double disturbed, double calm)
        {
            std::vector<PaceOrder> orders;
            const Instant end = m_now + time;
            while (m_now < end) {
                const double ratio = m_control.pace("fill") > 0 ? disturbed : calm;
                for (const PaceOrder& order :
                    m_control.update({ { "serve", "s", ratio } }, { { "fill", "f", 8 } }, m_now))
                    orders.push_back(order);
                m_now += Duration { 450 };
            }
            return orders;
        }

        Instant m_now { Duration { 1'000'000 } };
        PaceControl m_control { {} };
    };

    // Guards against HARM: a serving task that is over its target for 4 s while what disturbs it works on.
    TEST_F(HarmTest, servingTask_overItsTarget_holdsTheOffenderInTime)
    {
        look(Duration { 4000 }, 0.4, 0.4);
        const Instant over = m_now;
        while (m_control.pace("fill") > 0 && m_now - over < Duration { 6000 })
            look(Duration { 450 }, 3.0, 0.4);
        // Figures lag by half a second, and a hold shows after another half.
        EXPECT_LE(m_now - over, Duration { 3000 });
        const std::vector<PaceOrder> later = look(Duration { 1000 }, 3.0, 0.4);
        ASSERT_FALSE(later.empty());
        EXPECT_EQ(later[0], (PaceOrder { "fill", 100 }));
    }

    // Guards against HARM when everything comes late: the figure shows the tail after half a second, looks are 0.6 s
    // apart, and the offender is an image that is thought to be harmless.
    TEST_F(HarmTest, servingTask_disturbedByAnImageThoughtHarmless_isHeldBeforeFourSeconds)
    {
        m_control.setDisturbance("s", "f", 0);
        look(Duration { 3000 }, 0.4, 0.4);
        const Instant over = m_now - Duration { 599 };
        while (m_control.pace("fill") > 0 && m_now - over < Duration { 6000 }) {
            const double shown = m_now - over < Duration { 500 } ? 0.4 : 3.0;
            m_control.update({ { "serve", "s", shown } }, { { "fill", "f", 8 } }, m_now);
            m_now += Duration { 600 };
        }
        EXPECT_LT(m_now - Duration { 600 } - over, Duration { 3700 });
    }

    // Guards against HARM from tasks that start one after the other on a host whose tasks are held: each starts at full
    // pace and would disturb until the next look.
    TEST_F(HarmTest, fillingTask_toStartWhileOthersAreHeld_isHeldToo)
    {
        const FillingTask next { "next", "f", 8 };
        look(Duration { 3000 }, 0.4, 0.4);
        EXPECT_FALSE(m_control.holds(next, m_now));
        look(Duration { 3000 }, 3.0, 3.0);
        EXPECT_TRUE(m_control.holds(next, m_now));
        EXPECT_TRUE(m_control.isHolding());
        look(Duration { 900 }, 0.4, 0.4);
        EXPECT_FALSE(m_control.holds(next, m_now));
        EXPECT_FALSE(m_control.isHolding());
    }

    // Guards against HARM by a tail that is so far over its target that it takes a second to fall.
    TEST_F(HarmTest, servingTask_farOverItsTarget_holdsEarlier)
    {
        look(Duration { 3000 }, 0.4, 0.4);
        const Instant over = m_now;
        while (m_control.pace("fill") > 0 && m_now - over < Duration { 6000 })
            look(Duration { 450 }, 12, 0.4);
        EXPECT_LE(m_now - over, Duration { 2000 });
    }

    // Guards against throughput lost to a short spike.
    TEST_F(HarmTest, servingTask_shortSpike_holdsNothing)
    {
        look(Duration { 4000 }, 0.4, 0.4);
        look(Duration { 1000 }, 2.0, 0.4);
        EXPECT_TRUE(look(Duration { 4000 }, 0.4, 0.4).empty());
    }

    /// Load pattern: serving tasks of one image on two hosts. Their users' load rises and falls; on one host a filling
    /// image works beside them.
    class DisturbanceModelTest : public testing::Test {
    protected:
        /// Looks at both hosts for `time`; each core beside a serving task takes `taken` from its headroom.
        void look(Duration time, double taken)
        {
            const Instant end = m_now + time;
            for (; m_now < end; m_now += Duration { 225 }) {
                const double quiet = quietHeadroom();
                m_model.observe("serve", 1 / quiet, {}, m_now);
                m_model.observe("serve", 1 / std::max(quiet - taken * cores, 0.08), { { "fill", cores } }, m_now);
            }
        }

        /// Between a third over and nearly four times the target's headroom, over 20 s.
        double quietHeadroom() const
        {
            const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
            return 2.5 + 1.1 * std::sin(seconds * 2 * std::numbers::pi / 20);
        }

        double overProbability(double fillingCores) const
        {
            return m_model.forecast("serve", { { "fill", fillingCores } }).overProbability();
        }

        static constexpr double cores = 8;
        Instant m_now { Duration { 1'000'000 } };
        DisturbanceModel m_model;
    };

    // Guards against blame for the users' own load that falls on an image that does no harm.
    TEST_F(DisturbanceModelTest, quietHeadroom_fallsWithTheUsersLoad_isNotLaidOnTheFillingImage)
    {
        look(Duration { 20'000 }, 0);
        EXPECT_LT(m_model.pair("serve", "fill").taken, DisturbanceModel::priorTaken / 5);
        EXPECT_LT(overProbability(cores), 0.2);
    }

    // Guards against placing beside a serving task what pushes it over its target; few looks must be enough.
    TEST_F(DisturbanceModelTest, fillingImage_takesTheHeadroom_isKnownAfterTwoSeconds)
    {
        look(Duration { 2000 }, 0.3);
        EXPECT_NEAR(m_model.pair("serve", "fill").taken, 0.3, 0.1);
        EXPECT_GT(overProbability(cores), 0.5);
    }

    // Guards against a pair that keeps its first figure although it has changed.
    TEST_F(DisturbanceModelTest, pair_changes_isLearnedAgain)
    {
        look(Duration { 20'000 }, 0.3);
        look(Duration { 10'000 }, 0);
        EXPECT_LT(m_model.pair("serve", "fill").taken, DisturbanceModel::priorTaken);
    }

    // Guards against blame that falls on an image that was seen to do no harm.
    TEST_F(DisturbanceModelTest, harm_seenWithAndWithoutAnImage_isLaidOnTheOther)
    {
        for (int i = 0; i < 20; ++i, m_now += Duration { 450 })
            m_model.observe("serve", 0.4, { { "calm", 8 } }, m_now);
        for (int i = 0; i < 8; ++i, m_now += Duration { 450 })
            m_model.observe("serve", 3.0, { { "calm", 8 }, { "bad", 8 } }, m_now);
        EXPECT_GT(m_model.pair("serve", "bad").taken, 2 * m_model.pair("serve", "calm").taken);
        EXPECT_GT(m_model.pair("serve", "bad").taken * 8, 0.5);
    }

    // Guards against a figure of another writer that is no tail.
    TEST_F(DisturbanceModelTest, tail_notKnown_teachesNothing)
    {
        m_model.observe("serve", 0, { { "fill", 8 } }, m_now);
        m_model.observe("serve", -1, { { "fill", 8 } }, m_now);
        EXPECT_EQ(m_model.pair("serve", "fill").taken, DisturbanceModel::priorTaken);
    }

    class HostChooserTest : public testing::Test {
    protected:
        HostState& addHost(const std::string& name, int64_t cpu)
        {
            HostState& host = m_book.host(name);
            host.connected = true;
            host.reported = true;
            host.reportedAt = m_now;
            host.last.life = 1;
            host.last.service = "service";
            host.last.rack = "rack-" + name;
            host.last.labels = { "kind", "rack-" + name };
            host.last.capacity = { cpu, 100'000, 0 };
            return host;
        }

        const HostState* choose(const StepSpec& step, const PlacementConstraints& needs = { "service", "", {}, "" })
        {
            for (auto& [name, host] : m_book.hosts())
                host.refreshForecasts(m_model);
            const PlacementContext view { m_book.hosts(), m_closed, [](const std::string&) { return false; }, m_now,
                Duration { 1500 }, m_model };
            return chooseHost(step, needs, view, m_limits);
        }

        static StepSpec step(int64_t cpu)
        {
            StepSpec spec;
            spec.resources = { cpu, 100, 0 };
            return spec;
        }

        Instant m_now { Duration { 1'000'000 } };
        HostRegistry m_book;
        BestEffortLimits m_limits { false, 100 };
        DisturbanceModel m_model;
        std::set<std::string> m_closed;
    };

    // Load pattern: many short tasks between large lasting ones. Guards against holes that are too small for a large
    // task although enough is free.
    TEST_F(HostChooserTest, shortTask_severalHostsFit_takesTheSmallestHole)
    {
        addHost("a", 64'000);
        HostState& b = addHost("b", 64'000);
        m_book.add(b, { "job", 0, 0, 0 }, 1, step(60'000), HostRun::Stage::Ordered);
        EXPECT_EQ(choose(step(1000))->name, "b");
        EXPECT_EQ(choose(step(8000))->name, "a");
    }

    // Load pattern: filling tasks beside serving ones. Guards against a task that disturbs a serving task although a
    // host is there whose tasks it does not disturb.
    TEST_F(HostChooserTest, fillingTask_avoidsHostsWhoseServingTasksItDisturbs)
    {
        StepSpec serving = step(10'000);
        serving.longRunning = true;
        HostState& a = addHost("a", 64'000);
        HostState& b = addHost("b", 64'000);
        serving.image = "fragile";
        m_book.add(a, { "watch", 0, 0, 0 }, 1, serving, HostRun::Stage::Ordered);
        serving.image = "robust";
        m_book.add(b, { "watch", 0, 0, 1 }, 1, serving, HostRun::Stage::Ordered);
        m_book.add(b, { "watch", 0, 0, 2 }, 1, serving, HostRun::Stage::Ordered);
        for (int i = 0; i < 20; ++i) {
            const Instant seenAt = m_now + i * Duration { 450 };
            m_model.observe("fragile", 0.5, {}, seenAt);
            m_model.observe("fragile", 3, { { "batch", 7 } }, seenAt);
            m_model.observe("robust", 0.5, {}, seenAt);
            m_model.observe("robust", 0.5, { { "batch", 7 } }, seenAt);
        }
        StepSpec filling = step(7000);
        filling.bestEffort = true;
        filling.image = "batch";
        EXPECT_EQ(choose(filling)->name, "b");
        // With only the disturbed host left it waits, unless its job cannot.
        b.last.draining = true;
        m_limits.maxNewlyOverTarget = 0.5;
        EXPECT_EQ(choose(filling), nullptr);
        m_limits.maxNewlyOverTarget = 100;
        EXPECT_EQ(choose(filling)->name, "a");
    }

    // Guards against one refused start after the other on a host whose agent holds what fills.
    TEST_F(HostChooserTest, fillingTask_justRefusedByTheAgent_goesElsewhere)
    {
        HostState& a = addHost("a", 64'000);
        addHost("b", 32'000);
        StepSpec filling = step(7000);
        filling.bestEffort = true;
        ASSERT_EQ(choose(filling)->name, "a");
        a.bestEffortRefusedAt = m_now;
        EXPECT_EQ(choose(filling)->name, "b");
        a.bestEffortRefusedAt = m_now - Duration { 1000 };
        EXPECT_EQ(choose(filling)->name, "a");
    }

    // Guards against starts on hosts that are out, leave, are silent or lack the label.
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

    // Guards against more tasks of a step on one host than it allows.
    TEST_F(HostChooserTest, step_atItsHostLimit_goesElsewhere)
    {
        addHost("a", 8000);
        addHost("b", 64'000);
        StepSpec spec = step(1000);
        spec.maxPerHost = 1;
        EXPECT_EQ(choose(spec, { "service", "", { { "a", 1 } }, "" })->name, "b");
        EXPECT_EQ(choose(spec, { "service", "", { { "a", 1 }, { "b", 1 } }, "" }), nullptr);
    }

    // Guards against work far from its data although a host of its rack has room, and against waiting for that rack.
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
