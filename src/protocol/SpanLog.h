#pragma once

#include "protocol/Traceparent.h"

#include <chrono>
#include <string_view>

namespace hemlocklead {

/// Writes one span as a log event `span`.
void logSpan(
    const TraceContext& span, std::string_view name, std::chrono::microseconds duration, std::string_view outcome);

} // namespace hemlocklead
