#pragma once

#include <cstdint>
#include <string_view>

namespace hemlocklead {

/// XXH3-64 of `body`.
uint64_t bodyHash(std::string_view body);

} // namespace hemlocklead
