#include "CallSimulation.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class CallScheduleTest : public testing::Test {
    protected:
        static constexpr int requests = 300;

        static CallFaults allFaults()
        {
            CallFaults faults;
            faults.refusedConnection = 0.05;
            faults.lostAnswer = 0.05;
            faults.crossedAnswer = 0.05;
            faults.targetError = 0.05;
            faults.slowTarget = 0.1;
            faults.repeatedReply = 0.1;
            faults.misroutedReply = 0.1;
            faults.damagedReply = 0.05;
            faults.repeatedCall = 0.1;
            faults.brokenLink = 0.01;
            faults.leavingAgent = 0.001;
            return faults;
        }

        static bool isIdempotent(int number) { return number % 2 == 0; }

        static void sendAll(CallSimulation& simulation)
        {
            for (int i = 0; i < requests; ++i) {
                simulation.request(std::to_string(i), isIdempotent(i) ? "GET" : "POST", Duration { 100 + i % 7 * 50 });
                simulation.run(Duration { i % 3 });
            }
            simulation.run(Duration { 1000 });
        }

        static void expectCorrectOutcomes(const CallSimulation& simulation)
        {
            for (int i = 0; i < requests; ++i) {
                const std::string name = std::to_string(i);
                ASSERT_EQ(simulation.outcomes(name).size(), 1) << "request " << name;
                const CallSimulation::Outcome& answer = simulation.outcomes(name).front();
                if (answer.outcome == "done") {
                    EXPECT_EQ(answer.body, CallSimulation::answerFor("/" + name));
                }
                if (answer.outcome == "not-run") {
                    EXPECT_EQ(simulation.runs(name), 0) << "request " << name << ": " << answer.body;
                }
                if (!isIdempotent(i)) {
                    EXPECT_LE(simulation.runs(name), 1) << "request " << name;
                }
            }
        }
    };

    // Guards against the answer to another request, "not run" for a request that ran, and a second run of a request
    // that is not idempotent, under any order of faults.
    TEST_F(CallScheduleTest, calls_randomFaults_endWithTrueOutcomes)
    {
        for (uint64_t seed = 1; seed <= 60; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            CallSimulation simulation(seed, 5, allFaults());
            sendAll(simulation);
            expectCorrectOutcomes(simulation);
            EXPECT_EQ(simulation.router().inFlight(), 0);
            if (HasFailure())
                return;
        }
    }

    // Guards against failed requests without any fault in the simulation.
    TEST_F(CallScheduleTest, calls_withoutFaults_areAllDone)
    {
        CallSimulation simulation(1, 5, {});
        sendAll(simulation);
        for (const auto& [name, answers] : simulation.outcomes())
            EXPECT_EQ(answers.at(0).outcome, "done") << name << ": " << answers.at(0).body;
    }

    // Guards against retries and hedges that multiply the load of a failing service.
    TEST_F(CallScheduleTest, calls_everyAnswerLost_retriesStayWithinBudget)
    {
        CallFaults faults;
        faults.lostAnswer = 1;
        CallSimulation simulation(7, 5, faults);
        for (int i = 0; i < 1000; ++i) {
            simulation.request(std::to_string(i), "GET", Duration { 500 });
            simulation.run(Duration { 2 });
        }
        simulation.run(Duration { 1000 });
        int runs = 0;
        for (int i = 0; i < 1000; ++i)
            runs += simulation.runs(std::to_string(i));
        EXPECT_LE(runs, 1000 + 100 + 10);
        EXPECT_EQ(simulation.outcomes("999").at(0).outcome, "unknown");
    }

    // Guards against failed requests when hosts leave while others remain usable.
    TEST_F(CallScheduleTest, calls_agentLeaves_areRetriedElsewhere)
    {
        CallFaults faults;
        faults.leavingAgent = 0.005;
        CallSimulation simulation(3, 5, faults);
        sendAll(simulation);
        for (const auto& [name, answers] : simulation.outcomes())
            EXPECT_EQ(answers.at(0).outcome, "done") << name << ": " << answers.at(0).body;
    }

} // namespace
} // namespace hemlocklead
