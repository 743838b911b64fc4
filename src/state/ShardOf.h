#pragma once

#include <cstdint>
#include <string_view>

namespace hemlocklead {

/// Shard of a team's jobs, from 0 to `shards` - 1: XXH3-64 of the team's name modulo `shards`, which must be positive.
/// All jobs of a team are in one shard, so that the shard's owner can enforce the team's quota alone.
uint32_t shardOf(std::string_view team, uint32_t shards);

} // namespace hemlocklead
