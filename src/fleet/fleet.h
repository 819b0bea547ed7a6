// Replicated state of all entries: the result of applying the records of the platform's log.
//
// Every entry applies the same records in offset order and so reaches the same state. A record that
// lost a race is rejected by all entries alike. Nothing here reads a clock or a socket.
//
//   auto state = FleetState();
//   const auto result = state.apply(offset, record);
//   if (!result.isApplied) { LOG(INFO) << result.reason; }
//
// Index of this file
// [SECTION] Records
// [SECTION] Record text
// [SECTION] Members
// [SECTION] Long tasks
// [SECTION] Fleet state

#pragma once

#include "config/config.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Records
//-----------------------------------------------------------------------------

// A change of rules by an operator. Applied as a whole or not at all.
struct ConfigChange {
    std::string           id;     // Unique. A second record with the same id is rejected.
    std::string           author; // Operator, to be contacted about a conflict.
    std::vector<RuleEdit> edits;
};

// An entry that belongs to the fleet.
struct Member {
    Incarnation incarnation;     // "entry-1#5f0c2a"
    std::string zone;            // "suva-1"
    std::string rack;            // Failure domain inside the zone.
    std::string address;         // Peer address, "127.0.0.1:7101".
    Offset      joinedAt = 0;    // Offset of its join record.
    Offset      joinedAfter = 0; // Epoch of the zone before the join. 0: its first member ever.
    Offset      suspectedAt = 0; // Offset of an unrefuted suspicion. 0: none.
};

struct MemberJoin {
    std::string id;
    Member      member;
};

// Suspects a member from which `by` has received nothing for a while. First step of an eviction.
struct MemberSuspect {
    std::string id;
    Incarnation incarnation;
    Incarnation by;
};

// Withdraws a suspicion: `by` is the suspected member, or has received its messages after all.
struct MemberRefute {
    std::string id;
    Incarnation incarnation;
    Incarnation by;
};

enum class RemovalReason {
    Left,   // It stopped as planned and runs nothing.
    Listed, // The platform lists its process as ended, or it was replaced; its work has ended.
    Silent, // It was suspected for the whole eviction delay, so it has fenced itself.
};

// Removes a member. Its grants are reclaimed once all others have settled with it.
struct MemberRemove {
    std::string   id;
    Incarnation   incarnation;
    Incarnation   by;
    RemovalReason reason = RemovalReason::Silent;
    Offset        suspicion = 0; // Silent: offset of the unrefuted suspicion.
};

// Units that a member has exchanged with a removed one.
struct TeamFlow {
    std::string  team;
    std::int64_t received = 0; // Units that `by` got from the removed one.
    std::int64_t sent = 0;     // Units that `by` gave to the removed one.
};

// A member reports what it has exchanged with a removed one.
struct MemberSettle {
    std::string           id;
    Incarnation           gone; // The removed member.
    Incarnation           by;
    std::vector<TeamFlow> flows;
};

enum class TaskEventKind { Submitted, Started, Requeued, Ended, Cancelled, Preempted };

// Specification of a long task.
struct TaskSpec {
    std::string  team;
    std::string  service;
    std::string  payload; // Passed to the worker unchanged.
    std::int64_t cpus = 1;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t expectedMs = 60'000; // Declared run time. Often far off.
    bool         isRepeatable = true; // May run again after an attempt that may have had effects.
    bool         isUrgent = false;    // Goes first, and may preempt repeatable tasks.
};

// Submitted by a caller; Started by the entry that will hold the lease; Requeued and Ended by that
// entry; Cancelled by a caller; Preempted by an entry that needs the capacity for an urgent task.
struct TaskEvent {
    TaskEventKind kind = TaskEventKind::Submitted;
    std::string   taskId;      // "zone/uuid"
    std::int64_t  attempt = 0; // Started, Requeued, Ended: number of the attempt.
    std::string   worker;      // Started: the worker that runs it.
    std::string   note;        // Requeued: checkpoint. Ended: result.
    TaskSpec      spec;        // Submitted.
};

