#include "support/ThinLink.h"
#include "dispatch/Dispatcher.h"
#include "dispatch/HostAgent.h"
#include "dispatch/Ownership.h"
#include "protocol/Codec.h"
#include "protocol/ReportPacking.h"
#include "support/FixedWallClock.h"
#include "support/QueuedStore.h"

#include <gtest/gtest.h>

namespace hemlocklead::dispatch {
namespace {

    /// A worker that accepts all starts. A payload is the duration of the task in milliseconds; with 0 it runs for
    /// good.
    class ModelWorker final : public WorkerPort {
    public:
        ModelWorker(ManualTimers& timers, const Clock& clock)
            : m_timers(timers)
            , m_clock(clock)
        {
        }

        void start(
            const WorkerIncarnation&, const RunOrder& order, int64_t, std::function<void(WorkerAnswer)> done) override
        {
            ++starts;
            m_running.insert_or_assign(order.task, Run { order.attempt, m_clock.now(), std::stoll(order.payload) });
            if (const Duration length { std::stoll(order.payload) }; length.count() > 0)
                m_timers.after(length, [this, task = order.task, attempt = order.attempt] { end(task, attempt); });
            done({ WorkerAnswer::Status::Done, {} });
        }

        void stop(const WorkerIncarnation&, const RunStop& stop, std::function<void(WorkerAnswer)> done) override
        {
            if (const auto run = m_running.find(stop.task);
                run != m_running.end() && run->second.attempt == stop.attempt)
                addEnd(stop.task, "stopped");
            done({ WorkerAnswer::Status::Done, {} });
        }

        void setSpeed(
            const WorkerIncarnation&, const RunStop&, int64_t, std::function<void(WorkerAnswer)> done) override
        {
            done({ WorkerAnswer::Status::Done, {} });
        }

        void poll(const WorkerIncarnation&, const WorkerPoll& poll, std::function<void(WorkerState)> done) override
        {
            std::erase_if(m_ends, [&](const RunEnd& end) { return end.number <= poll.acknowledgedEnds; });
            const uint64_t number = ++m_poll;
            m_answer = std::move(done);
            m_timers.after(m_ends.empty() ? poll.wait : Duration { 1 }, [this, number] {
                if (number == m_poll)
                    answer();
            });
        }

        int starts { 0 };

    private:
        struct Run {
            uint32_t attempt;
            Instant startedAt;
            int64_t lengthMs;
        };

        void end(const std::string& task, uint32_t attempt)
        {
            if (const auto run = m_running.find(task); run != m_running.end() && run->second.attempt == attempt)
                addEnd(task, "done");
        }

        void addEnd(const std::string& task, const std::string& reason)
        {
            m_ends.push_back({ ++m_lastEnd, task, m_running.at(task).attempt, reason, "" });
            m_running.erase(task);
            answer();
        }

        void answer()
        {
            if (!m_answer)
                return;
            const int64_t now = m_clock.now().time_since_epoch().count();
            WorkerState state { WorkerState::Status::Ok, 1, now, {}, m_ends };
            for (const auto& [task, run] : m_running) {
                const int64_t elapsed = (m_clock.now() - run.startedAt).count();
                const int64_t percent = run.lengthMs > 0 ? 100 * elapsed / run.lengthMs : 100;
                state.running.push_back({ { task, run.attempt, "", percent }, 10 + now / 450 % 17 });
            }
            std::exchange(m_answer, nullptr)(state);
        }

        ManualTimers& m_timers;
        const Clock& m_clock;
        std::map<std::string, Run> m_running;
        std::vector<RunEnd> m_ends;
        uint64_t m_lastEnd { 0 };
        uint64_t m_poll { 0 };
        std::function<void(WorkerState)> m_answer;
    };

    /// An entry that owns the jobs of 15 hosts over a link of 2 Mbit/s, and a second one that could claim.
    class ThinSite final : OrderSender {
    public:
        /// `legacy`: hosts and entries speak the messages and records of the builds before packing.
        explicit ThinSite(bool legacy)
            : m_legacy(legacy)
        {
            m_store.answerTime = Duration { 4 };
            for (int i = 0; i < hostCount; ++i)
                append(hostKey(hostName(i)), hostValue({ "127.0.0.1:1", 1 }));
            for (const char* entry : { "entry-1", "entry-2" })
                append(entryKey(entry), entryValue({ 1, 0.12, legacy ? 0 : recordFormatVersion }));
            m_registry.setListener(&m_dispatcher);
            m_dispatcher.setClosedDataCentres({});
            m_follower.start();
            run(Duration { 300 });
            m_otherFollower.start();
            for (int i = 0; i < hostCount; ++i)
                m_hosts.push_back(std::make_unique<Host>(*this, hostName(i)));
            for (const auto& host : m_hosts)
                host->connect();
            run(Duration { 1000 });
        }

