#include "protocol/HopHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <string>

namespace hemlocklead {

namespace {

    constexpr std::array<std::string_view, 14> nonForwardedNames { "connection", "keep-alive", "proxy-authenticate",
        "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
        "content-length", "expect", "traceparent", "x-request-id" };

    constexpr std::string_view internalPrefix = "hemlocklead-";

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
        return lower;
    }

    /// Adds the names in the comma-separated `list`, in lower case and without surrounding spaces.
    void addConnectionOptions(std::set<std::string>& names, std::string_view list)
    {
        while (!list.empty()) {
            const size_t end = std::min(list.find(','), list.size());
            std::string_view name = list.substr(0, end);
            while (!name.empty() && name.front() == ' ')
                name.remove_prefix(1);
            while (!name.empty() && name.back() == ' ')
                name.remove_suffix(1);
            names.insert(lowerCase(name));
            list.remove_prefix(std::min(end + 1, list.size()));
        }
    }

} // namespace

std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField>& headers)
{
    std::set<std::string> dropped(nonForwardedNames.begin(), nonForwardedNames.end());
    for (const HeaderField& header : headers) {
        if (lowerCase(header.name) == "connection")
            addConnectionOptions(dropped, header.value);
    }
    std::vector<HeaderField> kept;
    for (const HeaderField& header : headers) {
        const std::string name = lowerCase(header.name);
        if (!dropped.contains(name) && !name.starts_with(internalPrefix))
            kept.push_back(header);
    }
    return kept;
}

} // namespace hemlocklead
