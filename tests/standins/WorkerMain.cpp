// Stand-in for the platform's worker with the HTTP interface of docs/design.md section 11: simulates tasks by elapsed
// time. It starts tasks beyond its capacity and counts each such start as a violation.
#include "base/Log.h"
#include "transport/HttpServer.h"
#include "transport/WorkerHttpClient.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace hemlocklead {
namespace {

    constexpr Duration tickInterval { 10 };
    constexpr Duration neverEnds { INT64_MAX / 4 };

    struct Options {
        Address listen;
        Resources capacity;
        Duration reportLag { 0 };
        std::string journal;
    };

    struct UsageSample {
        Instant at;
        Resources usage;
    };

    struct Task {
        WorkerTask report; ///< `usage` stays unset; list() reports the usage in `samples`.
        Resources resources;
        Resources usage; ///< Usage at full speed.
        Duration runTime { neverEnds };
        bool fails { false };
        std::string outcome; ///< Result to report at the end.
        double factor { 1 }; ///< Speed set by throttling, as a share of full speed.
        double progressMs { 0 };
        Instant advancedTo;
        Instant leaseEnd;
        std::vector<UsageSample> samples;
    };

    struct Fault {
        std::string mode { "none" };
        std::string method; ///< HTTP method that the fault applies to; all methods if empty.
        int64_t calls { -1 }; ///< Number of further calls that fail; -1 for all.
        Duration delay { 0 };
    };

    Fault parseFault(const Json& json)
    {
        Fault fault;
        fault.mode = json.value("mode", "none");
        fault.method = json.value("method", "");
        fault.calls = json.value("calls", int64_t { -1 });
        fault.delay = Duration { json.value("delay_ms", int64_t { 0 }) };
        return fault;
    }

    class Worker {
    public:
        Worker(EventLoop& loop, Options options)
            : m_loop(loop)
            , m_options(std::move(options))
            , m_server(loop, [this](const HttpRequest& request, const auto& out) { handleRequest(request, out); })
            , m_tick(loop)
        {
            if (!m_options.journal.empty())
                m_journal.open(m_options.journal, std::ios::app);
            m_tick.startRepeating(tickInterval, [this] { advanceAll(); });
        }

        Result<void> listen() { return m_server.listen(m_options.listen); }

    private:
        using Responder = std::shared_ptr<HttpResponder>;

        void handleRequest(const HttpRequest& request, const Responder& out)
        {
            advanceAll();
            if (request.path == "/fault") {
                m_fault = parseFault(Json::parse(request.body, nullptr, false));
                out->reply(jsonResponse(200, "{}"));
                return;
            }
            if (request.path == "/stats" || !faultApplies(request)) {
                out->reply(handle(request));
                return;
            }
            applyFault(request, out);
        }

        bool faultApplies(const HttpRequest& request)
        {
            if (m_fault.mode == "none" || m_fault.mode == "fail-all" || m_fault.calls == 0)
                return false;
            if (!m_fault.method.empty() && m_fault.method != request.method)
                return false;
            if (m_fault.calls > 0)
                --m_fault.calls;
            return true;
        }

        void applyFault(const HttpRequest& request, const Responder& out)
        {
            if (m_fault.mode == "slow") {
                const auto timer = std::make_shared<Timer>(m_loop);
                m_delayed.insert(timer);
                timer->startOnce(m_fault.delay, [this, request, out, timer] {
                    advanceAll();
                    out->reply(handle(request));
                    m_delayed.erase(timer);
                });
                return;
            }
            if (m_fault.mode == "lose-answer")
                handle(request);
            // Left without a response until the caller disconnects.
            m_heldRequests.insert(out);
            out->onDisconnect([this, key = std::weak_ptr(out)] { m_heldRequests.erase(key.lock()); });
        }

