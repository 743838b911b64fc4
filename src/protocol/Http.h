#pragma once

#include "protocol/Messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

constexpr size_t maxBodyBytes = 1024 * 1024;
constexpr size_t maxHeaderBytes = 64 * 1024;

/// HTTP request as a value.
struct HttpRequest {
    std::string method { "GET" };
    std::string path { "/" }; ///< With query.
    std::vector<HeaderField> headers;
    std::string body;

    /// Value of the header, matched without regard to case, or an empty view.
    std::string_view header(std::string_view name) const;
};

/// HTTP response as a value.
struct HttpResponse {
    int status { 200 };
    std::vector<HeaderField> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

/// Response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

/// Response to an error, by the error table, with the header `Hemlocklead-Outcome`.
HttpResponse errorResponse(const Error& error, std::string_view requestId = {});

/// Value of `key` in the query part of `path`, or an empty string. Percent escapes are decoded.
std::string queryValue(std::string_view path, std::string_view key);

/// Segments of `path` before the query, percent escapes decoded, empty segments dropped.
std::vector<std::string> pathSegments(std::string_view path);

} // namespace hemlocklead
