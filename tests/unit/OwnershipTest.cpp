#include "dispatch/Ownership.h"
#include "support/QueuedStore.h"

#include <gtest/gtest.h>

#include <random>

namespace hemlocklead::dispatch {
namespace {

    /// An entry of which only the follower and the ownership run.
    class Entry {
    public:
        Entry(std::string name, double processorShare, QueuedStore& store, ManualTimers& timers, ManualClock& clock)
            : m_name(std::move(name))
            , m_client(store)
            , m_registry(clock, m_counters)
            , m_follower(m_client, timers, clock, m_registry, { .minReadInterval = Duration { 120 } })
            , m_writer(m_client, timers, clock, {})
            , m_ownership(m_registry, m_follower, m_client, m_writer, clock, m_counters,
                  { .entry = m_name, .incarnation = incarnation() },
                  { [](uint64_t, bool) {}, [this] { m_follower.restart(); } })
        {
            m_follower.start();
            m_client.append({ { entryKey(m_name), entryValue({ incarnation(), processorShare }), 0 } }, std::nullopt,
                Duration { 1000 }, [](AppendStatus) {});
        }

        void tick()
        {
            if (m_suspended)
                return;
            if (m_stopping && m_writer.isIdle())
                release();
            else if (!m_stopping && !m_stopped)
                m_ownership.tick();
        }

        /// Ends the process: nothing that it sends arrives, and it does nothing more.
        void kill()
        {
            m_stopped = true;
            m_client.silent = true;
        }

        /// Suspends the process: it neither checks the ownership nor reaches the store.
        void setSuspended(bool suspended)
        {
            m_suspended = suspended;
            m_client.silent = suspended;
        }

        /// Releases the ownership, if it is the owner, once no append is in flight, and ends the process.
        void stop()
        {
            m_stopping = m_ownership.isOwner() && !m_writer.isIdle();
            if (!m_stopping)
                release();
        }

        void submit(const std::string& id)
        {
            m_client.append({ { jobKey(id), jobValue({}, { "payload", { StepSpec() } }), 0 } }, std::nullopt,
                Duration { 700 }, [](AppendStatus) {});
        }

        bool isOwner() const { return !m_stopped && m_ownership.isOwner(); }
        bool isRunning() const { return !m_stopped; }
        QueuedStore::Client& client() { return m_client; }
        const std::string& name() const { return m_name; }

    private:
        /// Exact as a JSON number.
        uint64_t incarnation() const { return std::hash<std::string>()(m_name) & 0xffffffff; }

        void release()
        {
            m_stopping = false;
            m_ownership.release([this] { kill(); });
        }

        std::string m_name;
        Counters m_counters;
        QueuedStore::Client m_client;
        JobRegistry m_registry;
        JournalFollower m_follower;
        JournalWriter m_writer;
        Ownership m_ownership;
        bool m_suspended { false };
        bool m_stopping { false };
        bool m_stopped { false };
    };

    /// A site whose entries share one store. Every fourth entry is strong, the others are thin.
    class Site {
    public:
        explicit Site(size_t entries)
        {
            for (size_t i = 0; i < entries; ++i) {
                m_entries.push_back(std::make_unique<Entry>(
                    "edge-" + std::to_string(i), i % 4 == 0 ? 0.5 : 0.12, m_store, m_timers, m_clock));
            }
            run(Duration { 5000 });
        }

        /// Advances the time with the callers' submissions: 20 a second, at all entries in turn.
        void run(Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += step) {
                m_timers.run(step);
                m_elapsed += step;
                if (m_elapsed.count() % 100 == 0) {
                    for (const auto& entry : m_entries)
                        entry->tick();
                }
                Entry& receiver = *m_entries[m_submitted % m_entries.size()];
                if (receiver.isRunning())
                    receiver.submit("job-" + std::to_string(m_submitted));
                ++m_submitted;
            }
        }

        /// Runs until a running entry is the owner and returns the time that it took, `limit` at most.
        Duration runUntilOwned(Duration limit)
        {
            Duration passed { 0 };
            for (; passed < limit && !owner(); passed += step)
                run(step);
            return passed;
        }

        Entry* owner()
        {
            for (const auto& entry : m_entries) {
                if (entry->isOwner())
                    return entry.get();
            }
            return nullptr;
        }

        size_t claims() const
        {
            std::set<std::string> claims;
            for (const JournalRecord& record : m_store.journal().records()) {
                if (record.key == ownerKey)
                    claims.insert(Json::parse(*record.value)["epoch"].dump());
            }
            return claims.size();
        }

        size_t candidacies() const
        {
            return static_cast<size_t>(
                std::ranges::count(m_store.journal().records(), std::string(candidateKey), &JournalRecord::key));
        }

