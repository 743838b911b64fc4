#pragma once

#include "dispatch/Dispatcher.h"

namespace hemlocklead {

/// Calendar time that moves only when the test sets it.
class FixedWallClock final : public dispatch::WallClock {
public:
    int64_t unixMs() const override { return now; }

    int64_t now { 1'000'000 };
};

} // namespace hemlocklead