// All task events of one entry since its last batch.
struct TaskBatch {
    std::string            id;
    Incarnation            by;
    std::vector<TaskEvent> events;
};

// The whole state up to an offset, so that older records may expire.
struct Snapshot {
    std::string id;
    Incarnation by;
    Offset      upTo = 0; // Offset of the last record that the state includes.
    std::string state;    // FleetState::dump()
};

using Record = std::variant<ConfigChange, MemberJoin, MemberSuspect, MemberRefute, MemberRemove,
                            MemberSettle, TaskBatch, Snapshot>;

//-----------------------------------------------------------------------------
// [SECTION] Record text
//-----------------------------------------------------------------------------

constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;

// Returns the JSON text that goes to the log.
auto encodeRecord(const Record &record) -> std::string;

// Parses a record of the log. Errors carry the step "record" and the field.
auto decodeRecord(std::string_view text) -> absl::StatusOr<Record>;

auto recordId(const Record &record) -> std::string_view;

//-----------------------------------------------------------------------------
// [SECTION] Members
//-----------------------------------------------------------------------------

// A removed member, and the members that have yet to settle with it.
struct RemovedMember {
    Incarnation           incarnation;
    std::set<Incarnation> awaiting;
};

// Orders members for `key` by rendezvous hashing. Removing one leaves the order of the others.
auto rankMembers(std::span<const Member> members, std::string_view key)
    -> std::vector<const Member *>;

//-----------------------------------------------------------------------------
// [SECTION] Long tasks
//-----------------------------------------------------------------------------

enum class TaskPhase { Waiting, Running, Ended };

struct Task {
    std::string  id;
    TaskSpec     spec;
    TaskPhase    phase = TaskPhase::Waiting;
    std::int64_t attempt = 0; // 0 before the first start.
    Offset       submittedAt = 0;
    Incarnation  holder = {}; // Running: the entry that renews the lease.
    std::string  worker = {}; // Running: the worker that runs it.
    std::string  note = {};   // Waiting: last checkpoint. Ended: result.
    bool         isCancelled = false;
    bool         isPreempted = false; // Running: its holder is to checkpoint and requeue it.
};

// Capacity of a worker that tasks occupy, or that is free.
struct Resources {
    std::int64_t cpus = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto fits(const TaskSpec &spec) const -> bool;
    auto add(const TaskSpec &spec, std::int64_t times) -> void; // times: 1 adds, -1 subtracts.
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet state
//-----------------------------------------------------------------------------

constexpr std::size_t kMaxSeenRecordIds = 4'096;  // Outcomes of older records are forgotten.
constexpr std::size_t kMaxRemovedMembers = 2'000; // Older ones are forgotten once all are settled.
constexpr std::size_t kMaxEndedTasks = 5'000;     // Older ones are forgotten.
constexpr std::size_t kMaxWaitingTasks = 50'000;

struct ApplyResult {
    bool        isApplied = false;
    std::string reason = {}; // Why the record was rejected. Empty if it was applied.
};

// Units of one team's limit, as granted by the log.
struct TeamGrants {
    std::int64_t                        limit = 0;     // 0 once the team's rule is removed.
    std::int64_t                        pot = 0;       // Ungranted units. Below 0: owed.
    Offset                              loweredAt = 0; // Last decrease of the limit. 0: never.
    std::map<Incarnation, std::int64_t> grants;        // By member. Below 0: it owes units.
};

class FleetState
{
public:
    // Commands.
    auto apply(Offset offset, const Record &record) -> ApplyResult; // offset > applied()
    auto skip(Offset offset) -> void;                      // For a record that can't be decoded.
    auto restore(std::string_view dumped) -> absl::Status; // Ignores a dump that isn't newer.

