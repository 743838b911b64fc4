#include "state/ShardOf.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cassert>

namespace hemlocklead {

uint32_t shardOf(std::string_view team, uint32_t shards)
{
    assert(shards > 0);
    return static_cast<uint32_t>(XXH3_64bits(team.data(), team.size()) % shards);
}

} // namespace hemlocklead