        std::vector<std::unique_ptr<Entry>>& entries() { return m_entries; }
        QueuedStore& store() { return m_store; }

        void setSlowness(int factor)
        {
            m_store.answerTime = Duration { 4 } * factor;
            m_store.appendTime = Duration { 1 } * factor;
        }

    private:
        static constexpr Duration step { 50 };

        ManualClock m_clock;
        ManualTimers m_timers { m_clock };
        QueuedStore m_store { m_timers, m_clock };
        std::vector<std::unique_ptr<Entry>> m_entries;
        size_t m_submitted { 0 };
        Duration m_elapsed { 0 };
    };

    /// Sites of several sizes, by number of entries.
    class OwnershipTest : public testing::TestWithParam<size_t> { };

    INSTANTIATE_TEST_SUITE_P(Entries, OwnershipTest, testing::Values(3, 10, 55, 100),
        [](const auto& size) { return std::to_string(size.param); });

    // Guards against a claim storm: while the store answered 75 times as slowly, eight entries claimed the ownership of
    // a live owner nine times within 2 s.
    TEST_P(OwnershipTest, store_slowForSeconds_liveOwnerIsNotDeposed)
    {
        Site site(GetParam());
        Entry* owner = site.owner();
        ASSERT_TRUE(owner);
        const size_t claims = site.claims();
        site.setSlowness(75);
        site.run(Duration { 5600 });
        site.setSlowness(1);
        site.run(Duration { 6000 });
        EXPECT_EQ(site.owner(), owner);
        EXPECT_EQ(site.claims(), claims);
    }

    // Guards against candidacies that fill the store's queue: the delays of the ranks must keep them apart although
    // none is seen before the queue, 2 s at most, has moved on. That is long enough for six ranks, once each 1.5 s.
    TEST_P(OwnershipTest, store_queueFull_candidaciesAreFew)
    {
        Site site(GetParam());
        site.store().appendTime = Duration { 300 };
        site.run(Duration { 6000 });
        site.store().appendTime = Duration { 1 };
        site.run(Duration { 4000 });
        EXPECT_LE(site.candidacies(), 6u * 6u);
    }

