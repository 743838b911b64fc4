#include "entry/CallRequest.h"

#include "protocol/HopHeaders.h"

#include <algorithm>
#include <charconv>

namespace hemlocklead {

namespace {

    constexpr size_t maxRequestIdLength = 128;
    constexpr Duration maxTimeout { 600'000 };

    Result<bool> parseIdempotent(const HttpRequest& request)
    {
        const std::string_view value = request.header("Hemlocklead-Idempotent");
        if (value == "true" || value == "false")
            return value == "true";
        if (!value.empty())
            return fail(ErrorKind::InvalidRequest, "Hemlocklead-Idempotent is neither true nor false");
        const std::string& method = request.method;
        return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
    }

    Result<Duration> parseTimeout(const HttpRequest& request, Duration defaultTimeout)
    {
        const std::string_view value = request.header("Hemlocklead-Timeout-Ms");
        if (value.empty())
            return defaultTimeout;
        int64_t milliseconds = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size() || milliseconds <= 0)
            return fail(ErrorKind::InvalidRequest, "Hemlocklead-Timeout-Ms is no positive number");
        return std::min(Duration { milliseconds }, maxTimeout);
    }

    /// The part of `path` after `/call/NAME`, with its query; begins with `/`.
    std::string targetPath(std::string_view path)
    {
        const size_t name = path.find_first_not_of('/', path.find("call") + 4);
        const size_t end = std::min(path.find_first_of("/?", name), path.size());
        const std::string rest(path.substr(end));
        return rest.starts_with('/') ? rest : "/" + rest;
    }

    Result<const CatalogueEntry*> findEntry(const ControlState& control, const std::string& name)
    {
        const CatalogueItem* item = control.item(name);
        const CatalogueEntry* entry = item ? item->governing() : nullptr;
        if (!entry || entry->workClass != WorkClass::AnswerNow)
            return fail(ErrorKind::NotFound, "no answer-now catalogue entry '" + name + "'");
        return entry;
    }

} // namespace

std::string callerRequestId(const HttpRequest& request)
{
    const std::string_view value = request.header("X-Request-Id");
    const bool printable = std::ranges::all_of(value, [](char c) { return c > ' ' && c < 0x7f; });
    if (!value.empty() && value.size() <= maxRequestIdLength && printable)
        return std::string(value);
    return randomHex(32);
}

AdmissionQueue::Limits admissionLimits(const CatalogueEntry& entry)
{
    return { entry.limits.maxInFlight, entry.limits.maxQueued };
}

Result<CallRequest> parseCallRequest(HttpRequest request, const ControlState& control, Instant now)
{
    const std::vector<std::string> segments = pathSegments(request.path);
    if (segments.size() < 2 || segments[0] != "call")
        return fail(ErrorKind::NotFound, "expected /call/NAME/PATH");
    BOOST_LEAF_AUTO(entry, findEntry(control, segments[1]));
    BOOST_LEAF_AUTO(idempotent, parseIdempotent(request));
    BOOST_LEAF_AUTO(timeout, parseTimeout(request, entry->limits.timeoutMs));
    CallRequest call;
    call.name = segments[1];
    call.service = entry->service.empty() ? call.name : entry->service;
    call.path = targetPath(request.path);
    call.headers = endToEndHeaders(request.headers);
    call.span = startSpan(request.header("traceparent"));
    call.method = std::move(request.method);
    call.body = std::move(request.body);
    call.idempotent = idempotent;
    call.deadline = now + timeout;
    call.limits = admissionLimits(*entry);
    return call;
}

} // namespace hemlocklead
