// Time until the successful response when 11 targets with 8 slots each serve one stream of requests, one target is slow
// and one fails all requests fast: compares TargetChooser with random choice and round robin. Models the decision only:
// no connections, no limits, unlimited queues at the targets.
#include "coordination/TargetChooser.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <queue>
#include <vector>

namespace hemlocklead {
namespace {

    constexpr size_t targetCount = 11;
    constexpr size_t slowTarget = 3;
    constexpr size_t failingTarget = 7;
    constexpr int64_t slots = 8;
    constexpr int requestCount = 100'000;
    constexpr int maxTries = 4;
    constexpr double serviceMs = 10;
    constexpr double slowServiceMs = 30;
    constexpr double failureMs = 1;
    constexpr double arrivalsPerMs = 2.2; ///< With random choice the slow target still stays below its capacity.

    enum class Policy : uint8_t { Chooser, Random, RoundRobin };

    struct Request {
        double arrivedMs { 0 };
        double sentMs { 0 };
        int tries { 0 };
        size_t target { 0 };
    };

    struct Completion {
        double atMs { 0 };
        Request request;

        bool operator>(const Completion& other) const { return atMs > other.atMs; }
    };

    class Model {
    public:
        explicit Model(Policy policy)
            : m_policy(policy)
        {
            for (size_t i = 0; i < targetCount; ++i)
                m_chooser.update(name(i), { "dc", slots, 0, std::chrono::microseconds { 0 } }, m_clock.now());
        }

        /// Runs all requests and returns the sorted times to the successful response in ms.
        std::vector<double> run()
        {
            std::exponential_distribution<> gap(arrivalsPerMs);
            double now = 0;
            for (int i = 0; i < requestCount; ++i) {
                now += gap(m_random);
                completeUntil(now);
                send({ now, now, 0, 0 });
            }
            completeUntil(1e12);
            std::ranges::sort(m_responseTimes);
            return m_responseTimes;
        }

        int failed() const { return m_failed; }

    private:
        static std::string name(size_t target) { return std::string(1, static_cast<char>('a' + target)); }

        size_t choose()
        {
            switch (m_policy) {
            case Policy::Random:
                return m_random() % targetCount;
            case Policy::RoundRobin:
                return m_next++ % targetCount;
            case Policy::Chooser:
                break;
            }
            const auto isExcluded = [](std::string_view) { return false; };
            return static_cast<size_t>(m_chooser.choose({ true, {} }, isExcluded, m_clock.now())->front() - 'a');
        }

        void advanceTo(double nowMs)
        {
            const Duration passed { static_cast<int64_t>(nowMs) };
            m_clock.advance(std::max(Duration { 0 }, m_start + passed - m_clock.now()));
        }

        void send(Request request)
        {
            advanceTo(request.sentMs);
            ++request.tries;
            request.target = choose();
            m_chooser.sent(name(request.target));
            // The slot that becomes free first handles the request.
            double& freeAt = *std::ranges::min_element(m_freeAt[request.target]);
            freeAt = std::max(freeAt, request.sentMs) + serviceTime(request.target);
            m_completions.push({ freeAt, request });
        }

        double serviceTime(size_t target)
        {
            if (target == failingTarget)
                return failureMs;
            return std::exponential_distribution<>(1 / (target == slowTarget ? slowServiceMs : serviceMs))(m_random);
        }

        void completeUntil(double nowMs)
        {
            while (!m_completions.empty() && m_completions.top().atMs <= nowMs) {
                const Completion completion = m_completions.top();
                m_completions.pop();
                complete(completion);
            }
        }

        void complete(const Completion& completion)
        {
            Request request = completion.request;
            advanceTo(completion.atMs);
            const bool success = request.target != failingTarget;
            const std::chrono::microseconds latency { static_cast<int64_t>(1000 * (completion.atMs - request.sentMs)) };
            m_chooser.ended(name(request.target), success ? std::optional(latency) : std::nullopt);
            m_chooser.ejector().record(name(request.target), success, m_clock.now());
            if (success) {
                m_responseTimes.push_back(completion.atMs - request.arrivedMs);
                return;
            }
            if (request.tries == maxTries) {
                ++m_failed;
                return;
            }
            request.sentMs = completion.atMs;
            send(request);
        }

        Policy m_policy;
        ManualClock m_clock;
        Instant m_start { m_clock.now() };
        std::mt19937_64 m_random { 5 };
        TargetChooser m_chooser { "dc", 5 };
        std::array<std::array<double, slots>, targetCount> m_freeAt {};
        std::priority_queue<Completion, std::vector<Completion>, std::greater<>> m_completions;
        std::vector<double> m_responseTimes;
        size_t m_next { 0 };
        int m_failed { 0 };
    };

    struct Tail {
        double p99 { 0 };
        double p999 { 0 };
        int failed { 0 };
    };

    Tail measure(Policy policy)
    {
        Model model(policy);
        const std::vector<double> responseTimes = model.run();
        return { responseTimes[responseTimes.size() * 99 / 100], responseTimes[responseTimes.size() * 999 / 1000],
            model.failed() };
    }

    void routingTail(benchmark::State& state)
    {
        Tail chooser;
        for (auto iteration : state) {
            (void)iteration;
            chooser = measure(Policy::Chooser);
        }
        const Tail random = measure(Policy::Random);
        const Tail roundRobin = measure(Policy::RoundRobin);
        state.counters["chooser_p99_ms"] = chooser.p99;
        state.counters["chooser_p999_ms"] = chooser.p999;
        state.counters["chooser_failed"] = chooser.failed;
        state.counters["random_p99_ms"] = random.p99;
        state.counters["random_failed"] = random.failed;
        state.counters["p99_ratio_to_random"] = chooser.p99 / random.p99;
        state.counters["p999_ratio_to_random"] = chooser.p999 / random.p999;
        state.counters["p99_ratio_to_round_robin"] = chooser.p99 / roundRobin.p99;
        state.counters["p999_ratio_to_round_robin"] = chooser.p999 / roundRobin.p999;
    }

    BENCHMARK(routingTail)->Unit(benchmark::kMillisecond)->Iterations(1);

} // namespace
} // namespace hemlocklead
