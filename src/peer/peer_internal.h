// msgpack encoding of peer messages. Only for the sources of this library.

#pragma once

#include "base/wire.h"
#include "peer/peer.h"

MSGPACK_ADD_ENUM(peridotwalk::ClaimPhase)
MSGPACK_ADD_ENUM(peridotwalk::Outcome)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(Member, v.incarnation, v.zone, v.rack, v.address, v.joinedAt, v.joinedAfter,
                     v.suspectedAt)
    PERIDOTWALK_WIRE(Answer, v.status, v.contentType, v.body)
    PERIDOTWALK_WIRE(Refusal, v.outcome, v.step, v.peer, v.reason, v.retryAfterMs)
    PERIDOTWALK_WIRE(Claim, v.id, v.phase, v.team, v.claimant, v.sequence, v.createdAt, v.hasAnswer,
                     v.answer)
    PERIDOTWALK_WIRE(ZoneEpoch, v.epoch, v.members)
    PERIDOTWALK_WIRE(LostEpoch, v.before, v.after, v.survivors, v.at)
    PERIDOTWALK_WIRE(UnitRequest, v.resource, v.wanted)
    PERIDOTWALK_WIRE(UnitTransfer, v.resource, v.total)
    PERIDOTWALK_WIRE(TeamUse, v.team, v.cost)
    PERIDOTWALK_WIRE(TargetUse, v.target, v.outstanding)
    PERIDOTWALK_WIRE(LogRecord, v.offset, v.text)
    PERIDOTWALK_WIRE(CallerRequest, v.id, v.keyHash, v.service, v.contentType, v.body, v.timeoutMs,
                     v.isRepeatable)
    PERIDOTWALK_WIRE(Reply, v.outcome, v.answer, v.refusal)

    PERIDOTWALK_WIRE(Hello, v.incarnation, v.zone, v.address)
    PERIDOTWALK_WIRE(Heartbeat, v.sentAt, v.echoOf, v.applied, v.logAgeMs, v.debts, v.used,
                     v.outstanding, v.leaving, v.unitsAcknowledged)
    PERIDOTWALK_WIRE(RecordsPush, v.after, v.records)
    PERIDOTWALK_WIRE(StatePush, v.dump)
    PERIDOTWALK_WIRE(UnitsWanted, v.requests)
    PERIDOTWALK_WIRE(UnitsGiven, v.slotEpoch, v.sequence, v.isFull, v.transfers)
    PERIDOTWALK_WIRE(ClaimReplication, v.epoch, v.claim)
    PERIDOTWALK_WIRE(ClaimReplicationReply, v.id, v.sequence, v.phase, v.epoch, v.isHeld)
    PERIDOTWALK_WIRE(ClaimSync, v.epoch, v.part, v.parts, v.claims, v.lost)
    PERIDOTWALK_WIRE(ClaimSyncDone, v.epoch)
    PERIDOTWALK_WIRE(Forward, v.forwardId, v.request)
    PERIDOTWALK_WIRE(ForwardReply, v.forwardId, v.isPrimary, v.reply)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
