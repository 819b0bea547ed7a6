// The parts of an engine. Only for the sources of this library.
//
// Index of this file
// [SECTION] Shared
// [SECTION] State part: log, peers, members
// [SECTION] Unit part: limits and slots
// [SECTION] Request part: requests to runners
// [SECTION] Claim part: requests that must not repeat
// [SECTION] Task part: long tasks on workers
// [SECTION] Parts

#pragma once

#include "engine/engine.h"

#include <unordered_map>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Shared
//-----------------------------------------------------------------------------

// The state that all parts read, and the list of effects that they add to.
struct Shared {
    explicit Shared(EngineSettings given);

    auto emit(Effect effect) -> void { effects.push_back(std::move(effect)); }
    auto send(const Incarnation &to, PeerMessage message) -> void;
    auto append(const Record &record) -> void; // Ignores ids in `pendingAppends`.
    auto refusal(Outcome outcome, std::string_view step, std::string_view peer,
                 std::string_view reason) const -> Reply; // Adds the configured retry delay.
    auto mayStartForTeams() const -> bool; // May start work that counts against limits.
    auto mayStartOpen() const -> bool;     // May start requests to open services that carry no key.
    auto otherMembers() const -> std::vector<Incarnation>;
    auto self() const -> const Incarnation & { return settings.incarnation; }

    EngineSettings                     settings;
    Now                                now;
    FleetState                         state;
    MembershipTable                    membership;
    TargetTable                        targets;
    Random                             random;
    std::set<Incarnation, std::less<>> connected;      // Peers with an open connection.
    std::set<std::string, std::less<>> pendingAppends; // Record ids sent but not read back yet.
    AttemptId                          lastAttempt = 0;
    bool                               isStopping = false;
    std::vector<Effect>                effects;
};

//-----------------------------------------------------------------------------
// [SECTION] State part: log, peers, members
//-----------------------------------------------------------------------------

class StatePart
{
public:
    explicit StatePart(EngineParts &parts) : parts_(parts) { }

    auto onRecord(Offset after, Offset offset, std::string_view text) -> void;
    auto onLogHead(TimeMs asOf) -> void;
    auto onHeartbeat(const Incarnation &from, const Heartbeat &heartbeat) -> void;
    auto onRecordsPush(const RecordsPush &push) -> void;
    auto onStatePush(const StatePush &push) -> void;
    auto onTick() -> void;
    auto leave() -> void;

    auto nextReadOffset() const -> Offset;
    auto addUsage(std::string_view team, double cost) -> void; // Sent to peers, for fair queues.

private:
    struct TailEntry {
        Offset      after = 0; // Offset of the record before.
        Offset      offset = 0;
        std::string text;
    };

    auto applyText(Offset after, Offset offset, std::string_view text) -> void;
    auto restore(std::string_view dump) -> void;
    auto onStateChanged(bool isFromSnapshot) -> void;
    auto settleWithRemoved() -> void;
    auto refreshGrants() -> void;
    auto refreshRules() -> void;
    auto refreshMembers() -> void;
    auto keepInTail(Offset after, Offset offset, std::string_view text) -> void;
    auto catchUpPeer(const Incarnation &peer, Offset applied) -> void;
    auto sendHeartbeats() -> void;
    auto join() -> void;
    auto writeSnapshotIfDue() -> void;

    EngineParts          &parts_;
    std::deque<TailEntry> tail_; // Last records applied, to send to peers.
    std::size_t           tailBytes_ = 0;
    Offset                scanFrom_ = 0;         // Next offset to scan for a snapshot
                                                 // after a gap. 0: no gap.
    Offset                zoneEpoch_ = 0;        // Last epoch passed to the claims.
    TimeMs                snapshotDueSince_ = 0; // 0: not due.
    TimeMs                lastHeartbeat_ = 0;
    bool                  hasSeenHead_ = false; // The state held the whole log once.
    bool                  hasLeft_ = false;     // Left or was evicted; Retire is emitted once.
    std::map<std::string, double, std::less<>> usage_; // Cost by team since the last heartbeat.
    // `sentAt` of each peer's last heartbeat, on the peer's clock. Echoed to the peer.
    std::map<Incarnation, TimeMs, std::less<>> lastSentByPeer_;
    std::map<Incarnation, std::map<std::string, std::int64_t>, std::less<>>
        outstanding_; // By peer and target, as last reported.
};

