#pragma once

#include "protocol/Messages.h"

#include <string_view>
#include <vector>

namespace hemlocklead {

/// Returns the headers that are forwarded to the next hop. Leaves out hop-by-hop headers, headers that `Connection`
/// lists, `Host`, `Content-Length`, `Expect`, and headers that each hop sets itself (`traceparent`, `X-Request-Id` and
/// all `Hemlocklead-` headers).
std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField>& headers);

} // namespace hemlocklead
