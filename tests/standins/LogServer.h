#pragma once

#include "state/RecordFields.h"
#include "support/LogStore.h"
#include "transport/HttpServer.h"
#include "transport/LogHttpClient.h"

#include <charconv>
#include <list>
#include <memory>

namespace hemlocklead {

/// HTTP server for a LogStore, with fault injection.
///
/// `PUT /fault {"mode": "none"|"down"|"slow"|"lose-answer", "delayMs": N, "count": N}` applies to the next `count`
/// operations on streams, or to all further operations if there is no count.
/// `GET /stats` -> `{NAME: {"appends", "bytes"}}`.
class LogServer {
public:
    LogServer(EventLoop& loop, size_t retentionRecords)
        : m_loop(loop)
        , m_server(
              loop,
              [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                  handleRequest(request, responder);
              },
              maxLogBodyBytes)
    {
        m_store.setRetention(retentionRecords);
    }

    Result<void> listen(const Address& address) { return m_server.listen(address); }

private:
    enum class Mode : uint8_t { None, Down, Slow, LoseAnswer };

    struct ModeName {
        const char* name;
        Mode mode;
    };

    /// A response that is sent when its timer fires.
    struct DelayedReply {
        std::shared_ptr<HttpResponder> responder;
        HttpResponse response;
        std::unique_ptr<Timer> timer;
    };

    void handleRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
    {
        const std::vector<std::string> path = pathSegments(request.path);
        if (path.size() == 2 && path[0] == "streams")
            handleStreamRequest(path[1], request, responder);
        else if (path.size() == 1 && path[0] == "fault" && request.method == "PUT")
            responder->reply(setFault(request.body));
        else if (path.size() == 1 && path[0] == "stats")
            responder->reply(stats());
        else
            responder->reply(errorResponse({ ErrorKind::NotFound, "no such resource" }));
    }

    void handleStreamRequest(
        const std::string& name, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
    {
        const Mode mode = takeFault();
        if (mode == Mode::Down) {
            responder->abort();
            return;
        }
        HttpResponse response = request.method == "POST" ? append(name, request.body) : read(name, request.path);
        if (mode == Mode::LoseAnswer)
            responder->abort();
        else if (mode == Mode::Slow)
            replyLater(responder, std::move(response));
        else
            responder->reply(response);
    }

    HttpResponse append(const std::string& name, const std::string& data)
    {
        return jsonResponse(200, jsonText(Json { { "offset", m_store.append(name, data) } }));
    }

    HttpResponse read(const std::string& name, const std::string& path) const
    {
        uint64_t from = 0;
        uint64_t limit = 0;
        if (!parseNumber(queryValue(path, "from"), from) || !parseNumber(queryValue(path, "limit"), limit))
            return errorResponse({ ErrorKind::InvalidRequest, "from and limit must be numbers" });
        const LogPage page = m_store.read(name, from, limit);
        Json records = Json::array();
        for (const LogRecord& record : page.records)
            records.push_back({ { "offset", record.offset }, { "data", record.data } });
        const Json body { { "first", page.first }, { "end", page.end }, { "records", std::move(records) } };
        return jsonResponse(200, jsonText(body));
    }

    static bool parseNumber(const std::string& text, uint64_t& number)
    {
        const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
        return !text.empty() && read.ec == std::errc() && read.ptr == text.data() + text.size();
    }

    HttpResponse setFault(const std::string& body)
    {
        const ModeName modes[] = { { "none", Mode::None }, { "down", Mode::Down }, { "slow", Mode::Slow },
            { "lose-answer", Mode::LoseAnswer } };
        const Json json = Json::parse(body, nullptr, false);
        const std::string name = json.is_object() ? textOrEmpty(json, "mode") : std::string();
        const auto* found = std::ranges::find(modes, name, &ModeName::name);
        if (found == std::end(modes))
            return errorResponse({ ErrorKind::InvalidRequest, "mode must be none, down, slow or lose-answer" });
        m_mode = found->mode;
        m_delay = Duration { static_cast<int64_t>(numberField(json, "delayMs", maxDelayMs).value_or(0)) };
        m_isCounted = numberField(json, "count").has_value();
        m_count = numberField(json, "count").value_or(0);
        return jsonResponse(200, "{}");
    }

    Mode takeFault()
    {
        if (!m_isCounted)
            return m_mode;
        if (m_count == 0)
            return Mode::None;
        --m_count;
        return m_mode;
    }

    void replyLater(const std::shared_ptr<HttpResponder>& responder, HttpResponse response)
    {
        m_delayed.push_back({ responder, std::move(response), std::make_unique<Timer>(m_loop) });
        const auto entry = std::prev(m_delayed.end());
        entry->timer->startOnce(m_delay, [this, entry] {
            entry->responder->reply(entry->response);
            m_delayed.erase(entry);
        });
    }

    HttpResponse stats() const
    {
        Json json = Json::object();
        for (const auto& [name, counts] : m_store.stats())
            json[name] = { { "appends", counts.appends }, { "bytes", counts.bytes } };
        return jsonResponse(200, jsonText(json));
    }

    static constexpr uint64_t maxDelayMs = 3'600'000;

    EventLoop& m_loop;
    LogStore m_store;
    Mode m_mode { Mode::None };
    Duration m_delay { 0 };
    bool m_isCounted { false };
    uint64_t m_count { 0 };
    std::list<DelayedReply> m_delayed;
    HttpServer m_server;
};

} // namespace hemlocklead