//-----------------------------------------------------------------------------
// [SECTION] Unit part: limits and slots
//-----------------------------------------------------------------------------

class UnitPart
{
public:
    explicit UnitPart(EngineParts &parts) : parts_(parts) { }

    auto setSlotGrants() -> void; // After a change of members or rules.
    auto acquireTeamUnit(std::string_view team) -> bool;
    auto releaseTeamUnit(std::string_view team) -> void;
    auto acquireSlot(std::string_view target) -> bool;
    auto releaseSlot(std::string_view target) -> void;

    // Collects a request for the next sendUnitRequests(). The resource is a team, "pool/NAME" for
    // slots of any target of a pool, or "portion/TEAM" for what peers have above their even share.
    auto requestUnits(std::string_view resource, std::int64_t wanted) -> void;

    auto onUnitsWanted(const Incarnation &from, const UnitsWanted &wanted) -> void;
    auto onUnitsGiven(const Incarnation &from, const UnitsGiven &given) -> void;

    // The peer has received all UnitsGiven messages up to `sequence`, as its heartbeat says.
    auto onUnitsAcknowledged(const Incarnation &peer, std::int64_t sequence) -> void;

    auto unitsReceivedFrom(const Incarnation &peer) const -> std::int64_t;
    auto onTick() -> void;
    auto sendUnitRequests() -> void; // At most once per `unitRequestIntervalMs` and resource.
    auto handoverUnits() -> void;    // Sends all free units of teams to peers, before leaving.

    auto teams() -> UnitLedger & { return teams_; }
    auto teams() const -> const UnitLedger & { return teams_; }
    auto slots() const -> const UnitLedger & { return slots_; }
    auto limitDecreases() -> LimitDecreaseTracker & { return limitDecreases_; }
    auto mayUseTeam(std::string_view team) const -> bool;

private:
    // A peer's request for units of one resource.
    struct PeerRequest {
        Incarnation  peer;
        std::int64_t wanted = 0;
        TimeMs       waitingSince = 0; // First requested, or last served in part.
        TimeMs       requestedAt = 0;  // Last requested.
    };

    // Sequence numbers of the UnitsGiven messages exchanged with one peer.
    struct TransferSequence {
        std::int64_t sent = 0;
        std::int64_t sentAtHeartbeat = 0; // `sent` when the peer's last heartbeat arrived.
        std::int64_t received = 0;        // Last one received from the peer without a gap.
    };

    // Both send up to `wanted` free units or slots to a peer, and return how many they sent.
    auto transferUnits(const Incarnation &to, std::string_view resource, std::int64_t wanted)
        -> std::int64_t;
    auto transferSlots(const Incarnation &to, std::string_view pool, std::int64_t wanted)
        -> std::int64_t;
    auto servePeerRequests(const std::string &resource) -> void;
    auto selectPeers(bool isAllZones) const -> std::vector<Incarnation>;
    auto sendTransfers(const Incarnation &to, std::vector<UnitTransfer> transfers, bool isFull)
        -> void;
    auto requestOwedUnits() -> void;
    auto requestEvenShares() -> void;
    auto evenShareOf(std::string_view team) const -> std::int64_t;
    auto localNeed(std::string_view resource) const -> std::int64_t;

    EngineParts                                     &parts_;
    UnitLedger                                       teams_;
    UnitLedger                                       slots_;
    LimitDecreaseTracker                             limitDecreases_;
    Offset                                           slotEpoch_ = 0; // Last member change.
    TimeMs                                           lastShareRequest_ = 0;
    std::map<std::string, std::int64_t, std::less<>> wantedUnits_; // Collected, by resource.
    std::map<std::string, TimeMs, std::less<>>       requestedAt_; // By resource.
    std::map<std::string, std::deque<PeerRequest>, std::less<>> peerRequests_;      // By resource.
    std::map<Incarnation, TransferSequence, std::less<>>        transferSequences_; // By peer.
    std::map<std::string, bool, std::less<>> wasSameZone_; // By resource: the last request went to
                                                           // this zone only, the next goes to all.
};

//-----------------------------------------------------------------------------
// [SECTION] Request part: requests to runners
//-----------------------------------------------------------------------------

// Destination of the reply to a request.
struct ReplyTo {
    CallerHandle handle = 0;    // 0: the caller has disconnected, or the request was forwarded.
    Incarnation  peer;          // Peer that forwarded the request. Empty: it came from a caller.
    std::int64_t forwardId = 0; // Forward::forwardId, if `peer` is set.
};

