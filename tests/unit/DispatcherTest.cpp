#include "dispatch/Dispatcher.h"
#include "dispatch/JobDesk.h"
#include "dispatch/Ownership.h"
#include "support/ManualTimers.h"
#include "support/MemoryJournal.h"

#include <gtest/gtest.h>

namespace hemlocklead::dispatch {
namespace {

    class KeptOrders final : public HostSender {
    public:
        void send(const std::string& host, const HostOrders& orders) override
        {
            for (const RunOrder& start : orders.starts)
                starts.emplace_back(host, start);
            for (const RunStop& stop : orders.stops)
                stops.emplace_back(host, stop);
            acknowledged[host] = orders.acknowledgedEnds;
            ++messages;
        }

        std::vector<std::pair<std::string, RunOrder>> starts;
        std::vector<std::pair<std::string, RunStop>> stops;
        std::map<std::string, uint64_t> acknowledged;
        int messages { 0 };
    };

    class FixedCalendar final : public CalendarClock {
    public:
        int64_t unixMs() const override { return now; }

        int64_t now { 1'000'000 };
    };

    /// An entry's copy of the journal, with everything that may own the jobs.
    struct Entry {
        Entry(const std::string& name, MemoryJournal& journal, ManualTimers& delays, ManualClock& clock)
            : book(clock, counters)
            , follower(journal, delays, clock, book, {})
            , writer(journal, delays, clock, {})
            , dispatcher(book, writer, sender, clock, calendar, counters, {})
            , ownership(book, follower, writer, clock, { .entry = name, .incarnation = std::hash<std::string>()(name) },
                  { [this](uint64_t, bool stopped) { dispatcher.begin(stopped); },
                      [this] {
                          dispatcher.end();
                          follower.restart();
                      } })
        {
            book.setListener(&dispatcher);
            follower.start();
        }

        Counters counters;
        KeptOrders sender;
        FixedCalendar calendar;
        JobBook book;
        JournalFollower follower;
        JournalWriter writer;
        Dispatcher dispatcher;
        Ownership ownership;
    };

    class DispatcherTest : public testing::Test {
    protected:
        DispatcherTest()
        {
            append(hostKey("host-1"), hostValue({ "127.0.0.1:1", 1 }));
            append(hostKey("host-2"), hostValue({ "127.0.0.1:2", 1 }));
        }

        void append(const std::string& key, const std::string& value)
        {
            m_journal.append({ { key, value, 0 } }, std::nullopt, Duration { 0 }, [](AppendStatus) {});
        }

        /// Lets time pass; entries tick and hosts report as they do in a process.
        void run(Entry& entry, Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration { 25 }) {
                m_delays.run(Duration { 25 });
                entry.ownership.tick();
                entry.dispatcher.pass();
            }
        }

        void becomeOwner(Entry& entry)
        {
            run(entry, Duration { 200 });
            ASSERT_TRUE(entry.ownership.isOwner());
        }

        static HostReport reportOf(const std::string& host)
        {
            HostReport report;
            report.host = host;
            report.life = 77;
            report.clockMs = 1000;
            report.service = "service";
            report.dataCentre = host == "host-1" ? "a" : "b";
            report.capacity = { 8000, 8000, 0 };
            report.full = true;
            return report;
        }

        void connect(Entry& entry, const std::string& host)
        {
            entry.dispatcher.hostConnected(host);
            entry.dispatcher.hostReported(host, reportOf(host));
        }

        static StepSpec step(uint32_t tasks, int64_t cpu)
        {
            StepSpec spec;
            spec.tasks = tasks;
            spec.resources = { cpu, 100, 0 };
            return spec;
        }

        void submit(const std::string& id, std::vector<StepSpec> steps, int64_t attempts = 2)
        {
            QueueTerms terms;
            terms.queue = "queue";
            terms.service = "service";
            terms.maxAttempts = attempts;
            terms.stretch = 2;
            JobSpec spec;
            spec.payload = "payload";
            spec.steps = std::move(steps);
            append(jobKey(id), jobValue(terms, spec));
        }

        static RunEnd endOf(uint64_t number, const RunOrder& order, const std::string& reason)
        {
            return { number, order.task, order.attempt, reason, "" };
        }

        ManualClock m_clock;
        ManualTimers m_delays { m_clock };
        MemoryJournal m_journal;
    };

