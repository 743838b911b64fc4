#include "overload/Admission.h"

#include <algorithm>

namespace hemlocklead::overload {

namespace {

    /// Longest time that callers are asked to stay away because of a backlog: the objective of a batch job, after which
    /// its caller would get a late result.
    constexpr Duration maxBacklogWait { 10'000 };

} // namespace

Duration backlogWait(const QueueLoad& load) { return std::min(load.drain, maxBacklogWait); }

AdmissionDecision decideAdmission(const AdmissionRequest& request)
{
    const bool isKnown = request.load && request.loadAge <= maxLoadAge && request.viewAge <= maxLoadAge;
    const Duration wait = isKnown ? request.load->wait : Duration { 0 };
    AdmissionDecision decision;
    decision.expectedEnd = wait + request.criticalPath;
    decision.accepted = wait <= Duration { 0 } || decision.expectedEnd <= request.usefulTime;
    if (!decision.accepted)
        decision.retryIn = backlogWait(*request.load);
    return decision;
}

} // namespace hemlocklead::overload
