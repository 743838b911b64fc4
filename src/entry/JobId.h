#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Id of a new job, `sSHARD-` and 32 hexadecimal digits. The id carries the shard, which follows from the team.
std::string randomJobId(uint32_t shard);

/// Id of a job with an idempotency key: the same team, name and key give the same id at every entry.
std::string keyedJobId(uint32_t shard, std::string_view team, std::string_view name, std::string_view key);

/// Shard that an id carries; nullopt when it is no job id.
std::optional<uint32_t> shardOfJobId(std::string_view id);

} // namespace hemlocklead
