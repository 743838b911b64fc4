#pragma once

#include "dispatch/Journal.h"

namespace hemlocklead::dispatch {

/// Reads the epoch of the newest owner that the journal records: 0 if there is none, empty if it cannot be read.
void readOwnerEpoch(JournalService& journal, Duration timeout, std::function<void(std::optional<uint64_t>)> done);

} // namespace hemlocklead::dispatch
