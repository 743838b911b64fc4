#include "protocol/BodyHash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hemlocklead {

uint64_t bodyHash(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

} // namespace hemlocklead