        HttpResponse handle(const HttpRequest& request)
        {
            const std::vector<std::string> path = pathSegments(request.path);
            const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
            if (path.empty() || !body.is_object())
                return errorResponse({ ErrorKind::InvalidRequest, "malformed" });
            if (path[0] == "capacity")
                return jsonResponse(200, jsonText(workerResourcesJson(m_options.capacity)));
            if (path[0] == "stats")
                return jsonResponse(200, jsonText({ { "violations", m_violations }, { "starts", m_starts } }));
            if (path[0] != "tasks")
                return errorResponse({ ErrorKind::NotFound, "no such path" });
            if (path.size() == 1)
                return request.method == "POST" ? start(body) : list();
            const auto found = m_tasks.find(path[1]);
            if (found == m_tasks.end())
                return errorResponse({ ErrorKind::NotFound, "no such task" });
            if (request.method == "DELETE")
                return remove(path[1]);
            return path.size() == 3 ? updateTask(found->second, path[2], body) : list();
        }

        HttpResponse list()
        {
            Json tasks = Json::array();
            for (auto& [id, task] : m_tasks) {
                const WorkerTask& report = task.report;
                tasks.push_back({ { "id", id }, { "state", report.state },
                    { "usage", workerResourcesJson(laggingUsage(task)) }, { "progress", report.progress },
                    { "checkpoint_progress", report.checkpointProgress }, { "checkpoint", report.checkpoint },
                    { "result", report.result }, { "labels", report.labels } });
            }
            return jsonResponse(200, jsonText({ { "tasks", tasks } }));
        }

        HttpResponse start(const Json& body)
        {
            const std::string id = body.value("id", "");
            if (m_tasks.contains(id))
                return jsonResponse(200, "{}");
            const Json payload = Json::parse(body.value("payload", "{}"), nullptr, false);
            if (id.empty() || !payload.is_object())
                return errorResponse({ ErrorKind::InvalidRequest, "malformed task" });
            Task task = newTask(id, body, payload);
            ++m_starts;
            journal("start", id);
            if (m_fault.mode == "fail-all")
                end(task, WorkerTaskState::Failed, "the worker fails everything");
            else
                sample(task, task.usage);
            m_tasks.emplace(id, std::move(task));
            checkOvercommit(id);
            return jsonResponse(200, "{}");
        }

        Task newTask(const std::string& id, const Json& body, const Json& payload) const
        {
            Task task;
            task.report.id = id;
            task.report.labels = body.value("labels", Json::object());
            task.report.checkpoint = body.value("checkpoint", "");
            task.report.checkpointProgress = std::atoll(task.report.checkpoint.c_str());
            task.progressMs = static_cast<double>(task.report.checkpointProgress);
            task.report.progress = task.report.checkpointProgress;
            const auto parse = [](const Json& json) {
                return orElse([&] { return parseWorkerResources(json); }, [](const Error&) { return Resources {}; });
            };
            task.resources = parse(body.value("resources", Json::object()));
            task.usage = payload.contains("usage") ? parse(payload["usage"]) : task.resources;
            if (payload.contains("runMs"))
                task.runTime = Duration { payload["runMs"].get<int64_t>() };
            task.fails = payload.value("fail", false);
            task.outcome = payload.value("result", "");
            task.advancedTo = m_clock.now();
            task.leaseEnd = task.advancedTo + Duration { body.value("lease_ms", int64_t { 0 }) };
            return task;
        }

        HttpResponse updateTask(Task& task, const std::string& what, const Json& body)
        {
            if (task.report.state != WorkerTaskState::Running)
                return errorResponse({ ErrorKind::Conflict, "the task does not run" });
            if (what == "lease")
                task.leaseEnd = m_clock.now() + Duration { body.value("lease_ms", int64_t { 0 }) };
            if (what == "throttle") {
                task.factor = body.value("factor", 1.0);
                Resources usage = task.usage;
                usage.cpuMilli = static_cast<int64_t>(static_cast<double>(usage.cpuMilli) * task.factor);
                sample(task, usage);
                journal("throttle", task.report.id);
            }
            if (what == "checkpoint") {
                task.report.checkpointProgress = task.report.progress;
                task.report.checkpoint = std::to_string(task.report.progress);
            }
            return jsonResponse(200, "{}");
        }

        HttpResponse remove(const std::string& id)
        {
            if (m_tasks.at(id).report.state == WorkerTaskState::Running)
                journal("stop", id);
            m_tasks.erase(id);
            return jsonResponse(200, "{}");
        }

