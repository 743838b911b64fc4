#pragma once

#include "coordination/ProducerSequences.h"

#include <cstdint>

namespace hemlocklead {

/// State of a stream after all records through an offset: `{"through": offset, "state": {...}, "producers": {...}}`.
struct StreamSnapshot {
    uint64_t through { 0 }; ///< Last folded offset.
    Json state;
    ProducerSequences producers;
};

Json toJson(const StreamSnapshot& snapshot);

/// Decodes a snapshot, or a plain state with its `nextOffset`. Fails with `InvalidRequest` if it is malformed, if the
/// offsets of the snapshot and its state differ, or if no record has been folded.
Result<StreamSnapshot> parseStreamSnapshot(const Json& json);

} // namespace hemlocklead
