#pragma once

#include "protocol/Messages.h"

namespace hemlocklead {

#define HEMLOCKLEAD_JSON NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT

HEMLOCKLEAD_JSON(Stamp, incarnation, timeMs)
HEMLOCKLEAD_JSON(TargetReport, service, instance, slots, busy, queued, latencyUs)
HEMLOCKLEAD_JSON(AttemptReport, key, spec, progress, checkpointProgress)
HEMLOCKLEAD_JSON(InterferenceReport, service, task, score)
HEMLOCKLEAD_JSON(Hello, host, dataCentre, rack, incarnation, protocolVersion)
HEMLOCKLEAD_JSON(
    Keepalive, stamp, controlOffset, home, ledgerReady, settled, capacity, free, targets, attempts, full, interference)
HEMLOCKLEAD_JSON(KeepaliveReply, echo, viewAge, delta)
HEMLOCKLEAD_JSON(Leaving, host)
HEMLOCKLEAD_JSON(Reserve, shard, key, resources)
HEMLOCKLEAD_JSON(ReserveReply, shard, key, granted, refusal, stamp, free)
HEMLOCKLEAD_JSON(Start, shard, epoch, key, spec, checkpoint, echo, viewAge, lease, traceparent)
HEMLOCKLEAD_JSON(StartReply, shard, key, started, refusal, stamp)
HEMLOCKLEAD_JSON(Renew, shard, epoch, keys, echo, lease)
HEMLOCKLEAD_JSON(Stop, shard, epoch, key, reason, checkpoint)
HEMLOCKLEAD_JSON(AttemptEnded, shard, key, reason, token, result)
HEMLOCKLEAD_JSON(AttemptEndedAck, key)
HEMLOCKLEAD_JSON(Checkpointed, shard, key, token, progress)
HEMLOCKLEAD_JSON(HeaderField, name, value)
HEMLOCKLEAD_JSON(Call, id, service, method, path, headers, body, remaining, traceparent)
HEMLOCKLEAD_JSON(CallReply, id, outcome, error, status, headers, body, bodyBytes, bodyHash, atTarget, busy)
HEMLOCKLEAD_JSON(CallCancel, id)
HEMLOCKLEAD_JSON(ShardOwnership, shard, epoch)
HEMLOCKLEAD_JSON(
    PeerPing, entry, address, incarnation, sequence, serving, leaving, controlOffset, homeAgentsOffset, owned)
HEMLOCKLEAD_JSON(PeerPong, entry, sequence)
HEMLOCKLEAD_JSON(StateRequest, sequence)
HEMLOCKLEAD_JSON(StateReply, sequence, serving, offset, state)
HEMLOCKLEAD_JSON(Forward, id, method, path, body, traceparent)
HEMLOCKLEAD_JSON(ForwardReply, id, status, body, outcome)
HEMLOCKLEAD_JSON(RunReport, task, attempt, checkpoint, percent, pace, tailPerMille)
HEMLOCKLEAD_JSON(RunEnd, number, task, attempt, reason, checkpoint)
HEMLOCKLEAD_JSON(RunRefusal, task, attempt, reason)
HEMLOCKLEAD_JSON(RunOrder, sequence, task, attempt, payload, checkpoint, ticket, image, cpuMilli, tailTargetMs, fills)
HEMLOCKLEAD_JSON(RunStop, task, attempt)
HEMLOCKLEAD_JSON(RunPause, task, attempt, validMs)
HEMLOCKLEAD_JSON(PairInterference, serving, filling, takenPerCore)
HEMLOCKLEAD_JSON(HostReport, host, epochSeen, life, clockMs, service, dataCentre, rack, labels, capacity, draining,
    remainingMs, silent, lapsed, refusesBestEffort, full, hasMoreEnds, settledOrders, running, pending, ends, refusals,
    fencesEpochs, epochFenced, leaseInherited)
HEMLOCKLEAD_JSON(PackedHostReport, data)
HEMLOCKLEAD_JSON(HostOrders, epoch, life, echoMs, acknowledgedEnds, starts, stops, known, disturbances,
    readsPackedReports, reportsRead, connection, startsValidMs, pauses)

#undef HEMLOCKLEAD_JSON

} // namespace hemlocklead
