#include "entry/JobId.h"

#include "protocol/Traceparent.h"
#include "state/Json.h"

#include <charconv>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hemlocklead {

namespace {

    constexpr size_t idDigits = 32;

    std::string idPrefix(uint32_t shard) { return "s" + std::to_string(shard) + "-"; }

    std::string hexText(uint64_t value)
    {
        char text[idDigits] = {};
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
        return text;
    }

} // namespace

std::string randomJobId(uint32_t shard) { return idPrefix(shard) + randomHex(idDigits); }

std::string keyedJobId(uint32_t shard, std::string_view team, std::string_view name, std::string_view key)
{
    // The JSON encoding is unambiguous, whichever characters the three parts contain.
    const std::string text = jsonText(Json::array({ team, name, key }));
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return idPrefix(shard) + hexText(hash.high64) + hexText(hash.low64);
}

std::optional<uint32_t> shardOfJobId(std::string_view id)
{
    const size_t dash = id.find('-');
    if (dash == std::string_view::npos || dash < 2 || id.size() != dash + 1 + idDigits || id[0] != 's')
        return std::nullopt;
    uint32_t shard = 0;
    const char* end = id.data() + dash;
    const auto parsed = std::from_chars(id.data() + 1, end, shard);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return shard;
}

} // namespace hemlocklead
