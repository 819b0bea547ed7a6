// JSON encoding of records and of the dumped state. Member names are the JSON keys. Only for the
// sources of this library.

#pragma once

#include "fleet/fleet.h"

#include <nlohmann/json.hpp>

namespace peridotwalk {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RuleEdit, key, line, base)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Member, incarnation, zone, rack, address, joinedAt, joinedAfter,
                                   suspectedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TeamFlow, team, received, sent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskSpec, team, service, payload, cpus, memoryMb, accelerators,
                                   expectedMs, isRepeatable, isUrgent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigChange, id, author, edits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberJoin, id, member)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberSuspect, id, incarnation, by)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberRefute, id, incarnation, by)
NLOHMANN_JSON_SERIALIZE_ENUM(RemovalReason,
                             {{RemovalReason::Left, "left"},
                              {RemovalReason::Listed, "listed"},
                              {RemovalReason::Silent, "silent"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberRemove, id, incarnation, by, reason, suspicion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberSettle, id, gone, by, flows)
NLOHMANN_JSON_SERIALIZE_ENUM(TaskEventKind,
                             {{TaskEventKind::Submitted, "submitted"},
                              {TaskEventKind::Started, "started"},
                              {TaskEventKind::Requeued, "requeued"},
                              {TaskEventKind::Ended, "ended"},
                              {TaskEventKind::Cancelled, "cancelled"},
                              {TaskEventKind::Preempted, "preempted"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskEvent, kind, taskId, attempt, worker, note, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskBatch, id, by, events)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Snapshot, id, by, upTo, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemovedMember, incarnation, awaiting)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TeamGrants, limit, pot, loweredAt, grants)
NLOHMANN_JSON_SERIALIZE_ENUM(TaskPhase,
                             {{TaskPhase::Waiting, "waiting"},
                              {TaskPhase::Running, "running"},
                              {TaskPhase::Ended, "ended"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Task, id, spec, phase, attempt, submittedAt, holder, worker,
                                   note, isCancelled, isPreempted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApplyResult, isApplied, reason)

} // namespace peridotwalk
