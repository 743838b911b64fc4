#include "command/EntryClient.h"

#include "command/ExitCode.h"
#include "transport/HttpClient.h"

#include <cctype>

namespace hemlocklead {

namespace {

    constexpr int statusUnavailable = 503;

    bool isRetryable(const EntryResult& result)
    {
        if (result.status == EntryResult::Status::Unreachable)
            return true;
        return result.status == EntryResult::Status::Answered && result.response.status == statusUnavailable
            && result.response.header("Hemlocklead-Outcome") == "not-run";
    }

    EntryResult resultOf(HttpExchange exchange, const Address& entry)
    {
        switch (exchange.status) {
        case HttpExchange::Status::Answered:
            return { EntryResult::Status::Answered, std::move(exchange.response), entry };
        case HttpExchange::Status::NotSent:
            return { EntryResult::Status::Unreachable, {}, entry };
        case HttpExchange::Status::Unknown:
            break;
        }
        return { EntryResult::Status::Unknown, {}, entry };
    }

} // namespace

Json EntryResult::json() const
{
    Json parsed = Json::parse(response.body, nullptr, false);
    return parsed.is_discarded() ? Json() : parsed;
}

int EntryResult::exitCode() const
{
    if (status == Status::Unreachable)
        return exitUnreachable;
    if (status == Status::Unknown || response.header("Hemlocklead-Outcome") == "unknown")
        return exitOutcomeUnknown;
    return isSuccess() ? exitSuccess : exitRefused;
}

EntryClient::EntryClient(std::vector<Address> entries, Duration timeout)
    : m_entries(std::move(entries))
    , m_timeout(timeout)
{
}

EntryResult EntryClient::send(const std::string& method, const std::string& path, const Json& body)
{
    EntryResult bestFailure;
    for (const Address& entry : m_entries) {
        EntryResult result = sendTo(entry, method, path, body);
        const bool isUnansweredGet = method == "GET" && result.status == EntryResult::Status::Unknown;
        if (!isRetryable(result) && !isUnansweredGet)
            return result;
        // A refusal is more informative than an entry that could not be reached.
        if (bestFailure.status != EntryResult::Status::Answered && !isUnansweredGet)
            bestFailure = std::move(result);
    }
    return bestFailure;
}

EntryResult EntryClient::sendTo(
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
    return resultOf(std::move(result), entry);
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
