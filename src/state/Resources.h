#pragma once

#include "state/Json.h"

#include <compare>
#include <cstdint>

namespace hemlocklead {

/// Amounts of a host's resources: the reservation of a task or the capacity of a worker.
struct Resources {
    int64_t cpuMilli { 0 }; ///< Thousandths of a processor core.
    int64_t memoryMib { 0 }; ///< Memory in MiB.
    int64_t accelerators { 0 }; ///< Number of whole accelerator devices.

    bool operator==(const Resources&) const = default;

    /// Whether no amount exceeds that of `capacity`.
    bool fitsIn(const Resources& capacity) const
    {
        return cpuMilli <= capacity.cpuMilli && memoryMib <= capacity.memoryMib
            && accelerators <= capacity.accelerators;
    }

    /// Whether no amount is negative.
    bool isNonNegative() const { return cpuMilli >= 0 && memoryMib >= 0 && accelerators >= 0; }

    Resources operator+(const Resources& other) const
    {
        return { cpuMilli + other.cpuMilli, memoryMib + other.memoryMib, accelerators + other.accelerators };
    }

    Resources operator-(const Resources& other) const
    {
        return { cpuMilli - other.cpuMilli, memoryMib - other.memoryMib, accelerators - other.accelerators };
    }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, cpuMilli, memoryMib, accelerators)

} // namespace hemlocklead