    // Guards against a run that no later owner knows of: the order must come after its record.
    TEST_F(DispatcherTest, start_recordNotDurable_isNotOrdered)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("job", { step(2, 1000) });
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 2u);

        submit("late", { step(1, 1000) });
        run(entry, Duration { 100 });
        m_journal.mode = MemoryJournal::Mode::Refusing;
        submit("refused", { step(1, 1000) });
        run(entry, Duration { 300 });
        EXPECT_EQ(entry.sender.starts.size(), 3u);
    }

    // Guards against lost ends: the worker forgets an acknowledged end, so its record must come first.
    TEST_F(DispatcherTest, end_recordNotDurable_isNotAcknowledged)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("job", { step(1, 1000) });
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 1u);

        m_journal.mode = MemoryJournal::Mode::Refusing;
        HostReport report = reportOf("host-1");
        report.ends = { endOf(1, entry.sender.starts[0].second, "done") };
        entry.dispatcher.hostReported("host-1", report);
        run(entry, Duration { 500 });
        EXPECT_EQ(entry.sender.acknowledged["host-1"], 0u);
        EXPECT_NE(entry.book.find("job")->shownPhase(), JobPhase::Completed);

        m_journal.mode = MemoryJournal::Mode::Normal;
        run(entry, Duration { 1500 });
        EXPECT_EQ(entry.sender.acknowledged["host-1"], 1u);
        EXPECT_EQ(entry.book.find("job")->shownPhase(), JobPhase::Completed);
    }

    // Guards against a step that starts before the one it needs.
    TEST_F(DispatcherTest, step_afterAnother_waitsForAllItsTasks)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        StepSpec second = step(1, 1000);
        second.after = { 0 };
        submit("job", { step(2, 1000), second });
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 2u);
        HostReport report = reportOf("host-1");
        report.running = { { entry.sender.starts[1].second.task, 1, "", 50 } };
        report.settledOrders = 2;
        report.ends = { endOf(1, entry.sender.starts[0].second, "done") };
        entry.dispatcher.hostReported("host-1", report);
        run(entry, Duration { 100 });
        EXPECT_EQ(entry.sender.starts.size(), 2u);
        report.running.clear();
        report.ends = { endOf(2, entry.sender.starts[1].second, "done") };
        entry.dispatcher.hostReported("host-1", report);
        run(entry, Duration { 100 });
        ASSERT_EQ(entry.sender.starts.size(), 3u);
        EXPECT_EQ(entry.sender.starts[2].second.task, "job.0.1.0");
    }

    // Guards against more runs than a queue allows after failures, and against a failed job that stays open.
    TEST_F(DispatcherTest, task_failedAsOftenAsAllowed_endsItsJob)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("job", { step(1, 1000) }, 2);
        for (uint64_t attempt = 1; attempt <= 2; ++attempt) {
            run(entry, Duration { 300 });
            ASSERT_EQ(entry.sender.starts.size(), attempt);
            HostReport report = reportOf("host-1");
            report.ends = { endOf(attempt, entry.sender.starts.back().second, "failed") };
            entry.dispatcher.hostReported("host-1", report);
        }
        run(entry, Duration { 1000 });
        EXPECT_EQ(entry.sender.starts.size(), 2u);
        EXPECT_EQ(entry.book.find("job")->shownPhase(), JobPhase::Failed);
    }

    // Guards against two runs of a task: a host that is out of touch may run it until its lease has ended.
    TEST_F(DispatcherTest, host_outOfTouch_taskMovesOnlyAfterTheLease)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("job", { step(1, 1000) });
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 1u);
        entry.dispatcher.hostDisconnected("host-1");
        connect(entry, "host-2");
        for (int i = 0; i < 48; ++i) {
            run(entry, Duration { 100 });
            entry.dispatcher.hostReported("host-2", reportOf("host-2"));
        }
        EXPECT_EQ(entry.sender.starts.size(), 1u);
        for (int i = 0; i < 10; ++i) {
            run(entry, Duration { 100 });
            entry.dispatcher.hostReported("host-2", reportOf("host-2"));
        }
        ASSERT_EQ(entry.sender.starts.size(), 2u);
        EXPECT_EQ(entry.sender.starts[1].first, "host-2");
        EXPECT_EQ(entry.sender.starts[1].second.attempt, 2u);
    }

    // Guards against runs on a cancelled job, also those that were recorded and not ordered yet.
    TEST_F(DispatcherTest, job_cancelled_isStoppedAndNothingStarts)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("job", { step(12, 1000) });
        run(entry, Duration { 150 });
        const size_t started = entry.sender.starts.size();
        ASSERT_EQ(started, 8u);
        append(cancelKey("job"), "{}");
        run(entry, Duration { 300 });
        EXPECT_EQ(entry.sender.stops.size(), started);
        EXPECT_EQ(entry.book.find("job")->shownPhase(), JobPhase::Cancelled);
        HostReport report = reportOf("host-1");
        for (size_t i = 0; i < started; ++i)
            report.ends.push_back(endOf(i + 1, entry.sender.starts[i].second, "stopped"));
        entry.dispatcher.hostReported("host-1", report);
        run(entry, Duration { 500 });
        EXPECT_EQ(entry.sender.starts.size(), started);
        EXPECT_EQ(entry.sender.acknowledged["host-1"], started);
    }

    // Guards against starts in a data centre that was taken out, also of runs that wait for their record.
    TEST_F(DispatcherTest, dataCentre_closed_getsNoStarts)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        connect(entry, "host-2");
        entry.dispatcher.setClosedDataCentres({ "a" });
        submit("job", { step(10, 1000) });
        run(entry, Duration { 200 });
        ASSERT_EQ(entry.sender.starts.size(), 8u);
        for (const auto& [host, start] : entry.sender.starts)
            EXPECT_EQ(host, "host-2");
    }

    // Guards against lost watches and lost progress on a change of owner, and against a run that is started twice: the
    // new owner adopts what hosts report and starts again only what is proved to be gone.
    TEST_F(DispatcherTest, newOwner_adoptsListedRunsAndRestartsTheOthers)
    {
        Entry first("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(first);
        connect(first, "host-1");
        submit("job", { step(2, 1000) });
        run(first, Duration { 150 });
        ASSERT_EQ(first.sender.starts.size(), 2u);

        Entry second("entry-2", m_journal, m_delays, m_clock);
        run(second, Duration { 2600 });
        ASSERT_TRUE(second.ownership.isOwner());
        second.dispatcher.hostConnected("host-1");
        HostReport report = reportOf("host-1");
        report.running = { { first.sender.starts[0].second.task, 1, "", 50 } };
        second.dispatcher.hostReported("host-1", report);
        run(second, Duration { 100 });
        ASSERT_EQ(second.sender.starts.size(), 1u);
        EXPECT_EQ(second.sender.starts[0].second.task, first.sender.starts[1].second.task);
        EXPECT_EQ(second.sender.starts[0].second.attempt, 2u);

        // The first owner is fenced and orders nothing more.
        submit("late", { step(1, 1000) });
        run(first, Duration { 1500 });
        EXPECT_FALSE(first.ownership.isOwner());
        EXPECT_EQ(first.sender.starts.size(), 2u);
    }

    // Load pattern: more work than fits. Guards against jobs in time that wait behind one that is late anyway.
    TEST_F(DispatcherTest, jobs_moreThanFit_thoseInTimeStartFirst)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        StepSpec whole = step(1, 8000);
        whole.estimateMs = 1000;
        submit("a-running", { whole });
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 1u);
        submit("b-late", { whole });
        run(entry, Duration { 1200 });
        submit("c-in-time", { whole });
        run(entry, Duration { 100 });
        HostReport report = reportOf("host-1");
        report.ends = { endOf(1, entry.sender.starts[0].second, "done") };
        entry.dispatcher.hostReported("host-1", report);
        run(entry, Duration { 100 });
        ASSERT_EQ(entry.sender.starts.size(), 2u);
        EXPECT_EQ(entry.sender.starts[1].second.task, "c-in-time.0.0.0");
    }

    // Guards against a failed run that counts twice: its end was recorded, and the worker lists it to the next owner
    // once more, since it was not acknowledged in time.
    TEST_F(DispatcherTest, end_recordedByTheFormerOwner_isNotCountedAgain)
    {
        Entry first("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(first);
        connect(first, "host-1");
        submit("job", { step(1, 1000) }, 2);
        run(first, Duration { 150 });
        ASSERT_EQ(first.sender.starts.size(), 1u);
        first.dispatcher.setClosedDataCentres({ "a" });
        HostReport report = reportOf("host-1");
        report.ends = { endOf(1, first.sender.starts[0].second, "failed") };
        first.dispatcher.hostReported("host-1", report);
        run(first, Duration { 150 });

        Entry second("entry-2", m_journal, m_delays, m_clock);
        run(second, Duration { 2600 });
        ASSERT_TRUE(second.ownership.isOwner());
        second.dispatcher.hostConnected("host-1");
        second.dispatcher.hostReported("host-1", report);
        run(second, Duration { 150 });
        EXPECT_EQ(second.book.find("job")->shownPhase(), JobPhase::Running);
        ASSERT_EQ(second.sender.starts.size(), 1u);
        EXPECT_EQ(second.sender.starts[0].second.attempt, 2u);
        EXPECT_EQ(second.sender.acknowledged["host-1"], 1u);
    }

    // Guards against a job that is recorded twice or lost when the store's answer is lost.
    TEST_F(DispatcherTest, appendAnswer_lost_isRepeatedUnderTheSameSequence)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("job", { step(1, 1000) });
        m_journal.mode = MemoryJournal::Mode::LosingAnswers;
        run(entry, Duration { 150 });
        const size_t recorded = m_journal.size();
        EXPECT_TRUE(entry.sender.starts.empty());
        m_journal.mode = MemoryJournal::Mode::Normal;
        run(entry, Duration { 400 });
        EXPECT_EQ(entry.sender.starts.size(), 1u);
        EXPECT_EQ(m_journal.size(), recorded);
    }

    // Guards against leases that a cut-off owner renews while its successor counts on their end.
    TEST_F(DispatcherTest, owner_cutFromStore_renewsNoLeaseAfterItsAuthority)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        m_journal.mode = MemoryJournal::Mode::Refusing;
        run(entry, Duration { 8500 });
        const int sent = entry.sender.messages;
        run(entry, Duration { 2000 });
        EXPECT_EQ(entry.sender.messages, sent);
    }

    // Guards against a copy that misses jobs after the store has dropped its history, and against pages read in part.
    TEST_F(DispatcherTest, follower_historyLost_readsTheNewestRecordsAgain)
    {
        for (int i = 0; i < 7; ++i)
            submit("job-" + std::to_string(i), { step(1, 1000) });
        m_journal.pageSize = 3;
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        m_delays.run(Duration { 50 });
        EXPECT_EQ(entry.book.jobs().size(), 7u);
        m_journal.mode = MemoryJournal::Mode::Refusing;
        m_delays.run(Duration { 300 });
        m_journal.mode = MemoryJournal::Mode::Normal;
        submit("job-7", { step(1, 1000) });
        append(hostKey("host-3"), hostValue({ "127.0.0.1:3", 1 }));
        m_journal.firstRetained = m_journal.size();
        m_delays.run(Duration { 500 });
        EXPECT_EQ(entry.book.jobs().size(), 8u);
        EXPECT_TRUE(entry.follower.isCaughtUp());
    }

    // Guards against a record of another writer that ends a process or hides the records after it.
    // Guards against an owner that keeps the ownership and decides nothing more, after the store has dropped the
    // history that it had not read (soak seed 29).
    TEST_F(DispatcherTest, owner_historyLost_claimsAnewAndGoesOn)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        becomeOwner(entry);
        connect(entry, "host-1");
        submit("before", { step(1, 1000) });
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 1u);
        submit("after", { step(1, 1000) });
        m_journal.firstRetained = m_journal.size();
        run(entry, Duration { 1000 });
        ASSERT_TRUE(entry.ownership.isOwner());
        entry.dispatcher.hostConnected("host-1");
        HostReport report = reportOf("host-1");
        report.running = { { "before.0.0.0", 1, "", 50 } };
        entry.dispatcher.hostReported("host-1", report);
        run(entry, Duration { 150 });
        ASSERT_EQ(entry.sender.starts.size(), 2u);
        EXPECT_EQ(entry.sender.starts[1].second.task, "after.0.0.0");
    }

    // Guards against a second run of a task: a claimant that reads the journal anew finds its claim on an early page
    // and the runs that exist on a later one.
    TEST_F(DispatcherTest, claimant_readsJournalAnew_decidesOnlyWhenAllIsRead)
    {
        append(std::string(ownerKey), ownerValue({ 1000, "entry-1", 1, false }));
        submit("job", { step(1, 1000) });
        append(stateKey("job"), R"({"epoch": 1000, "phase": 1, "tasks": [[0, 0, 0, 1, 1, 0, "host-1", 77]]})");
        Entry second("entry-2", m_journal, m_delays, m_clock);
        // Stops between the claim and the next read.
        while (m_journal.value(std::string(ownerKey)).find("entry-2") == std::string::npos) {
            m_delays.run(Duration { 1 });
            second.ownership.tick();
        }
        m_journal.pageSize = 1;
        m_journal.pagesLeft = 4; // host-1, host-2, job, owner
        m_journal.firstRetained = m_journal.size();
        run(second, Duration { 200 });
        EXPECT_FALSE(second.ownership.isOwner());
        m_journal.pagesLeft.reset();
        run(second, Duration { 300 });
        ASSERT_TRUE(second.ownership.isOwner());
        connect(second, "host-2");
        run(second, Duration { 300 });
        EXPECT_TRUE(second.sender.starts.empty());
    }

    TEST_F(DispatcherTest, journal_unreadableRecords_areSkippedAndCounted)
    {
        append(jobKey("bad-1"), "{");
        append(jobKey("bad-2"), R"({"terms": 5, "spec": []})");
        append(stateKey("bad-3"), R"({"tasks": [["x"]], "phase": "a"})");
        append("unknown/key", "{}");
        submit("good", { step(1, 1000) });
        append(stateKey("good"), R"({"epoch": 1, "phase": 99, "tasks": [[0, 9, 9, 1, 1, 0], 7]})");
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        m_delays.run(Duration { 50 });
        ASSERT_NE(entry.book.find("good"), nullptr);
        EXPECT_EQ(entry.book.find("bad-1"), nullptr);
        EXPECT_GE(entry.counters.value("journal_records_skipped"), 3);
    }

    // Guards against an answer that says "not run" of a job that may have been recorded.
    TEST_F(DispatcherTest, submit_storeRefusesOrLosesAnswer_isToldApart)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        JobDesk desk(entry.book, entry.follower, m_journal, m_delays, m_clock, entry.counters, {});
        QueueTerms terms;
        terms.queue = "queue";
        JobSpec spec;
        spec.steps = { step(1, 1000) };
        std::optional<DeskAnswer> answer;
        const auto keep = [&](DeskAnswer given) { answer = given; };
        m_delays.run(Duration { 50 });
        m_journal.mode = MemoryJournal::Mode::Refusing;
        desk.submit("job-1", terms, spec, m_clock.now() + Duration { 3000 }, keep);
        EXPECT_EQ(answer, DeskAnswer::NotDone);

        answer.reset();
        m_journal.mode = MemoryJournal::Mode::LosingAnswers;
        desk.submit("job-2", terms, spec, m_clock.now() + Duration { 1000 }, keep);
        m_delays.run(Duration { 300 });
        m_journal.mode = MemoryJournal::Mode::Refusing;
        m_delays.run(Duration { 1000 });
        EXPECT_EQ(answer, DeskAnswer::Unknown);
    }

    // Load pattern: the store turns one entry away and serves the others. Guards against callers that are held until
    // their deadline although the entry knows that it cannot record anything.
    TEST_F(DispatcherTest, submit_storeAway_isRefusedAtOnce)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        JobDesk desk(entry.book, entry.follower, m_journal, m_delays, m_clock, entry.counters, {});
        JobSpec spec;
        spec.steps = { step(1, 1000) };
        std::optional<DeskAnswer> answer;
        const auto keep = [&](DeskAnswer given) { answer = given; };
        m_delays.run(Duration { 50 });
        m_journal.mode = MemoryJournal::Mode::Refusing;
        m_delays.run(Duration { 2000 });
        const int appends = m_journal.appends;
        m_journal.mode = MemoryJournal::Mode::LosingAnswers;
        desk.submit("job-1", {}, spec, m_clock.now() + Duration { 3000 }, keep);
        EXPECT_EQ(answer, DeskAnswer::NotDone);
        EXPECT_EQ(m_journal.appends, appends);
    }

    // Guards against "no such job" from an entry whose view is too old to know.
    TEST_F(DispatcherTest, phase_viewTooOld_isNotReadyInsteadOfNoSuchJob)
    {
        Entry entry("entry-1", m_journal, m_delays, m_clock);
        JobDesk desk(entry.book, entry.follower, m_journal, m_delays, m_clock, entry.counters, {});
        JobPhase phase {};
        m_delays.run(Duration { 200 });
        EXPECT_EQ(desk.phase("none", phase), DeskAnswer::NoSuchJob);
        m_journal.mode = MemoryJournal::Mode::Refusing;
        m_delays.run(Duration { 3000 });
        EXPECT_EQ(desk.phase("none", phase), DeskAnswer::NotReady);
    }

} // namespace
} // namespace hemlocklead::dispatch