// On whose behalf a request runs, after its key was checked.
struct Admission {
    std::string team;           // Empty on an open service without a key.
    bool        isOpen = false; // The service needs no key.
};

class RequestPart
{
public:
    explicit RequestPart(EngineParts &parts) : parts_(parts) { }

    auto check(const CallerRequest &request) const -> std::variant<Admission, Reply>;
    auto accept(ReplyTo replyTo, CallerRequest request, const Admission &admission) -> void;
    auto onCallerDisconnected(CallerHandle handle) -> void;
    auto onAttemptReady(AttemptId attempt) -> bool; // False: not an attempt of this part.
    auto onAttemptEnd(AttemptId attempt, AttemptEnd &end) -> bool; // False: as above.
    auto onTick() -> void;
    auto refreshShares() -> void; // Sets the queues' shares from the teams' rules.
    auto dispatchAll() -> void;   // Starts all queued requests that may start now.
    auto reply(const ReplyTo &replyTo, Reply reply) -> void;

    auto waitingOf(std::string_view team) const -> std::size_t;
    auto waitingIn(std::string_view pool) const -> std::size_t;
    auto waiting() const -> std::size_t;
    auto running() const -> std::size_t { return attempts_.size() + lingering_.size(); }
    auto chargeAll(std::string_view team, double cost) -> void; // Adds use reported by a peer.

private:
    struct Request {
        ReplyTo                  replyTo;
        CallerRequest            call;
        Admission                admission;
        std::string              pool;
        TimeMs                   acceptedAt = 0;
        TimeMs                   deadline = 0;
        TimeMs                   timeLimitMs = 0; // The service's limit for one attempt.
        std::size_t              attempts = 0;
        bool                     mayHaveRun = false; // An attempt failed after bytes were sent.
        std::vector<std::string> tried;              // Targets of earlier attempts.
    };

    struct Attempt {
        std::int64_t request = 0; // Key in `requests_`.
        std::string  target;
        std::string  team; // Empty: none.
        TimeMs       startedAt = 0;
        bool         isWritten = false; // Bytes of the request may have been sent.
    };

    // A failed attempt that may still run at its target. It keeps its unit and its slot until the
    // service's time limit has passed.
    struct Lingering {
        std::string team; // Empty: none.
        std::string target;
        TimeMs      endsAt = 0;
    };

    auto dispatch(const std::string &pool) -> void;
    auto startNext(const std::string &pool, FairQueue &queue) -> bool;
    auto start(std::int64_t number, Request &request, const Choice &choice) -> void;
    auto enqueue(std::int64_t number, const Request &request) -> void;
    auto checkBeforeStart(const Request &request, const Attempt &attempt) const
        -> std::optional<Reply>;
    auto releaseUnits(const Attempt &attempt) -> void;
    auto retryOrRefuse(std::int64_t number, Reply refusal, bool isUncounted) -> void;
    auto finish(std::int64_t number, Reply reply) -> void;
    auto requestMissingUnits(const std::string &pool, const FairQueue &queue) -> void;
    auto emitDecision(const Request &request, std::string_view step, std::string_view chosen,
                      std::string_view reason, std::size_t considered) -> void;

    EngineParts                                  &parts_;
    std::int64_t                                  lastNumber_ = 0;
    std::map<std::int64_t, Request>               requests_;
    std::map<AttemptId, Attempt>                  attempts_;
    std::vector<Lingering>                        lingering_;
    std::map<std::string, FairQueue, std::less<>> queues_;  // By pool.
    std::map<std::string, RetryBudget>            retries_; // By pool.
    RunTimeEstimates                              estimates_;
};

//-----------------------------------------------------------------------------
// [SECTION] Claim part: requests that must not repeat
//-----------------------------------------------------------------------------

class ClaimPart
{
public:
    explicit ClaimPart(EngineParts &parts);

    auto accept(ReplyTo replyTo, CallerRequest request) -> void;
    auto onMembersChanged(bool isFromSnapshot) -> void;
    auto onClaimReplication(const Incarnation &from, ClaimReplication &replication) -> void;
    auto onClaimReplicationReply(const Incarnation &from, const ClaimReplicationReply &reply)
        -> void;
    auto onClaimSync(const Incarnation &from, ClaimSync &sync) -> void;
    auto onClaimSyncDone(const Incarnation &from, const ClaimSyncDone &done) -> void;
    auto onForward(const Incarnation &from, Forward &forward) -> void;
    auto onForwardReply(ForwardReply &reply) -> void;
    auto onCallerDisconnected(CallerHandle handle) -> void;
    auto onTick() -> void;
    auto mayStart(std::string_view id) const -> bool; // Checked right before the start.