        void advanceAll()
        {
            const Instant now = m_clock.now();
            for (auto& [id, task] : m_tasks) {
                if (task.report.state == WorkerTaskState::Running)
                    advance(task, now);
            }
        }

        /// Advances the task to `now`, but not past the end of its lease, also if this process was suspended meanwhile.
        void advance(Task& task, Instant now)
        {
            const Instant until = std::min(now, task.leaseEnd);
            const auto ran = static_cast<double>((until - task.advancedTo).count());
            task.progressMs += std::max(0.0, ran) * task.factor;
            task.advancedTo = until;
            task.report.progress = std::min(static_cast<int64_t>(task.progressMs), task.runTime.count());
            if (task.progressMs >= static_cast<double>(task.runTime.count()))
                end(task, task.fails ? WorkerTaskState::Failed : WorkerTaskState::Finished, task.outcome);
            else if (now >= task.leaseEnd)
                end(task, WorkerTaskState::Expired, "");
        }

        void end(Task& task, WorkerTaskState state, const std::string& result)
        {
            task.report.state = state;
            task.report.result = result;
            sample(task, {});
            journal(state == WorkerTaskState::Expired ? "expire" : "finish", task.report.id);
        }

        void sample(Task& task, const Resources& usage) const { task.samples.push_back({ m_clock.now(), usage }); }

        Resources laggingUsage(Task& task) const
        {
            const Instant seen = m_clock.now() - m_options.reportLag;
            Resources usage;
            for (const UsageSample& entry : task.samples) {
                if (entry.at <= seen)
                    usage = entry.usage;
            }
            return usage;
        }

        void checkOvercommit(const std::string& id)
        {
            Resources committed;
            for (const auto& [other, task] : m_tasks) {
                if (task.report.state == WorkerTaskState::Running)
                    committed = committed + task.resources;
            }
            if (committed.fitsIn(m_options.capacity))
                return;
            ++m_violations;
            journal("over-commit", id);
        }

        void journal(std::string_view event, const std::string& id)
        {
            if (m_journal.is_open())
                m_journal << m_clock.now().time_since_epoch().count() << ' ' << event << ' ' << id << std::endl;
        }

        EventLoop& m_loop;
        SystemClock m_clock;
        Options m_options;
        HttpServer m_server;
        Timer m_tick;
        std::ofstream m_journal;
        std::map<std::string, Task> m_tasks;
        std::set<std::shared_ptr<Timer>> m_delayed;
        std::set<Responder> m_heldRequests;
        Fault m_fault;
        int64_t m_starts { 0 };
        int64_t m_violations { 0 };
    };

    Result<Options> parseOptions(int argc, char** argv)
    {
        Options options;
        for (int i = 1; i + 1 < argc; i += 2) {
            const std::string_view name = argv[i];
            const char* value = argv[i + 1];
            if (name == "--listen") {
                BOOST_LEAF_ASSIGN(options.listen, parseAddress(value));
            } else if (name == "--cpu-milli")
                options.capacity.cpuMilli = std::atoll(value);
            else if (name == "--memory-mib")
                options.capacity.memoryMib = std::atoll(value);
            else if (name == "--accelerators")
                options.capacity.accelerators = std::atoll(value);
            else if (name == "--report-lag-ms")
                options.reportLag = Duration { std::atoll(value) };
            else if (name == "--journal")
                options.journal = value;
            else
                return fail(ErrorKind::InvalidRequest, "unknown option " + std::string(name));
        }
        return options;
    }

    Result<int> run(int argc, char** argv)
    {
        BOOST_LEAF_AUTO(options, parseOptions(argc, argv));
        EventLoop loop;
        Worker worker(loop, options);
        BOOST_LEAF_CHECK(worker.listen());
        loop.onTerminate([&loop] { loop.stop(); });
        loop.run();
        return 0;
    }

} // namespace
} // namespace hemlocklead

int main(int argc, char** argv)
{
    hemlocklead::configureLog("standin-worker", hemlocklead::LogLevel::Info);
    return hemlocklead::orElse([&] { return hemlocklead::run(argc, argv); },
        [](const hemlocklead::Error& error) {
            std::cerr << "standin-worker: " << error.message << '\n';
            return 2;
        });
}