    // Queries.
    auto applied() const -> Offset { return applied_; }
    auto rules() const -> const RuleTable & { return rules_; }
    auto members() const -> std::vector<Member>;
    auto membersOf(std::string_view zone) const -> std::vector<Member>;
    auto member(std::string_view incarnation) const -> const Member *;
    auto isRemoved(std::string_view incarnation) const -> bool;
    auto removed() const -> const std::map<Incarnation, RemovedMember> & { return removed_; }
    auto zoneEpoch(std::string_view zone) const -> Offset; // Offset of its last join or removal.
    auto grantsOf(std::string_view team) const -> const TeamGrants *;
    auto teamGrants() const -> const std::map<std::string, TeamGrants, std::less<>> &
    {
        return teams_;
    }
    auto grant(std::string_view team, std::string_view incarnation) const -> std::int64_t;
    auto task(std::string_view id) const -> const Task *;
    auto tasks() const -> const std::map<std::string, Task, std::less<>> & { return tasks_; }
    // Returns a worker's capacity minus its running tasks' declared sizes. Zero without a rule.
    auto freeAt(std::string_view worker) const -> Resources;
    auto waitingTasks() const -> const std::set<std::string, std::less<>> &
    {
        return waitingTasks_;
    }
    auto findOutcome(std::string_view recordId) const -> const ApplyResult *; // Null: not seen.
    auto lastSnapshot() const -> Offset { return lastSnapshot_; } // Offset of its record. 0: none.
    auto dump() const -> std::string;                             // JSON text for restore().

private:
    auto applyBody(Offset offset, const ConfigChange &change) -> ApplyResult;
    auto applyBody(Offset offset, const MemberJoin &join) -> ApplyResult;
    auto applyBody(Offset offset, const MemberSuspect &suspect) -> ApplyResult;
    auto applyBody(Offset offset, const MemberRefute &refute) -> ApplyResult;
    auto applyBody(Offset offset, const MemberRemove &removal) -> ApplyResult;
    auto applyBody(Offset offset, const MemberSettle &settle) -> ApplyResult;
    auto applyBody(Offset offset, const TaskBatch &batch) -> ApplyResult;
    auto applyBody(Offset offset, const Snapshot &snapshot) -> ApplyResult;

    auto checkEdits(std::span<const RuleEdit> edits, std::vector<Rule> &rules) const -> ApplyResult;
    auto checkReferences(std::span<const RuleEdit> edits) const -> ApplyResult;
    auto setRules(std::span<const RuleEdit> edits, std::span<const Rule> rules, Offset offset)
        -> void;
    auto setLimit(const std::string &team, std::int64_t limit, Offset offset) -> void;
    auto distributePot(const std::string &team, TeamGrants &grants) -> void;
    auto reclaimRemovedGrants() -> void;
    auto pruneRemoved() -> void;
    auto requeueTasksOf(const Incarnation &holder) -> void;
    auto applyTaskEvent(Offset offset, const Incarnation &by, const TaskEvent &event) -> void;
    auto setPhase(Task &task, TaskPhase phase) -> void;
    auto endTask(Task &task, std::string note) -> void;
    auto indexTasks() -> void;
    auto rememberOutcome(std::string_view id, const ApplyResult &result) -> void;

    Offset                                         applied_ = 0;
    Offset                                         lastSnapshot_ = 0;
    RuleTable                                      rules_;
    std::map<Incarnation, Member, std::less<>>     members_;
    std::map<Incarnation, RemovedMember>           removed_;
    std::deque<Incarnation>                        removalOrder_; // Oldest first.
    std::map<std::string, Offset, std::less<>>     zoneEpochs_;
    std::map<std::string, TeamGrants, std::less<>> teams_;
    std::map<std::string, Task, std::less<>>       tasks_;
    std::map<std::string, Resources, std::less<>>  workerUse_;    // By running tasks.
    std::set<std::string, std::less<>>             waitingTasks_; // Ids.
    std::deque<std::string>                        endedTasks_;   // Oldest first.
    std::unordered_map<std::string, ApplyResult>   outcomes_;
    std::deque<std::string>                        outcomeOrder_; // Oldest first.
};

} // namespace peridotwalk
