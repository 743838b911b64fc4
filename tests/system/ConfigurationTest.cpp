// Accepted configuration is in force on all entries and agents within 4 s and never reverts (design section 2,
// invariant 10).
#include "support/TestSite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <future>
#include <iostream>
#include <map>
#include <thread>

namespace hemlocklead {
namespace {

    constexpr Duration configurationBound { 4000 };
    constexpr Duration restartLimit { 15'000 };
    constexpr size_t entryCount = 2;
    constexpr const char* name = "lookup";

    class ConfigurationTest : public testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_TRUE(m_site.start()) << m_site.runner().logs();
            ASSERT_EQ(edit(0, 0, 1), 200);
            m_accepted = 1;
        }

        void TearDown() override
        {
            if (HasFailure())
                std::cerr << m_site.runner().logs();
        }

        /// Edits the catalogue entry with the base version `base`. Returns the HTTP status, or 0 without a response.
        int edit(size_t entry, uint64_t base, int maxInFlight) const
        {
            const Json body { { "base_version", base },
                { "entry",
                    { { "owner", "product" }, { "team", "registers" }, { "service", "samples" },
                        { "workClass", "answer-now" }, { "limits", { { "maxInFlight", maxInFlight } } } } } };
            const auto response = m_site.send(entry, "PUT", std::string("/catalogue/") + name, body);
            return response ? response->status : 0;
        }

        /// Version that an entry reports; nullopt while it does not serve.
        std::optional<uint64_t> version(size_t entry) const
        {
            const auto response = m_site.send(entry, "GET", std::string("/catalogue/") + name);
            if (!response || response->status == 503)
                return std::nullopt;
            const Json json = Json::parse(response->body, nullptr, false);
            return json.is_object() ? json.value("version", uint64_t { 0 }) : 0;
        }

        void acceptEdit(size_t entry)
        {
            ASSERT_EQ(edit(entry, m_accepted, static_cast<int>(m_accepted) + 1), 200);
            ++m_accepted;
            m_acceptedAt = std::chrono::steady_clock::now();
            m_reportedVersions.at(entry) = m_accepted;
        }

        /// Checks that no serving entry reports an older version than before, nor, once the bound has passed, an older
        /// version than the last accepted edit.
        void expectNoRevert()
        {
            for (size_t entry = 0; entry < entryCount; ++entry) {
                const bool isBoundExceeded = std::chrono::steady_clock::now() - m_acceptedAt > configurationBound;
                const uint64_t minVersion = isBoundExceeded ? m_accepted : m_reportedVersions.at(entry);
                const uint64_t reported = version(entry).value_or(minVersion);
                EXPECT_GE(reported, minVersion) << "entry " << entry;
                m_reportedVersions.at(entry) = std::max(m_reportedVersions.at(entry), reported);
            }
        }

        /// True if all entries, and the newest report of each agent, show the last accepted edit.
        bool isInForce() const
        {
            std::map<std::string, uint64_t> agents;
            uint64_t offset = 0;
            for (size_t entry = 0; entry < entryCount; ++entry) {
                if (version(entry).value_or(0) < m_accepted)
                    return false;
                const Json status = m_site.get(entry, "/status");
                if (!status.is_object())
                    return false;
                offset = std::max(offset, status["control"]["offset"].get<uint64_t>());
                for (const Json& agent : status["agents"]) {
                    uint64_t& newest = agents[agent["host"].get<std::string>()];
                    newest = std::max(newest, agent["control_offset"].get<uint64_t>());
                }
            }
            return agents.size() == m_site.hosts().size()
                && std::ranges::all_of(agents, [&](const auto& each) { return each.second >= offset; });
        }

        void expectInForceInTime() const
        {
            EXPECT_TRUE(waitUntil([this] { return isInForce(); }, configurationBound));
        }

