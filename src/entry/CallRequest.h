#pragma once

#include "base/Clock.h"
#include "coordination/AdmissionQueue.h"
#include "protocol/Http.h"
#include "protocol/Traceparent.h"
#include "state/ControlState.h"

#include <string>
#include <vector>

namespace hemlocklead {

/// A caller's request to `/call/NAME/PATH` under the limits of the governing catalogue entry.
struct CallRequest {
    std::string id; ///< For the answer; set by the receiver of the request.
    std::string name; ///< Catalogue name.
    std::string service; ///< Service that targets announce.
    std::string method;
    std::string path; ///< For the target: from `/`, with query.
    std::vector<HeaderField> headers; ///< End-to-end ones.
    std::string body;
    bool idempotent { false };
    Instant deadline;
    AdmissionQueue::Limits limits;
    TraceContext span;
};

/// Id by which the caller's request is answered.
std::string callerRequestId(const HttpRequest& request);

/// Limits of `entry` for admission.
AdmissionQueue::Limits admissionLimits(const CatalogueEntry& entry);

/// Fails with `NotFound` when NAME is no catalogue item whose governing entry is answer-now, and with
/// `InvalidRequest` when a `Hemlocklead-` header is malformed.
Result<CallRequest> parseCallRequest(HttpRequest request, const ControlState& control, Instant now);

} // namespace hemlocklead
