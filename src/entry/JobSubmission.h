#pragma once

#include "state/ControlState.h"
#include "state/ShardState.h"

#include <string>
#include <string_view>

namespace hemlocklead {

constexpr uint32_t maxTasksPerSubmission = 10'000;
constexpr size_t maxPayloadBytes = 64 * 1024;
constexpr size_t maxIdempotencyKeyBytes = 256;

/// A validated job submission.
struct JobSubmission {
    JobSpec spec; ///< Including the id.
    uint32_t shard { 0 };
    int64_t maxQueuedTasks { 0 }; ///< Limit of the governing catalogue entry.
};

/// Parses the body of `POST /jobs` against the catalogue: class, team and limits come from the governing entry. Fails
/// with `InvalidRequest`, naming the field, and with `NotFound` for a name that is not in the catalogue.
///
/// `chosenId` is the id that a forwarding entry chose. If it is empty, the id is random. With an idempotency key, the
/// id is always derived from the key.
Result<JobSubmission> parseSubmission(
    std::string_view body, const ControlState& control, uint32_t shards, int64_t unixMs, std::string_view chosenId);

} // namespace hemlocklead
