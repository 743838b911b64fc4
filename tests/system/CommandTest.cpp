#include "support/ProcessRunner.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class CommandTest : public testing::Test {
    protected:
        std::optional<int> run(const std::vector<std::string>& arguments)
        {
            return m_runner.run("command", "hemlocklead", arguments, Duration { 10'000 });
        }

        ProcessRunner m_runner;
    };

    // Guards against an exit code that does not distinguish an unreachable system from a refused edit.
    TEST_F(CommandTest, command_noEntryListens_unreachable)
    {
        const std::string unusedAddress = freeAddress().text();
        EXPECT_EQ(run({ "status", "--entry", unusedAddress }), 3);
        EXPECT_EQ(run({ "catalogue", "show", "lookup", "--entry", unusedAddress, "--entry", freeAddress().text() }), 3);
    }

    // Guards against reporting a misspelt command as a failure of the system.
    TEST_F(CommandTest, command_wrongArguments_usage)
    {
        EXPECT_EQ(run({}), 2);
        EXPECT_EQ(run({ "catalogue", "shwo" }), 2);
        EXPECT_EQ(run({ "catalogue", "show", "--entry", "127.0.0.1:1" }), 2);
        EXPECT_EQ(run({ "status", "--entry", "localhost:1" }), 2);
        EXPECT_EQ(run({ "datacentre", "out", "--help" }), 0);
    }

    // Guards against a settings check that accepts a file which the process rejects at its start.
    TEST_F(CommandTest, checkConfig_unknownKey_refused)
    {
        const std::string file = m_runner.writeFile("bad.toml", "[entry]\nnaem = \"e1\"\n");
        EXPECT_EQ(run({ "check-config", file }), 2);
        EXPECT_NE(m_runner.log("command").find(":2: naem: unknown key"), std::string::npos) << m_runner.log("command");
        EXPECT_EQ(run({ "entry", "--config", file }), 2);
    }

} // namespace
} // namespace hemlocklead
