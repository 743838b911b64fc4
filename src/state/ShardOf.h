#pragma once

#include <cstdint>
#include <string_view>

namespace hemlocklead {

/// Shard of a team's jobs, from 0 to `shards` - 1: XXH3-64 of the team's name modulo `shards`, which is above 0. All of
/// a team's jobs are in one shard, so that its owner enforces the team's quota alone.
uint32_t shardOf(std::string_view team, uint32_t shards);

} // namespace hemlocklead
