#pragma once

#include "state/Json.h"

#include <compare>
#include <cstdint>

namespace hemlocklead {

/// Amount of each resource of a host that a task reserves or a worker has.
struct Resources {
    int64_t cpuMilli { 0 }; ///< Thousandths of a processor core.
    int64_t memoryMib { 0 }; ///< MiB.
    int64_t accelerators { 0 }; ///< Whole devices.

    bool operator==(const Resources&) const = default;

    /// Whether every amount is at most that of `capacity`.
    bool fitsIn(const Resources& capacity) const
    {
        return cpuMilli <= capacity.cpuMilli && memoryMib <= capacity.memoryMib
            && accelerators <= capacity.accelerators;
    }

    /// Whether no amount is below zero.
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
