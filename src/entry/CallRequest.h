#pragma once

#include "base/Clock.h"
#include "coordination/AdmissionQueue.h"
#include "protocol/Http.h"
#include "protocol/Traceparent.h"
#include "state/ControlState.h"

#include <string>
#include <vector>

namespace hemlocklead {

/// A caller's request to `/call/NAME/PATH`, with the limits of the governing catalogue entry.
struct CallRequest {
    std::string id; ///< Returned to the caller as `X-Request-Id`; not set by `parseCallRequest`.
    std::string name; ///< Catalogue name.
    std::string service; ///< Name under which targets announce themselves.
    std::string method;
    std::string path; ///< Path at the target, with its query; begins with `/`.
    std::vector<HeaderField> headers; ///< Without the hop-by-hop ones.
    std::string body;
    bool idempotent { false };
    Instant deadline;
    AdmissionQueue::Limits limits;
    TraceContext span;
};

/// The caller's `X-Request-Id` if it has 1 to 128 printable ASCII characters without blanks, else a random id.
std::string callerRequestId(const HttpRequest& request);

/// Limits that `entry` sets for admission.
AdmissionQueue::Limits admissionLimits(const CatalogueEntry& entry);

/// Parses a request to `/call/NAME/PATH`. Fails with `NotFound` if NAME has no governing catalogue entry of the class
/// answer-now, and with `InvalidRequest` if a `Hemlocklead-` header is malformed.
Result<CallRequest> parseCallRequest(HttpRequest request, const ControlState& control, Instant now);

} // namespace hemlocklead
