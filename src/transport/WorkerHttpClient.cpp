#include "transport/WorkerHttpClient.h"

#include <array>

namespace hemlocklead {

namespace {

    /// A longer timeout would delay a renewal past a third of the worker lease of 6 s.
    constexpr Duration callTimeout { 1000 };
    constexpr size_t maxConnections = 8;

    std::string percentEncode(const std::string& text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string out;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (std::isalnum(byte) || c == '-' || c == '.' || c == '_') {
                out += c;
                continue;
            }
            out += '%';
            out += digits[byte >> 4];
            out += digits[byte & 15];
        }
        return out;
    }

    std::string taskPath(const std::string& id) { return "/tasks/" + percentEncode(id); }

    HttpRequest request(std::string method, std::string path, const Json& body)
    {
        HttpRequest out { std::move(method), std::move(path), {}, {} };
        if (!body.is_null()) {
            out.headers.push_back({ "Content-Type", "application/json" });
            out.body = jsonText(body);
        }
        return out;
    }

    WorkerCallResult callResult(const HttpExchange& exchange)
    {
        if (exchange.status == HttpExchange::Status::NotSent)
            return WorkerCallResult::NotSent;
        if (exchange.status == HttpExchange::Status::Unknown || exchange.response.status >= 500)
            return WorkerCallResult::Unknown;
        return exchange.response.status < 300 ? WorkerCallResult::Done : WorkerCallResult::Rejected;
    }

    /// Returns the JSON body of a response with status 200, or null if there is none.
    Json okResponseJson(const HttpExchange& exchange)
    {
        if (exchange.status != HttpExchange::Status::Answered || exchange.response.status != 200)
            return nullptr;
        return orElse([&] { return parseJson(exchange.response.body); }, [](const Error&) { return Json(nullptr); });
    }

    Result<WorkerTask> parseTask(const Json& json)
    {
        if (!json.is_object() || !json.contains("id") || !json.contains("state"))
            return fail(ErrorKind::InvalidRequest, "task without id or state");
        WorkerTask task;
        BOOST_LEAF_ASSIGN(task.id, fromJson<std::string>(json["id"]));
        BOOST_LEAF_ASSIGN(task.usage, parseWorkerResources(json.value("usage", Json::object())));
        BOOST_LEAF_ASSIGN(task.progress, fromJson<int64_t>(json.value("progress", Json(0))));
        BOOST_LEAF_ASSIGN(task.checkpointProgress, fromJson<int64_t>(json.value("checkpoint_progress", Json(0))));
        BOOST_LEAF_ASSIGN(task.checkpoint, fromJson<std::string>(json.value("checkpoint", Json(""))));
        BOOST_LEAF_ASSIGN(task.result, fromJson<std::string>(json.value("result", Json(""))));
        task.labels = json.value("labels", Json::object());
        const WorkerTaskState state = json["state"].get<WorkerTaskState>();
        if (Json(state) != json["state"])
            return fail(ErrorKind::InvalidRequest, "unknown task state");
        task.state = state;
        return task;
    }

    Result<std::vector<WorkerTask>> parseTasks(const Json& json)
    {
        if (!json.is_object() || !json.contains("tasks") || !json["tasks"].is_array())
            return fail(ErrorKind::InvalidRequest, "no task list");
        std::vector<WorkerTask> tasks;
        for (const Json& entry : json["tasks"]) {
            BOOST_LEAF_AUTO(task, parseTask(entry));
            tasks.push_back(std::move(task));
        }
        return tasks;
    }

    Json startBody(const WorkerTaskSpec& spec)
    {
        return { { "id", spec.id }, { "name", spec.name }, { "payload", spec.payload },
            { "resources", workerResourcesJson(spec.resources) }, { "lease_ms", spec.lease.count() },
            { "checkpoint", spec.checkpoint }, { "labels", spec.labels } };
    }

} // namespace

Json workerResourcesJson(const Resources& resources)
{
    return { { "cpu_milli", resources.cpuMilli }, { "memory_mib", resources.memoryMib },
        { "accelerators", resources.accelerators } };
}

Result<Resources> parseWorkerResources(const Json& json)
{
    if (!json.is_object())
        return fail(ErrorKind::InvalidRequest, "resources must be an object");
    Resources resources;
    BOOST_LEAF_ASSIGN(resources.cpuMilli, fromJson<int64_t>(json.value("cpu_milli", Json(0))));
    BOOST_LEAF_ASSIGN(resources.memoryMib, fromJson<int64_t>(json.value("memory_mib", Json(0))));
    BOOST_LEAF_ASSIGN(resources.accelerators, fromJson<int64_t>(json.value("accelerators", Json(0))));
    return resources;
}

WorkerHttpClient::WorkerHttpClient(EventLoop& loop, const Address& address)
    : m_client(loop, address, maxConnections)
{
}

void WorkerHttpClient::capacity(std::function<void(std::optional<Resources>)> done)
{
    m_client.send({ "GET", "/capacity", {}, {} }, callTimeout, [done = std::move(done)](const HttpExchange& exchange) {
        done(orElse(
            [&]() -> Result<std::optional<Resources>> {
                BOOST_LEAF_AUTO(resources, parseWorkerResources(okResponseJson(exchange)));
                return std::optional(resources);
            },
            [](const Error&) { return std::optional<Resources>(); }));
    });
}

void WorkerHttpClient::list(std::function<void(std::optional<std::vector<WorkerTask>>)> done)
{
    m_client.send({ "GET", "/tasks", {}, {} }, callTimeout, [done = std::move(done)](const HttpExchange& exchange) {
        done(orElse(
            [&]() -> Result<std::optional<std::vector<WorkerTask>>> {
                BOOST_LEAF_AUTO(tasks, parseTasks(okResponseJson(exchange)));
                return std::optional(std::move(tasks));
            },
            [](const Error&) { return std::optional<std::vector<WorkerTask>>(); }));
    });
}

void WorkerHttpClient::start(const WorkerTaskSpec& spec, ResultCallback done)
{
    send("POST", "/tasks", startBody(spec), std::move(done));
}

void WorkerHttpClient::renew(const std::string& id, Duration lease, ResultCallback done)
{
    send("POST", taskPath(id) + "/lease", { { "lease_ms", lease.count() } }, std::move(done));
}

void WorkerHttpClient::checkpoint(const std::string& id, ResultCallback done)
{
    send("POST", taskPath(id) + "/checkpoint", Json::object(), std::move(done));
}

void WorkerHttpClient::throttle(const std::string& id, double factor, ResultCallback done)
{
    send("POST", taskPath(id) + "/throttle", { { "factor", factor } }, std::move(done));
}

void WorkerHttpClient::stop(const std::string& id, ResultCallback done)
{
    m_client.send(
        { "DELETE", taskPath(id), {}, {} }, callTimeout, [done = std::move(done)](const HttpExchange& exchange) {
            const bool unknownTask
                = exchange.status == HttpExchange::Status::Answered && exchange.response.status == 404;
            done(unknownTask ? WorkerCallResult::Done : callResult(exchange));
        });
}

void WorkerHttpClient::send(std::string method, std::string path, const Json& body, ResultCallback done)
{
    m_client.send(request(std::move(method), std::move(path), body), callTimeout,
        [done = std::move(done)](const HttpExchange& exchange) { done(callResult(exchange)); });
}

} // namespace hemlocklead
