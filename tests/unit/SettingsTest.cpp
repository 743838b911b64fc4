#include "agent/AgentSettings.h"
#include "entry/EntrySettings.h"
#include "transport/SettingsReader.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace hemlocklead {
namespace {

    class SettingsTest : public testing::Test {
    protected:
        ~SettingsTest() override { std::remove(m_file.c_str()); }

        std::string write(const std::string& text)
        {
            std::ofstream(m_file) << text;
            return m_file;
        }

        /// Error message of parsing an entry file, or an empty string.
        std::string entryError(const std::string& text)
        {
            return errorOf([&] { return parseEntrySettings(write(text)); });
        }

        std::string agentError(const std::string& text)
        {
            return errorOf([&] { return parseAgentSettings(write(text)); });
        }

        template <typename Parse> std::string errorOf(Parse parse)
        {
            return orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_CHECK(parse());
                    return std::string();
                },
                [&](const Error& error) {
                    EXPECT_EQ(error.kind, ErrorKind::InvalidSettings);
                    std::string message = error.message;
                    const size_t at = message.find(m_file);
                    return at == std::string::npos ? message : message.replace(at, m_file.size(), "FILE");
                });
        }

        const std::string m_file { testing::TempDir() + "settings-"
            + testing::UnitTest::GetInstance()->current_test_info()->name() + ".toml" };
        const std::string m_entry { "[entry]\nname = \"e1\"\ndata_centre = \"muscat\"\nregion = \"oman\"\n"
                                    "http_address = \"127.0.0.1:7000\"\npeer_address = \"127.0.0.1:7001\"\n"
                                    "log_address = \"127.0.0.1:7002\"\n" };
        const std::string m_agent { "[agent]\nhost = \"h1\"\ndata_centre = \"muscat\"\nregion = \"oman\"\n"
                                    "rack = \"r1\"\nentries = [\"127.0.0.1:7001\"]\n"
                                    "http_address = \"127.0.0.1:7100\"\nworker_address = \"127.0.0.1:7101\"\n" };
    };

    // Guards against keys that are parsed into the wrong member or not at all.
    TEST_F(SettingsTest, entry_allKinds_parsed)
    {
        const std::string file = write(m_entry
            + "peers = [\"127.0.0.1:7011\", \"127.0.0.2:7011\"]\nshards = 4\ndrain_ms = 1500\nhedging = false\n");
        const EntrySettings settings = parseEntrySettings(file).value();
        EXPECT_EQ(settings.name, "e1");
        EXPECT_EQ(settings.peerAddress, (Address { "127.0.0.1", 7001 }));
        EXPECT_EQ(settings.peers.size(), 2U);
        EXPECT_EQ(settings.shards, 4U);
        EXPECT_EQ(settings.drain, Duration { 1500 });
        EXPECT_FALSE(settings.hedging);
        EXPECT_EQ(settings.controlPoll, Duration { 250 });
    }

    // Guards against an agent file that is parsed with the keys of the [entry] table.
    TEST_F(SettingsTest, agent_requiredKeys_parsed)
    {
        const AgentSettings settings = parseAgentSettings(write(m_agent)).value();
        EXPECT_EQ(settings.host, "h1");
        EXPECT_EQ(settings.rack, "r1");
        EXPECT_EQ(settings.entries, (std::vector<Address> { { "127.0.0.1", 7001 } }));
        EXPECT_EQ(settings.homeKeepalive, Duration { 2000 });
    }

    // Guards against a misspelt key that silently leaves the default in force.
    TEST_F(SettingsTest, entry_unknownKey_refusedWithLine)
    {
        EXPECT_EQ(entryError(m_entry + "hedgign = false\n"), "FILE:8: hedgign: unknown key");
    }

    // Guards against a second table that is ignored.
    TEST_F(SettingsTest, entry_secondTable_refused)
    {
        EXPECT_EQ(entryError(m_entry + "[extra]\nx = 1\n"), "FILE:8: extra: unknown key outside of the table [entry]");
    }

    // Guards against a value of a wrong type that is converted or ignored.
    TEST_F(SettingsTest, entry_wrongType_refusedWithKey)
    {
        EXPECT_EQ(entryError(m_entry + "drain_ms = \"2 s\"\n"), "FILE:8: drain_ms: an integer is expected");
        EXPECT_EQ(entryError(m_entry + "hedging = 1\n"), "FILE:8: hedging: true or false is expected");
        EXPECT_EQ(entryError(m_entry + "peers = \"127.0.0.1:1\"\n"),
            "FILE:8: peers: an array of strings \"IP:port\" is expected");
    }

    // Guards against an agent that starts without a required key, such as its data centre.
    TEST_F(SettingsTest, agent_missingKey_refused)
    {
        EXPECT_EQ(agentError("[agent]\nhost = \"h1\"\n"), "FILE:1: data_centre: this key is required");
    }

    // Guards against values that no process can work with.
    TEST_F(SettingsTest, entry_impossibleValue_refused)
    {
        EXPECT_EQ(entryError(m_entry + "shards = 0\n"), "FILE:8: shards: an integer from 1 to 1024 is expected");
        EXPECT_EQ(entryError(m_entry + "peers = [\"localhost:1\"]\n"),
            "FILE:8: peers: no IP number in address 'localhost:1'");
        EXPECT_EQ(entryError(m_entry + "peers = [\"127.0.0.1:7001\"]\n"),
            "FILE:8: peers: peers must not list the entry's own peer_address");
        EXPECT_EQ(agentError(m_agent + "queue_per_target = -1\n"),
            "FILE:9: queue_per_target: an integer from 0 to 100000 is expected");
    }

    // Guards against durations whose order breaks an invariant, such as a keepalive that outlives the lease.
    TEST_F(SettingsTest, durations_wrongOrder_refused)
    {
        EXPECT_EQ(entryError(m_entry + "control_poll_ms = 2000\n"),
            "FILE:8: control_poll_ms: control_poll_ms + start_freshness_ms must be below 4000");
        EXPECT_EQ(entryError(m_entry + "keepalive_ms = 10000\n"),
            "FILE:8: keepalive_ms: 2 x keepalive_ms must be below attempt_lease_ms");
        EXPECT_EQ(entryError(m_entry + "worker_lease_ms = 19000\n"),
            "FILE:8: worker_lease_ms: worker_lease_ms + drift_margin_ms must be below attempt_lease_ms");
        EXPECT_EQ(entryError(m_entry + "snapshot_interval_ms = 900000\n"),
            "FILE:8: snapshot_interval_ms: 4 x snapshot_interval_ms must be below log_retention_ms");
        EXPECT_EQ(agentError(m_agent + "home_keepalive_ms = 4000\n"),
            "FILE:9: home_keepalive_ms: home_keepalive_ms must be below 4000");
    }

    // Guards against a malformed file that is reported without its line.
    TEST_F(SettingsTest, entry_malformedFile_refusedWithLine)
    {
        const std::string error = entryError("[entry]\nname = \n");
        EXPECT_EQ(error.substr(0, 7), "FILE:2:") << error;
    }

    // Guards against a check that takes a file for the wrong program.
    TEST_F(SettingsTest, role_eitherTable_found)
    {
        EXPECT_EQ(settingsRole(write(m_entry)).value(), "entry");
        EXPECT_EQ(settingsRole(write(m_agent)).value(), "agent");
        EXPECT_FALSE(settingsRole(write("x = 1\n")));
    }

} // namespace
} // namespace hemlocklead
