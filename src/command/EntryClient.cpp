#include "command/EntryClient.h"

#include "command/ExitCode.h"
#include "transport/HttpClient.h"

#include <cctype>

namespace hemlocklead {

namespace {

    constexpr int statusUnavailable = 503;

    bool isRetryable(const EntryAnswer& answer)
    {
        if (answer.status == EntryAnswer::Status::Unreachable)
            return true;
        return answer.status == EntryAnswer::Status::Answered && answer.response.status == statusUnavailable
            && answer.response.header("Hemlocklead-Outcome") == "not-run";
    }

    EntryAnswer answerOf(HttpExchange exchange, const Address& entry)
    {
        switch (exchange.status) {
        case HttpExchange::Status::Answered:
            return { EntryAnswer::Status::Answered, std::move(exchange.response), entry };
        case HttpExchange::Status::NotSent:
            return { EntryAnswer::Status::Unreachable, {}, entry };
        case HttpExchange::Status::Unknown:
            break;
        }
        return { EntryAnswer::Status::Unknown, {}, entry };
    }

} // namespace

Json EntryAnswer::json() const
{
    Json parsed = Json::parse(response.body, nullptr, false);
    return parsed.is_discarded() ? Json() : parsed;
}

int EntryAnswer::exitCode() const
{
    if (status == Status::Unreachable)
        return exitUnreachable;
    if (status == Status::Unknown || response.header("Hemlocklead-Outcome") == "unknown")
        return exitUnknown;
    return isDone() ? exitDone : exitRefused;
}

EntryClient::EntryClient(std::vector<Address> entries, Duration timeout)
    : m_entries(std::move(entries))
    , m_timeout(timeout)
{
}

EntryAnswer EntryClient::send(const std::string& method, const std::string& path, const Json& body)
{
    EntryAnswer best;
    for (const Address& entry : m_entries) {
        EntryAnswer answer = sendTo(entry, method, path, body);
        const bool isLostRead = method == "GET" && answer.status == EntryAnswer::Status::Unknown;
        if (!isRetryable(answer) && !isLostRead)
            return answer;
        // A refusal tells more than an entry that was not reached.
        if (best.status != EntryAnswer::Status::Answered && !isLostRead)
            best = std::move(answer);
    }
    return best;
}

EntryAnswer EntryClient::sendTo(
    const Address& entry, const std::string& method, const std::string& path, const Json& body)
{
    HttpRequest request { method, path, {}, {} };
    if (!body.is_null()) {
        request.headers.push_back({ "Content-Type", "application/json" });
        request.body = jsonText(body);
    }
    HttpExchange result;
    HttpClient client(m_loop, entry, 1);
    client.send(std::move(request), m_timeout, [&](HttpExchange exchange) {
        result = std::move(exchange);
        m_loop.stop();
    });
    m_loop.run();
    return answerOf(std::move(result), entry);
}

void EntryClient::sleep(Duration duration)
{
    Timer timer(m_loop);
    timer.startOnce(duration, [this] { m_loop.stop(); });
    m_loop.run();
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace hemlocklead
