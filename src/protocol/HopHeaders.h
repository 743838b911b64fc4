#pragma once

#include "protocol/Messages.h"

#include <string_view>
#include <vector>

namespace hemlocklead {

/// Headers that pass a hop: without the hop-by-hop ones, those that `Connection` names, `Host`, `Content-Length`, and
/// those that each hop sets itself (`traceparent`, `X-Request-Id` and the `Hemlocklead-` ones).
std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField>& headers);

} // namespace hemlocklead
