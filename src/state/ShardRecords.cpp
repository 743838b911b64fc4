#include "state/ShardState.h"

namespace hemlocklead {

namespace {

    Json attemptRecord(std::string_view kind, uint64_t epoch, const AttemptKey& key)
    {
        return Json { { "kind", kind }, { "epoch", epoch }, { "job", key.job }, { "index", key.index },
            { "attempt", key.attempt } };
    }

} // namespace

Json claimRecord(const ShardClaim& claim)
{
    return Json { { "kind", "claim" }, { "epoch", claim.epoch }, { "entry", claim.entry },
        { "address", claim.address } };
}

Json releaseRecord(uint64_t epoch) { return Json { { "kind", "release" }, { "epoch", epoch } }; }

Json acceptedRecord(uint64_t epoch, const JobSpec& spec)
{
    return Json { { "kind", "accepted" }, { "epoch", epoch }, { "job", spec.id }, { "spec", spec } };
}

Json assignedRecord(uint64_t epoch, const AttemptKey& key, std::string_view host)
{
    Json record = attemptRecord("assigned", epoch, key);
    record["agent"] = host;
    return record;
}

Json checkpointRecord(uint64_t epoch, const AttemptKey& key, std::string_view token)
{
    Json record = attemptRecord("checkpoint", epoch, key);
    record["token"] = token;
    return record;
}

Json endedRecord(uint64_t epoch, const AttemptKey& key, EndReason reason, std::string_view token,
    std::string_view result, int64_t unixMs)
{
    Json record = attemptRecord("ended", epoch, key);
    record["reason"] = reason;
    record["token"] = token;
    record["result"] = result;
    record["unix_ms"] = unixMs;
    return record;
}

Json cancelledRecord(uint64_t epoch, std::string_view job, int64_t unixMs)
{
    return Json { { "kind", "cancelled" }, { "epoch", epoch }, { "job", job }, { "unix_ms", unixMs } };
}

Json forgottenRecord(uint64_t epoch, std::string_view job)
{
    return Json { { "kind", "forgotten" }, { "epoch", epoch }, { "job", job } };
}

} // namespace hemlocklead
