#pragma once

#include "state/ControlState.h"
#include "state/ShardState.h"

#include <string>
#include <string_view>

namespace hemlocklead {

constexpr uint32_t maxTasksPerSubmission = 10'000;
constexpr size_t maxPayloadBytes = 64 * 1024;
constexpr size_t maxIdempotencyKeyBytes = 256;

/// A checked request for a job.
struct JobSubmission {
    JobSpec spec; ///< With id.
    uint32_t shard { 0 };
    int64_t maxQueuedTasks { 0 }; ///< Limit of the catalogue entry.
};

/// Parses the body of `POST /jobs` against the catalogue: class, team and limits come from the governing entry. Fails
/// with `InvalidRequest`, naming the field, and with `NotFound` for a name that the catalogue does not have.
/// `chosenId` is the id that a forwarding entry chose; empty to derive or draw one.
Result<JobSubmission> parseSubmission(
    std::string_view body, const ControlState& control, uint32_t shards, int64_t unixMs, std::string_view chosenId);

} // namespace hemlocklead