    // Guards against hosts that wait longer than before for a new owner: the former rule replaced an owner that had
    // ended after 2.2 s without a record, a check every 100 ms, and 250 ms a rank.
    TEST_P(OwnershipTest, owner_killed_isReplacedByOneStrongEntryInTime)
    {
        Site site(GetParam());
        const size_t claims = site.claims();
        site.owner()->kill();
        EXPECT_LE(site.runUntilOwned(Duration { 10'000 }), Duration { 2800 });
        EXPECT_EQ(site.claims(), claims + 1);
        site.run(Duration { 3000 });
        EXPECT_EQ(site.claims(), claims + 1);
    }

    // Guards against a site without an owner after a data centre is lost: the strongest entries that are left claim,
    // although the lost ones precede them.
    TEST_P(OwnershipTest, ownerAndEveryThirdEntry_killed_isReplacedInTime)
    {
        Site site(GetParam());
        site.owner()->kill();
        for (size_t i = 0; i < site.entries().size(); i += 3) {
            if (i > 0)
                site.entries()[i]->kill();
        }
        EXPECT_LE(site.runUntilOwned(Duration { 10'000 }), Duration { 5000 });
        site.run(Duration { 3000 });
        EXPECT_TRUE(site.owner());
    }

    // Guards against an owner that the store turns away while it serves others, and against claims of the entries that
    // it turns away as well.
    TEST_P(OwnershipTest, store_refusesHalfOfTheEntries_oneOfTheOthersTakesOver)
    {
        Site site(GetParam());
        const size_t claims = site.claims();
        Entry* former = site.owner();
        former->client().refused = true;
        for (size_t i = 1; i < site.entries().size(); i += 2)
            site.entries()[i]->client().refused = true;
        site.run(Duration { 6000 });
        const size_t claimsDuring = site.claims();
        EXPECT_EQ(claimsDuring, claims + 1);
        for (const auto& entry : site.entries())
            entry->client().refused = false;
        site.run(Duration { 4000 });
        EXPECT_TRUE(site.owner());
        EXPECT_EQ(site.claims(), claimsDuring);
    }

    // Guards against owners that are all deposed when no call reaches the store for a while.
    TEST_P(OwnershipTest, store_refusesAllForSeconds_ownerStays)
    {
        Site site(GetParam());
        const size_t claims = site.claims();
        Entry* former = site.owner();
        for (const auto& entry : site.entries())
            entry->client().refused = true;
        site.run(Duration { 4000 });
        for (const auto& entry : site.entries())
            entry->client().refused = false;
        site.run(Duration { 6000 });
        EXPECT_EQ(site.owner(), former);
        EXPECT_EQ(site.claims(), claims);
    }

    // Guards against a process that acts on a permission from before a pause: a candidate that is suspended before it
    // claims must see, once it wakes, that another entry has become the owner.
    TEST_P(OwnershipTest, candidate_suspendedUntilAnotherOwns_doesNotClaim)
    {
        Site site(GetParam());
        site.owner()->kill();
        const size_t candidacies = site.candidacies();
        for (int i = 0; i < 100 && site.candidacies() == candidacies; ++i)
            site.run(Duration { 50 });
        ASSERT_GT(site.candidacies(), candidacies);
        const std::string name = Json::parse(site.store().journal().value(std::string(candidateKey)))["entry"];
        Entry& candidate = **std::ranges::find(site.entries(), name, [](const auto& entry) { return entry->name(); });
        const size_t claims = site.claims();
        candidate.setSuspended(true);
        ASSERT_FALSE(candidate.isOwner());
        site.runUntilOwned(Duration { 10'000 });
        ASSERT_TRUE(site.owner());
        candidate.setSuspended(false);
        site.run(Duration { 5000 });
        EXPECT_FALSE(candidate.isOwner());
        EXPECT_LE(site.claims(), claims + 1);
    }

    // Guards against a claim of several entries at once when the owners of a rolling stop release in turn.
    TEST_P(OwnershipTest, entries_stoppedInTurn_claimsAreNoMoreThanReleases)
    {
        Site site(GetParam());
        const size_t claims = site.claims();
        size_t releases = 0;
        const size_t stops = std::min<size_t>(16, site.entries().size() - 1);
        for (size_t i = 0; i < stops; ++i) {
            Entry& entry = *site.entries()[i];
            releases += entry.isOwner();
            entry.stop();
            site.run(Duration { 1500 });
        }
        site.run(Duration { 4000 });
        EXPECT_TRUE(site.owner());
        EXPECT_LE(site.claims(), claims + releases);
    }

    /// Random schedules of faults, by seed. The parameter is the first of 250 seeds.
    class OwnershipScheduleTest : public testing::TestWithParam<uint64_t> {
    protected:
        /// Plays three faults of some seconds and returns how often an owner was ended, released or turned away.
        static size_t playFaults(Site& site, std::mt19937_64& random)
        {
            size_t replaced = 0;
            for (int fault = 0; fault < 3; ++fault) {
                Entry& victim = *site.entries()[random() % site.entries().size()];
                const Duration length { 1000 + random() % 5000 };
                switch (random() % 4) {
                case 0:
                    site.setSlowness(2 + static_cast<int>(random() % 80));
                    site.run(length);
                    site.setSlowness(1);
                    break;
                case 1:
                    replaced += refuseSome(site, random, length);
                    break;
                case 2:
                    replaced += victim.isOwner();
                    victim.stop();
                    break;
                default:
                    replaced += victim.isOwner();
                    victim.kill();
                    break;
                }
                site.run(Duration { random() % 4000 });
            }
            return replaced;
        }

        static size_t refuseSome(Site& site, std::mt19937_64& random, Duration length)
        {
            Entry* owner = site.owner();
            for (const auto& entry : site.entries())
                entry->client().refused = random() % 2 == 0;
            const bool ownerRefused = owner && owner->client().refused;
            site.run(length);
            for (const auto& entry : site.entries())
                entry->client().refused = false;
            return ownerRefused;
        }
    };

    INSTANTIATE_TEST_SUITE_P(Seeds, OwnershipScheduleTest, testing::Values(1, 251, 501, 751));

    // Guards against storms of claims and against a site that stays without an owner, over random orders of slow and
    // refusing stores, killed and stopped entries.
    TEST_P(OwnershipScheduleTest, faults_inRandomOrder_claimsAreBoundedAndOneOwnerRemains)
    {
        constexpr size_t sizes[] = { 3, 10, 55 };
        for (uint64_t seed = GetParam(); seed < GetParam() + 250; ++seed) {
            std::mt19937_64 random(seed);
            // Large sites take most of the time, so that they are played less often.
            Site site(sizes[seed % 50 == 0 ? 2 : seed % 2]);
            ASSERT_TRUE(site.owner()) << "seed " << seed;
            const size_t claims = site.claims();
            const size_t replaced = playFaults(site, random);
            const bool isAnyRunning
                = std::ranges::any_of(site.entries(), [](const auto& entry) { return entry->isRunning(); });
            site.run(Duration { 8000 });
            EXPECT_EQ(site.owner() != nullptr, isAnyRunning) << "seed " << seed;
            // A candidate may be ended between its candidacy and its first record as the owner, once for each fault.
            EXPECT_LE(site.claims(), claims + replaced + 3) << "seed " << seed;
        }
    }

} // namespace
} // namespace hemlocklead::dispatch
