#pragma once

#include "coordination/ProducerSequences.h"

#include <cstdint>

namespace hemlocklead {

/// State of a stream after all records up to an offset: `{"through": offset, "state": {...}, "producers": {...}}`.
struct StreamSnapshot {
    uint64_t through { 0 }; ///< Last folded offset.
    Json state;
    ProducerSequences producers;
};

Json toJson(const StreamSnapshot& snapshot);

/// Reads a snapshot, or a plain state with its `nextOffset`. Fails with `InvalidRequest` when it is malformed, the
/// offsets of the snapshot and its state differ, or nothing has been folded.
Result<StreamSnapshot> parseStreamSnapshot(const Json& json);

} // namespace hemlocklead
