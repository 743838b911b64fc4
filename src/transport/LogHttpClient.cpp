#include "transport/LogHttpClient.h"

#include "state/RecordFields.h"

namespace hemlocklead {

namespace {

    /// Enough for a concurrent read, append and snapshot of each stream; further operations are queued.
    constexpr size_t maxConnections = 32;

    constexpr int statusOk = 200;

    bool isRejection(int status) { return status >= 400 && status < 500; }

    Json parseBody(const HttpExchange& exchange)
    {
        if (exchange.status != HttpExchange::Status::Answered || exchange.response.status != statusOk)
            return Json(Json::value_t::discarded);
        return Json::parse(exchange.response.body, nullptr, false);
    }

    AppendOutcome parseAppend(const HttpExchange& exchange)
    {
        using Status = AppendOutcome::Status;
        if (exchange.status == HttpExchange::Status::NotSent)
            return { Status::NotStored, 0 };
        if (exchange.status == HttpExchange::Status::Answered && isRejection(exchange.response.status))
            return { Status::NotStored, 0 };
        const Json body = parseBody(exchange);
        const auto offset = body.is_object() ? numberField(body, "offset") : std::nullopt;
        if (!offset)
            return { Status::Unknown, 0 };
        return { Status::Stored, *offset };
    }

    std::optional<LogRecord> parseRecord(Json& json)
    {
        if (!json.is_object())
            return std::nullopt;
        const auto offset = numberField(json, "offset");
        const auto data = json.find("data");
        if (!offset || data == json.end() || !data->is_string())
            return std::nullopt;
        return LogRecord { *offset, std::move(data->get_ref<std::string&>()) };
    }

    std::optional<LogPage> parsePage(const HttpExchange& exchange)
    {
        Json body = parseBody(exchange);
        if (!body.is_object())
            return std::nullopt;
        const auto first = numberField(body, "first");
        const auto end = numberField(body, "end");
        const auto records = body.find("records");
        if (!first || !end || records == body.end() || !records->is_array())
            return std::nullopt;
        LogPage page { *first, *end, {} };
        page.records.reserve(records->size());
        for (Json& json : *records) {
            auto record = parseRecord(json);
            if (!record)
                return std::nullopt;
            page.records.push_back(std::move(*record));
        }
        return page;
    }

} // namespace

LogHttpClient::LogHttpClient(EventLoop& loop, Address address, Duration timeout)
    : m_timeout(timeout)
    , m_client(loop, std::move(address), maxConnections, maxLogBodyBytes)
{
}

void LogHttpClient::append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done)
{
    HttpRequest request { "POST", "/streams/" + stream, { { "Content-Type", "application/json" } }, std::move(data) };
    m_client.send(std::move(request), m_timeout,
        [finish = std::move(done)](const HttpExchange& exchange) { finish(parseAppend(exchange)); });
}

void LogHttpClient::read(
    const std::string& stream, uint64_t from, size_t limit, std::function<void(std::optional<LogPage>)> done)
{
    const std::string query = "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    m_client.send({ "GET", "/streams/" + stream + query, {}, {} }, m_timeout,
        [finish = std::move(done)](const HttpExchange& exchange) { finish(parsePage(exchange)); });
}

} // namespace hemlocklead