        /// Waits until all processes are ready, and checks meanwhile that no entry serves an older version.
        void expectReadyWithoutRevert()
        {
            const auto isReadyAgain = [this] {
                expectNoRevert();
                return m_site.isReady();
            };
            EXPECT_TRUE(waitUntil(isReadyAgain, restartLimit));
            expectInForceInTime();
        }

        void restartEntry(size_t entry)
        {
            m_site.kill(m_site.entries()[entry].pid);
            m_site.startEntry(entry);
        }

        TestSite m_site { entryCount, 2 };
        uint64_t m_accepted { 0 };
        std::chrono::steady_clock::time_point m_acceptedAt;
        std::array<uint64_t, entryCount> m_reportedVersions {}; ///< Newest version that each entry has reported.
    };

    // Guards against confirming two concurrent edits of the same base version.
    TEST_F(ConfigurationTest, edits_racingThroughTwoEntries_oneWinsEachRound)
    {
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round) {
            auto other = std::async(std::launch::async, [&] { return edit(1, m_accepted, 1000 + round); });
            const int first = edit(0, m_accepted, 2000 + round);
            const int second = other.get();
            EXPECT_EQ(std::min(first, second), 200) << "round " << round << ": " << first << ' ' << second;
            EXPECT_EQ(std::max(first, second), 409) << "round " << round << ": " << first << ' ' << second;
            ++m_accepted;
            ASSERT_TRUE(
                waitUntil([&] { return version(0) == m_accepted && version(1) == m_accepted; }, configurationBound))
                << "round " << round;
        }
    }

    // Guards against losing an edit, applying it twice or reporting a wrong result when the log's response is lost.
    TEST_F(ConfigurationTest, edits_withLostLogResponses_appliedOnce)
    {
        for (int lost = 1; lost <= 4; ++lost) {
            ASSERT_TRUE(m_site.setLogFault("lose-answer", lost));
            acceptEdit(static_cast<size_t>(lost) % entryCount);
            expectInForceInTime();
            EXPECT_EQ(version(0), m_accepted);
            EXPECT_EQ(version(1), m_accepted);
        }
    }

    // Guards against an entry or agent that serves older configuration after a restart.
    TEST_F(ConfigurationTest, processes_restartedOneByOne_noEditReverts)
    {
        for (size_t entry = 0; entry < entryCount; ++entry) {
            acceptEdit(entry);
            restartEntry(entry);
            expectReadyWithoutRevert();
        }
        for (size_t host = 0; host < m_site.hosts().size(); ++host) {
            acceptEdit(host % entryCount);
            m_site.kill(m_site.hosts()[host].agentPid);
            m_site.startAgent(host);
            expectReadyWithoutRevert();
        }
    }

    // Guards against configuration that is kept only in the memory of the entries.
    TEST_F(ConfigurationTest, entries_allRestartedAtOnce_noEditReverts)
    {
        acceptEdit(0);
        for (size_t entry = 0; entry < entryCount; ++entry)
            m_site.kill(m_site.entries()[entry].pid);
        for (size_t entry = 0; entry < entryCount; ++entry)
            m_site.startEntry(entry);
        expectReadyWithoutRevert();
    }

    // Guards against an entry that serves older configuration than its peer after it started without the log.
    TEST_F(ConfigurationTest, entry_restartedWhileLogIsDown_noEditReverts)
    {
        acceptEdit(1);
        expectInForceInTime();
        ASSERT_TRUE(m_site.setLogFault("down"));
        restartEntry(0);
        expectReadyWithoutRevert();
        EXPECT_NE(edit(0, m_accepted, 77), 200) << "an edit was accepted without the log";
        ASSERT_TRUE(m_site.setLogFault("none"));
        const auto accepted = [&] { return edit(0, version(0).value_or(0), 78) == 200; };
        EXPECT_TRUE(waitUntil(accepted, configurationBound));
        m_accepted = version(0).value_or(0);
        expectInForceInTime();
    }

} // namespace
} // namespace hemlocklead
