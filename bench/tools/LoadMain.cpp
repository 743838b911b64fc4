// Open-loop HTTP load: sends requests at a fixed rate and prints latency percentiles as one JSON line.
//
// Latency is measured from the scheduled send time, so that it includes the delay that a stalled server causes to later
// requests (no coordinated omission).

#include "transport/HttpClient.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace hemlocklead {
namespace {

    struct LoadSettings {
        Address address;
        std::string path;
        std::string method;
        int64_t ratePerSecond { 0 };
        Duration length { 0 };
        Duration timeout { 0 };
        size_t connections { 0 };
        size_t bodyBytes { 0 };
    };

    using Microseconds = std::chrono::microseconds;

    Microseconds nowMicroseconds()
    {
        return std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now().time_since_epoch());
    }

    /// Sends the load to one address and collects latencies and statuses.
    class LoadRun {
    public:
        LoadRun(EventLoop& loop, const LoadSettings& settings)
            : m_loop(loop)
            , m_settings(settings)
            , m_client(loop, settings.address, settings.connections)
            , m_timer(loop)
            , m_total(settings.ratePerSecond * settings.length.count() / 1000)
        {
        }

        void run()
        {
            m_start = nowMicroseconds();
            m_timer.startRepeating(Duration { 1 }, [this] { sendDue(); });
            m_loop.run();
        }

        std::string report() const;

    private:
        void sendDue()
        {
            while (m_sent < m_total && dueTime(m_sent) <= nowMicroseconds())
                sendOne();
        }

        Microseconds dueTime(int64_t index) const
        {
            return m_start + Microseconds { index * 1'000'000 / m_settings.ratePerSecond };
        }

        void sendOne()
        {
            const Microseconds due = dueTime(m_sent);
            HttpRequest request { m_settings.method, m_settings.path, {}, std::string(m_settings.bodyBytes, 'x') };
            request.headers.push_back({ "X-Test-Id", "load-" + std::to_string(m_sent) });
            ++m_sent;
            m_client.send(std::move(request), m_settings.timeout,
                [this, due](const HttpExchange& exchange) { ended(due, exchange); });
        }

        void ended(Microseconds due, const HttpExchange& exchange)
        {
            const bool answered = exchange.status == HttpExchange::Status::Answered;
            ++m_statuses[answered ? std::to_string(exchange.response.status) : "none"];
            if (answered && exchange.response.status == 200)
                m_latencies.push_back((nowMicroseconds() - due).count());
            if (++m_ended == m_total)
                m_loop.stop();
        }

        EventLoop& m_loop;
        const LoadSettings& m_settings;
        HttpClient m_client;
        Timer m_timer;
        int64_t m_total;
        Microseconds m_start { 0 };
        int64_t m_sent { 0 };
        int64_t m_ended { 0 };
        std::vector<int64_t> m_latencies;
        std::map<std::string, int64_t> m_statuses;
    };

    int64_t percentile(const std::vector<int64_t>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const auto index = static_cast<size_t>(share * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)];
    }

    std::string LoadRun::report() const
    {
        std::vector<int64_t> sorted = m_latencies;
        std::ranges::sort(sorted);
        const Json json { { "requests", m_total }, { "statuses", m_statuses }, { "p50_us", percentile(sorted, 0.50) },
            { "p99_us", percentile(sorted, 0.99) }, { "p999_us", percentile(sorted, 0.999) },
            { "max_us", sorted.empty() ? 0 : sorted.back() } };
        return jsonText(json);
    }

    int runLoad(int argc, char** argv)
    {
        TCLAP::CmdLine command("Open-loop HTTP load on one address of this machine", ' ', "1");
        TCLAP::ValueArg<std::string> address("", "address", "IP:port", true, "", "IP:port", command);
        TCLAP::ValueArg<std::string> path("", "path", "path of the requests", true, "", "path", command);
        TCLAP::ValueArg<std::string> method("", "method", "method of the requests", false, "GET", "method", command);
        TCLAP::ValueArg<int64_t> rate("", "rate", "requests per second", false, 200, "number", command);
        TCLAP::ValueArg<int64_t> seconds("", "seconds", "length of the run", false, 5, "seconds", command);
        TCLAP::ValueArg<int64_t> timeout("", "timeout-ms", "timeout of a request", false, 5000, "ms", command);
        TCLAP::ValueArg<size_t> connections(
            "", "connections", "maximum number of connections", false, 64, "number", command);
        TCLAP::ValueArg<size_t> body("", "body-bytes", "size of request bodies", false, 0, "bytes", command);
        command.parse(argc, argv);

        LoadSettings settings;
        settings.address
            = orElse([&] { return parseAddress(address.getValue()); }, [](const Error&) { return Address {}; });
        if (settings.address.port == 0 || rate.getValue() <= 0 || seconds.getValue() <= 0) {
            std::fprintf(stderr, "load: bad address, rate or length\n");
            return 2;
        }
        settings.path = path.getValue();
        settings.method = method.getValue();
        settings.ratePerSecond = rate.getValue();
        settings.length = std::chrono::seconds { seconds.getValue() };
        settings.timeout = Duration { timeout.getValue() };
        settings.connections = connections.getValue();
        settings.bodyBytes = body.getValue();

        EventLoop loop;
        LoadRun run(loop, settings);
        run.run();
        std::printf("%s\n", run.report().c_str());
        return 0;
    }

} // namespace
} // namespace hemlocklead

int main(int argc, char** argv) { return hemlocklead::runLoad(argc, argv); }
