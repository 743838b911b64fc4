#pragma once

#include <cstdint>
#include <string_view>

namespace hemlocklead {

/// Returns the XXH3 64-bit hash of `body`.
uint64_t bodyHash(std::string_view body);

} // namespace hemlocklead
