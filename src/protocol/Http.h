#pragma once

#include "protocol/Messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

constexpr size_t maxBodyBytes = 1024 * 1024;
constexpr size_t maxHeaderBytes = 64 * 1024;

/// HTTP request, independent of the connection it belongs to.
struct HttpRequest {
    std::string method { "GET" };
    std::string path { "/" }; ///< Includes the query.
    std::vector<HeaderField> headers;
    std::string body;

    /// Returns the value of the first header with this name (case-insensitive), or an empty view.
    std::string_view header(std::string_view name) const;
};

/// HTTP response, independent of the connection it belongs to.
struct HttpResponse {
    int status { 200 };
    std::vector<HeaderField> headers;
    std::string body;

    /// Returns the value of the first header with this name (case-insensitive), or an empty view.
    std::string_view header(std::string_view name) const;
};

/// Returns a response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

/// Returns the response for `error` according to the error table, with the header `Hemlocklead-Outcome`.
HttpResponse errorResponse(const Error& error, std::string_view requestId = {});

/// Returns the percent-decoded value of `key` in the query of `path`, or an empty string if it is missing.
std::string queryValue(std::string_view path, std::string_view key);

/// Returns the percent-decoded, non-empty segments of `path`, without the query.
std::vector<std::string> pathSegments(std::string_view path);

} // namespace hemlocklead
