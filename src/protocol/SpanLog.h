#pragma once

#include "protocol/Traceparent.h"

#include <chrono>
#include <string_view>

namespace hemlocklead {

/// Logs a finished span as the event `span`.
void logSpan(
    const TraceContext& span, std::string_view name, std::chrono::microseconds duration, std::string_view outcome);

} // namespace hemlocklead