    // Called when a claimed request has ended. Replies to all callers that sent its id.
    auto finish(const ReplyTo &replyTo, const CallerRequest &request, Reply reply) -> void;

    auto table() const -> const ClaimTable & { return table_; }
    auto waiting() const -> std::size_t { return held_.size() + forwards_.size(); }

private:
    // What a held request waits for.
    enum class HeldFor {
        Ready,   // All survivors to hand over their claims to this primary.
        Replica, // The replica to confirm the claim. Then the request may start.
        Refusal, // The replica to confirm the refusal. Then the refusal goes to the caller.
    };

    struct Held {
        HeldFor       heldFor = HeldFor::Ready;
        ReplyTo       replyTo;
        CallerRequest request;
        Admission     admission; // Only for HeldFor::Replica.
        Reply         refusal;   // Only for HeldFor::Refusal.
        TimeMs        deadline = 0;
        TimeMs        sentAt = 0; // When the claim was last sent to the replica.
    };

    struct PendingForward {
        ReplyTo       replyTo;
        CallerRequest request;
        TimeMs        deadline = 0;
        TimeMs        sentAt = 0; // Last attempt to send.
        Incarnation   sentTo;     // Peer that has it. Empty: none, or the peer returned it.
    };

    // A further caller that sent the id of a claimed request.
    struct Waiter {
        ReplyTo replyTo;
        TimeMs  deadline = 0;
    };

    auto acceptAsPrimary(ReplyTo replyTo, CallerRequest request) -> void;
    auto claimAndReplicate(ReplyTo replyTo, CallerRequest request, const Admission &admission)
        -> void;
    auto replyFromClaim(const ReplyTo &replyTo, const CallerRequest &request, const Claim &claim)
        -> void;
    auto refusePermanently(ReplyTo replyTo, CallerRequest request, Reply refusal) -> void;
    auto replyAll(const ReplyTo &replyTo, const CallerRequest &request, const Reply &reply) -> void;
    auto replyUnknown(const ReplyTo &replyTo, const CallerRequest &request, std::string_view step,
                      std::string_view peer, std::string_view reason) -> void;
    auto replyNotRun(const ReplyTo &replyTo, const CallerRequest &request, std::string_view step,
                     std::string_view reason) -> void;
    auto emitRefusal(const CallerRequest &request, const Reply &reply) -> void;
    auto hold(HeldFor heldFor, ReplyTo replyTo, CallerRequest request, TimeMs timeoutMs) -> Held &;
    auto addWaiter(const ReplyTo &replyTo, const CallerRequest &request) -> bool;
    auto sendToReplica(std::string_view id) -> void;
    auto sendForward(std::int64_t forwardId, PendingForward &forward) -> void;
    auto retryHeld() -> void;
    auto expireHeld(Held &held) -> void;
    auto retryForwards() -> void;
    auto expireWaiters() -> void;
    auto sendOutcome(const Claim &claim) -> void;
    auto syncWith(const Incarnation &peer) -> void;
    auto teamOf(const CallerRequest &request) const -> std::string;

    EngineParts                           &parts_;
    ClaimTable                             table_;
    std::int64_t                           lastForward_ = 0;
    std::multimap<std::string, Held>       held_;     // By request id.
    std::map<std::int64_t, PendingForward> forwards_; // By Forward::forwardId.
    std::multimap<std::string, Waiter>     waiters_;  // By request id.
    std::map<Incarnation, Offset>          unsynced_; // Epoch that the peer hasn't confirmed.
    std::map<Incarnation, std::set<std::int64_t>> receivedParts_; // ClaimSync parts received in the
                                                                  // current epoch, by sender.
    TimeMs                                        lastSync_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Task part: long tasks on workers
//-----------------------------------------------------------------------------

// An entry proposes a start as a log record. The log decides which entry holds an attempt, and that
// a worker's resources are assigned only once. Then the entry starts a lease at the worker, which
// expires there unless it is renewed.
class TaskPart
{
public:
    explicit TaskPart(EngineParts &parts) : parts_(parts) { }

