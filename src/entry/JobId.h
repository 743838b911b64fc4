#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Random id of a new job: `sSHARD-` and 32 hexadecimal digits. SHARD is the shard of the job's team.
std::string randomJobId(uint32_t shard);

/// Id of a job with an idempotency key. The same team, name and key give the same id on every entry.
std::string keyedJobId(uint32_t shard, std::string_view team, std::string_view name, std::string_view key);

/// Shard encoded in a job id; nullopt if `id` is not a job id.
std::optional<uint32_t> shardOfJobId(std::string_view id);

} // namespace hemlocklead
