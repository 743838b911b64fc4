#include "protocol/SpanLog.h"

#include "base/Log.h"

namespace hemlocklead {

void logSpan(
    const TraceContext& span, std::string_view name, std::chrono::microseconds duration, std::string_view outcome)
{
    LogEvent(LogLevel::Info, "span")
        .field("trace_id", span.traceId)
        .field("span_id", span.spanId)
        .field("parent_id", span.parentId)
        .field("name", name)
        .field("duration_us", static_cast<int64_t>(duration.count()))
        .field("outcome", outcome);
}

} // namespace hemlocklead