    auto submit(CallerHandle handle, std::string_view taskId, std::string_view keyHash,
                TaskSpec spec) -> void;
    auto cancel(CallerHandle handle, std::string_view taskId, std::string_view keyHash) -> void;
    auto onRecordApplied() -> void; // Turns proposals that the log accepted into leases.
    auto onAttemptReady(AttemptId attempt) -> bool; // False: not an attempt of this part.
    auto onAttemptEnd(AttemptId attempt, const AttemptEnd &end) -> bool; // False: as above.
    auto onTick() -> void;
    auto running() const -> std::size_t; // Leases and unsent task events.

private:
    enum class Call { Start, Renew, Checkpoint, Stop };

    // A task attempt that this entry holds, and its lease at the worker.
    struct Lease {
        std::string  taskId;
        std::int64_t attempt = 0;
        std::string  team;
        std::string  worker;
        std::string  checkpoint; // Last one that the worker reported. Empty: none yet.
        TimeMs       endsAt = 0; // The worker stops it by then, or at most kLateDeliveryMs later.
        TimeMs       nextCallAt = 0;
        bool         isCalling = false;  // A call to the worker is in flight.
        bool         hasStarted = false; // The worker may have received the start.
    };

    // A call to a worker that is in flight.
    struct LeaseCall {
        std::string leaseKey;
        Call        call = Call::Start;
        std::string target;
    };

    // A proposed start that the log hasn't decided yet. It holds a unit of the team.
    struct Proposal {
        std::string  worker;
        std::string  team;
        std::int64_t batch = 0; // Number of the batch that carries it. 0: not sent yet.
    };

    // A caller that waits until its submission or cancellation is read back from the log.
    struct PendingReply {
        CallerHandle handle = 0;
        TimeMs       deadline = 0;
        bool         isCancel = false; // False: a submission.
    };

    auto checkSubmit(std::string_view taskId, std::string_view keyHash, const TaskSpec &spec) const
        -> std::optional<Reply>;
    auto addEvent(TaskEvent event) -> void; // Adds to the next batch.
    auto flush() -> void;
    auto batchId(std::int64_t number) const -> std::string;
    auto freeFor(std::string_view worker) const -> Resources; // Without what is proposed.
    auto placeTasks() -> void;
    auto placeTask(const Task &task) -> bool;
    auto poolOf(const Task &task) const -> std::string;
    auto poolsReservedForUrgent() -> std::set<std::string>;
    auto preemptFor(const Task &task) -> void;
    auto ownsTask(const Task &task) const -> bool;
    auto sortedWaitingTasks() const -> std::vector<const Task *>;
    auto processLeases() -> void;
    auto nextCall(const Lease &lease) const -> Call;
    auto startCall(const std::string &key, Lease &lease, Call call) -> void;
    auto onAnswer(const std::string &key, Call call, const AttemptEnd &end) -> void;
    auto endLease(const std::string &key, TaskEventKind kind, std::string note) -> void;
    auto failLease(const std::string &key, std::string_view reason) -> void;
    auto answerPending() -> void;
    auto replyTask(CallerHandle handle, const Task &task) -> void;
    auto emitDecision(const Lease &lease, std::string_view step, std::string_view reason) -> void;

    EngineParts                                 &parts_;
    std::map<std::string, Lease>                 leases_;   // By leaseKey().
    std::map<std::string, Proposal, std::less<>> proposed_; // By task id.
    std::map<AttemptId, LeaseCall>               calls_;
    std::map<std::string, std::set<std::string>> failedOn_; // Task id to workers where it failed.
    std::map<std::string, TimeMs>                firstSeenAt_;      // By id of a waiting task.
    std::map<std::string, TimeMs>                nextPreemptionAt_; // By id of an urgent task.
    std::multimap<std::string, PendingReply>     pending_;          // By task id.
    std::vector<TaskEvent>                       batch_;         // Events not sent to the log yet.
    std::int64_t                                 lastBatch_ = 0; // Number of the last batch sent.
    TimeMs                                       lastFlush_ = 0;
    TimeMs                                       lastPlacement_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Parts
//-----------------------------------------------------------------------------

class EngineParts
{
public:
    explicit EngineParts(EngineSettings settings);

    auto refresh() -> void; // After each event: starts queued requests and requests units.

    Shared      shared;
    StatePart   state;
    UnitPart    units;
    RequestPart requests;
    ClaimPart   claims;
    TaskPart    tasks;
};

} // namespace peridotwalk