        void run(Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration { 25 }) {
                m_timers.run(Duration { 25 });
                m_elapsed += Duration { 25 };
                if (m_elapsed.count() % 100 == 0) {
                    m_ownership.tick();
                    if (m_otherFollower.isCaughtUp())
                        m_otherOwnership.tick();
                }
                m_dispatcher.runCycle();
            }
        }

        /// Submits a job of `steps` steps, one after the other, with `tasks` tasks of `lengthMs` each; 0 for good.
        void submit(uint32_t steps, uint32_t tasks, int64_t lengthMs)
        {
            JobSpec spec;
            spec.payload = std::to_string(lengthMs);
            for (uint32_t i = 0; i < steps; ++i) {
                StepSpec step;
                step.tasks = tasks;
                step.resources = { 10, 10, 0 };
                step.longRunning = lengthMs == 0;
                step.tailTargetMs = lengthMs == 0 ? 50 : 0;
                step.image = "image-" + std::to_string(m_jobs % 16);
                if (i > 0)
                    step.after = { i - 1 };
                spec.steps.push_back(std::move(step));
            }
            QueuePolicy policy { "queue", "service", 0, 3, 2, Duration { 300 }, false };
            append(jobKey("5c0e7a21d94b" + std::to_string(1000 + m_jobs++)), jobValue(policy, spec));
        }

        bool isOwned() const { return m_ownership.isOwner(); }
        Duration inboundQueue() const { return m_link.in.queueTime(); }

        int starts() const
        {
            int starts = 0;
            for (const auto& host : m_hosts)
                starts += host->worker.starts;
            return starts;
        }

    private:
        static constexpr int hostCount = 15;
        static constexpr double linkBytesPerSecond = 250'000;

        struct Host final : ReportSender {
            Host(ThinSite& parent, std::string hostName)
                : site(parent)
                , name(std::move(hostName))
                , worker(parent.m_timers, parent.m_clock)
                , agent(worker, *this, parent.m_client, parent.m_timers, parent.m_clock, counters, { .host = name })
            {
                agent.start();
                parent.m_timers.run(Duration { 10 });
                agent.handleAnnouncement(
                    { 1, 1, "service", "a", "r1", { "a", "r1" }, { 100'000, 100'000, 0 }, false, 0 });
            }

            void connect()
            {
                site.m_dispatcher.hostConnected(name);
                agent.handleOwnerConnected();
                HostOrders first;
                first.epoch = site.m_writer.epoch();
                first.readsPackedReports = !site.m_legacy;
                agent.handleOrders(first);
            }

            void send(const HostReport& report) override
            {
                if (site.m_legacy)
                    return transmit(encodeFrame(report).size(), report);
                const PackedHostReport packed = packer.pack(report);
                transmit(encodeFrame(packed).size(), *unpacker.unpack(packed));
            }

            void transmit(size_t bytes, const HostReport& report)
            {
                site.m_link.in.send(bytes, [this, report] {
                    ++reportsRead;
                    site.m_dispatcher.hostReported(name, report);
                });
            }

            ThinSite& site;
            std::string name;
            Counters counters;
            ModelWorker worker;
            HostReportPacker packer;
            HostReportUnpacker unpacker;
            uint64_t reportsRead { 0 };
            HostAgent agent;
        };

        static std::string hostName(int index) { return "side-muscat-a-" + std::to_string(index); }

        void send(const std::string& name, HostOrders orders) override
        {
            const auto host = std::ranges::find(m_hosts, name, [](const auto& entry) { return entry->name; });
            if (host == m_hosts.end())
                return;
            orders.reportsRead = (*host)->reportsRead;
            m_link.out.send(
                encodeFrame(orders).size(), [agent = &(*host)->agent, orders] { agent->handleOrders(orders); });
        }

        void append(const std::string& key, const std::string& value)
        {
            m_callers.append({ { key, value, 0 } }, std::nullopt, Duration { 1000 }, [](AppendStatus) {});
        }

