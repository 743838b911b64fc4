#include "protocol/Http.h"

#include "protocol/ErrorTable.h"

#include <algorithm>
#include <cctype>

namespace hemlocklead {

namespace {

    bool equalIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::ranges::equal(
            a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    std::string_view findHeader(const std::vector<HeaderField>& headers, std::string_view name)
    {
        for (const HeaderField& header : headers) {
            if (equalIgnoringCase(header.name, name))
                return header.value;
        }
        return {};
    }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        const int lower = std::tolower(static_cast<unsigned char>(c));
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    std::string percentDecode(std::string_view text)
    {
        std::string out;
        for (size_t i = 0; i < text.size(); ++i) {
            const bool escape
                = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (!escape) {
                out += text[i];
                continue;
            }
            out += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        }
        return out;
    }

} // namespace

std::string_view HttpRequest::header(std::string_view name) const { return findHeader(headers, name); }

std::string_view HttpResponse::header(std::string_view name) const { return findHeader(headers, name); }

HttpResponse jsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpResponse errorResponse(const Error& error, std::string_view requestId)
{
    const ErrorMapping& mapping = errorMapping(error.kind);
    HttpResponse response = jsonResponse(mapping.status, errorBody(error, requestId));
    response.headers.push_back({ "Hemlocklead-Outcome", std::string(outcomeName(mapping.outcome)) });
    return response;
}

std::string queryValue(std::string_view path, std::string_view key)
{
    const size_t queryStart = path.find('?');
    if (queryStart == std::string_view::npos)
        return {};
    std::string_view query = path.substr(queryStart + 1);
    while (!query.empty()) {
        const size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const size_t equals = std::min(pair.find('='), pair.size());
        if (percentDecode(pair.substr(0, equals)) == key)
            return percentDecode(pair.substr(std::min(equals + 1, pair.size())));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::vector<std::string> pathSegments(std::string_view path)
{
    path = path.substr(0, path.find('?'));
    std::vector<std::string> segments;
    while (!path.empty()) {
        const size_t end = std::min(path.find('/'), path.size());
        if (end > 0)
            segments.push_back(percentDecode(path.substr(0, end)));
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return segments;
}

} // namespace hemlocklead