        bool m_legacy;
        ManualClock m_clock;
        ManualTimers m_timers { m_clock };
        Duration m_elapsed { 0 };
        int m_jobs { 0 };
        MachineLink m_link { m_timers, m_clock, linkBytesPerSecond };
        QueuedStore m_store { m_timers, m_clock };
        QueuedStore::Client m_callers { m_store };
        QueuedStore::Client m_client { m_store };
        LinkedJournal m_journal { m_client, m_link, m_timers };
        Counters m_counters;
        FixedWallClock m_wallClock;
        JobRegistry m_registry { m_clock, m_counters };
        JournalFollower m_follower { m_journal, m_timers, m_clock, m_registry, { .minReadInterval = Duration { 20 } } };
        JournalWriter m_writer { m_journal, m_timers, m_clock, {} };
        Dispatcher m_dispatcher { m_registry, m_follower, m_writer, *this, m_clock, m_wallClock, m_counters, {} };
        Ownership m_ownership { m_registry, m_follower, m_journal, m_writer, m_clock, m_counters,
            { .entry = "entry-1", .incarnation = 1 },
            { [this](uint64_t, bool stopped) { m_dispatcher.activate(stopped); },
                [this] { m_dispatcher.deactivate(); } } };

        JobRegistry m_otherRegistry { m_clock, m_counters };
        JournalFollower m_otherFollower { m_callers, m_timers, m_clock, m_otherRegistry, {} };
        JournalWriter m_otherWriter { m_callers, m_timers, m_clock, {} };
        Ownership m_otherOwnership { m_otherRegistry, m_otherFollower, m_callers, m_otherWriter, m_clock, m_counters,
            { .entry = "entry-2", .incarnation = 2 }, { [](uint64_t, bool) {}, [] {} } };
        std::vector<std::unique_ptr<Host>> m_hosts;
    };

    class ThinLinkTest : public testing::Test {
    protected:
        /// What happened to the owner in a play.
        struct Outcome {
            bool ownedThroughout { true };
            Duration longestQueue { 0 }; ///< On the owner's inbound link.
            Duration queueAfter { 0 }; ///< Five seconds after the burst.
            int starts { 0 };
            int startsExpected { 0 };
        };

        static void runAndObserve(ThinSite& site, Duration time, Outcome& outcome)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration { 100 }) {
                site.run(Duration { 100 });
                outcome.ownedThroughout &= site.isOwned();
                outcome.longestQueue = std::max(outcome.longestQueue, site.inboundQueue());
            }
        }

        /// Plays the small twin's calm day: 360 standing tasks, two jobs a second of two steps with 20 tasks, and a
        /// burst of 2.6 times as many for 6 s.
        static Outcome playBurst(bool legacy)
        {
            ThinSite site(legacy);
            Outcome outcome;
            for (int i = 0; i < 15; ++i)
                site.submit(1, 24, 0);
            outcome.startsExpected = 15 * 24;
            runAndObserve(site, Duration { 5000 }, outcome);
            const auto submitFor = [&](int seconds, int tenthsPerSecond) {
                for (int i = 0; i < seconds * tenthsPerSecond / 10; ++i) {
                    site.submit(2, 20, 1700);
                    outcome.startsExpected += 40;
                    runAndObserve(site, Duration { 10'000 / tenthsPerSecond }, outcome);
                }
            };
            submitFor(8, 20);
            submitFor(6, 52);
            submitFor(5, 20);
            outcome.queueAfter = site.inboundQueue();
            runAndObserve(site, Duration { 8000 }, outcome);
            outcome.starts = site.starts();
            return outcome;
        }
    };

    // Checks the model: with the messages of the builds before, the owner's link fills up, and an answer of the store
    // waits behind seconds of reports.
    TEST_F(ThinLinkTest, burst_withCompleteReports_fillsTheOwnersLink)
    {
        const Outcome outcome = playBurst(true);
        EXPECT_GT(outcome.longestQueue, Duration { 1000 });
    }

    // Load pattern: a burst of wide jobs at an owner with a link of 2 Mbit/s. Guards against a queue on that link that
    // outlives the burst, against an owner that loses the ownership to it, and against tasks that start twice.
    TEST_F(ThinLinkTest, burst_withPackedReports_ownerStaysAndTheQueueIsShort)
    {
        const Outcome outcome = playBurst(false);
        EXPECT_TRUE(outcome.ownedThroughout);
        EXPECT_LT(outcome.longestQueue, Duration { 500 });
        EXPECT_LT(outcome.queueAfter, Duration { 100 });
        EXPECT_EQ(outcome.starts, outcome.startsExpected);
    }

} // namespace
} // namespace hemlocklead::dispatch
