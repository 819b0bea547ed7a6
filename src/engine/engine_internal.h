// The parts of an engine. Only for the sources of this library.
//
// Index of this file
// [SECTION] Shared
// [SECTION] State part: log, peers, members
// [SECTION] Unit part: limits and slots
// [SECTION] Quick part: requests to runners
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

// What every part reads, and the effects they add to.
struct Shared {
    explicit Shared(EngineSettings given);

    auto emit(Effect effect) -> void { effects.push_back(std::move(effect)); }
    auto send(const Incarnation &to, PeerMessage message) -> void;
    auto append(const Record &record) -> void; // Each record id once.
    auto refusal(Outcome outcome, std::string_view step, std::string_view peer,
                 std::string_view reason) const -> Reply; // With the configured time to retry.
    auto mayStartForTeams() const -> bool;
    auto mayStartOpen() const -> bool;
    auto otherMembers() const -> std::vector<Incarnation>;
    auto self() const -> const Incarnation & { return settings.incarnation; }

    EngineSettings                     settings;
    Now                                now;
    FleetState                         state;
    MembershipTable                    membership;
    TargetTable                        targets;
    Random                             random;
    std::set<Incarnation, std::less<>> connected; // Peers with a connection.
    std::set<std::string, std::less<>> appended;  // Record ids that are on their way to the log.
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
    auto noteUse(std::string_view team, double cost) -> void; // Told to peers for fairness.

private:
    struct TailEntry {
        Offset      after = 0;
        Offset      offset = 0;
        std::string text;
    };

    auto applyText(Offset after, Offset offset, std::string_view text) -> void;
    auto restore(std::string_view dump) -> void;
    auto afterChange(bool isFromSnapshot) -> void;
    auto settleWithGone() -> void;
    auto refreshGrants() -> void;
    auto refreshRules() -> void;
    auto refreshMembers() -> void;
    auto keepInTail(Offset after, Offset offset, std::string_view text) -> void;
    auto helpLaggingPeer(const Incarnation &peer, Offset applied) -> void;
    auto sendHeartbeats() -> void;
    auto join() -> void;
    auto writeSnapshotIfDue() -> void;

    EngineParts                               &parts_;
    std::deque<TailEntry>                      tail_;
    std::size_t                                tailBytes_ = 0;
    Offset                                     scanFrom_ = 0; // Looking for a snapshot.
    Offset                                     zoneEpoch_ = 0;
    TimeMs                                     snapshotDueSince_ = 0;
    TimeMs                                     lastHeartbeat_ = 0;
    bool                                       hasSeenHead_ = false;
    bool                                       hasLeft_ = false;
    std::map<std::string, double, std::less<>> used_;
    std::map<Incarnation, TimeMs, std::less<>> lastFromPeer_; // Its clock, to echo.
    std::map<Incarnation, std::map<std::string, std::int64_t>, std::less<>>
        outstanding_; // By peer.
};

//-----------------------------------------------------------------------------
// [SECTION] Unit part: limits and slots
//-----------------------------------------------------------------------------

class UnitPart
{
public:
    explicit UnitPart(EngineParts &parts) : parts_(parts) { }

    auto setSlotGrants() -> void; // After a change of members or rules.
    auto takeTeam(std::string_view team) -> bool;
    auto giveBackTeam(std::string_view team) -> void;
    auto takeSlot(std::string_view target) -> bool;
    auto giveBackSlot(std::string_view target) -> void;
    auto want(std::string_view resource, std::int64_t wanted) -> void; // A team, or "pool/NAME".
    auto onUnitsWanted(const Incarnation &from, const UnitsWanted &wanted) -> void;
    auto onUnitsGiven(const Incarnation &from, const UnitsGiven &given) -> void;
    auto onUnitsAcknowledged(const Incarnation &peer, std::int64_t sequence)
        -> void; // From a heartbeat.
    auto unitsReceivedFrom(const Incarnation &peer) const -> std::int64_t;
    auto onTick() -> void;
    auto askPeers() -> void; // For what is wanted, not more often than the settings say.
    auto handOver() -> void; // Everything that is free goes to peers.

    auto teams() -> UnitLedger & { return teams_; }
    auto teams() const -> const UnitLedger & { return teams_; }
    auto slots() const -> const UnitLedger & { return slots_; }
    auto reports() -> LimitDecreaseTracker & { return reports_; }
    auto mayUseTeam(std::string_view team) const -> bool;

private:
    struct RemoteWant {
        Incarnation  peer;
        std::int64_t wanted = 0;
        TimeMs       since = 0; // First asked.
        TimeMs       at = 0;    // Last asked.
    };

    // Numbers of UnitsGiven messages exchanged with one peer.
    struct GivenCount {
        std::int64_t sent = 0;
        std::int64_t sentEarlier = 0; // At the heartbeat before: long enough ago to have arrived.
        std::int64_t seen = 0;        // From the peer, without a gap.
    };

    auto give(const Incarnation &to, std::string_view resource, std::int64_t wanted)
        -> std::int64_t;
    auto giveSlots(const Incarnation &to, std::string_view pool, std::int64_t wanted)
        -> std::int64_t;
    auto serveRemoteWants(const std::string &resource) -> void;
    auto peersToAsk(bool isWide) const -> std::vector<Incarnation>;
    auto sendGiven(const Incarnation &to, std::vector<UnitTransfer> transfers, bool isFull) -> void;
    auto settleDebts() -> void;
    auto wantPortions() -> void;
    auto portionOf(std::string_view team) const -> std::int64_t;
    auto localNeed(std::string_view resource) const -> std::int64_t;

    EngineParts                                               &parts_;
    UnitLedger                                                 teams_;
    UnitLedger                                                 slots_;
    LimitDecreaseTracker                                       reports_;
    Offset                                                     slotEpoch_ = 0;
    TimeMs                                                     lastPortions_ = 0;
    std::map<std::string, std::int64_t, std::less<>>           wants_; // This entry's, by resource.
    std::map<std::string, TimeMs, std::less<>>                 askedAt_;
    std::map<std::string, std::deque<RemoteWant>, std::less<>> remoteWants_;
    std::map<Incarnation, GivenCount, std::less<>>             given_;
    std::map<std::string, bool, std::less<>>                   wasAskedNear_; // Ask all peers next.
};

//-----------------------------------------------------------------------------
// [SECTION] Quick part: requests to runners
//-----------------------------------------------------------------------------

// Where the answer of a request goes.
struct ReplyTo {
    CallerHandle handle = 0;
    Incarnation  peer; // Not empty: it came as a Forward from there.
    std::int64_t forwardId = 0;
};

// Who a request works for, after its key was checked.
struct Admission {
    std::string team; // Empty on an open service without a key.
    bool        isOpen = false;
};

class QuickPart
{
public:
    explicit QuickPart(EngineParts &parts) : parts_(parts) { }

    auto check(const CallerRequest &request) const -> std::variant<Admission, Reply>;
    auto accept(ReplyTo replyTo, CallerRequest request, const Admission &admission) -> void;
    auto onCallerDisconnected(CallerHandle handle) -> void;
    auto onAttemptReady(AttemptId attempt) -> bool; // False: not an attempt of this part.
    auto onAttemptEnd(AttemptId attempt, AttemptEnd &end) -> bool;
    auto onTick() -> void;
    auto refreshShares() -> void;
    auto pumpAll() -> void;
    auto reply(const ReplyTo &replyTo, Reply reply) -> void;

    auto waitingOf(std::string_view team) const -> std::size_t;
    auto waitingIn(std::string_view pool) const -> std::size_t;
    auto waiting() const -> std::size_t;
    auto running() const -> std::size_t { return attempts_.size() + lingering_.size(); }
    auto chargeAll(std::string_view team, double cost) -> void;

private:
    struct Request {
        ReplyTo                  replyTo;
        CallerRequest            body;
        Admission                admission;
        std::string              pool;
        TimeMs                   acceptedAt = 0;
        TimeMs                   deadline = 0;
        TimeMs                   timeLimitMs = 0;
        std::size_t              attempts = 0;
        bool                     mayHaveRun = false; // An attempt broke after bytes had left.
        std::vector<std::string> tried;
    };

    struct Attempt {
        std::int64_t request = 0;
        std::string  target;
        std::string  team;
        TimeMs       startedAt = 0;
        bool         isWritten = false;
    };

    // Work that may still run at a target after its connection broke. It counts until its limit.
    struct Lingering {
        std::string team;
        std::string target;
        TimeMs      endsAt = 0;
    };

    auto pump(const std::string &pool) -> void;
    auto startNext(const std::string &pool, FairQueue &queue) -> bool;
    auto start(std::int64_t number, Request &request, const Choice &choice) -> void;
    auto enqueue(std::int64_t number, const Request &request) -> void;
    auto lastCheck(const Request &request, const Attempt &attempt) const -> std::optional<Reply>;
    auto releaseUnits(const Attempt &attempt) -> void;
    auto retryOrRefuse(std::int64_t number, Reply refusal, bool isFree) -> void;
    auto finish(std::int64_t number, Reply reply) -> void;
    auto wantUnits(const std::string &pool, const FairQueue &queue) -> void;
    auto decide(const Request &request, std::string_view step, std::string_view chosen,
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
    auto onClaimReplication(const Incarnation &from, ClaimReplication &copy) -> void;
    auto onClaimReplicationReply(const Incarnation &from, const ClaimReplicationReply &reply)
        -> void;
    auto onClaimSync(const Incarnation &from, ClaimSync &sync) -> void;
    auto onClaimSyncDone(const Incarnation &from, const ClaimSyncDone &done) -> void;
    auto onForward(const Incarnation &from, Forward &forward) -> void;
    auto onForwardReply(ForwardReply &reply) -> void;
    auto onCallerDisconnected(CallerHandle handle) -> void;
    auto onTick() -> void;
    auto mayStart(std::string_view id) const -> bool; // The last check.

    // The quick part is done with a claimed request. Replies to all who asked for the id.
    auto finish(const ReplyTo &replyTo, const CallerRequest &request, Reply reply) -> void;

    auto table() const -> const ClaimTable & { return table_; }
    auto waiting() const -> std::size_t { return held_.size() + forwards_.size(); }

private:
    // What a held request waits for.
    enum class HeldFor {
        Ready,   // This home to have the claims of all survivors.
        Copy,    // The copy holder to confirm the claim. Then it may start.
        Refusal, // The copy holder to confirm the refusal. Then the caller is told.
    };

    struct Held {
        HeldFor       heldFor = HeldFor::Ready;
        ReplyTo       replyTo;
        CallerRequest request;
        Admission     admission;
        Reply         refusal; // HeldFor::Refusal.
        TimeMs        deadline = 0;
        TimeMs        sentAt = 0;
    };

    struct PendingForward {
        ReplyTo       replyTo;
        CallerRequest request;
        TimeMs        deadline = 0;
        TimeMs        sentAt = 0;
        Incarnation   sentTo;
    };

    struct Waiter {
        ReplyTo replyTo;
        TimeMs  deadline = 0;
    };

    auto acceptAtHome(ReplyTo replyTo, CallerRequest request) -> void;
    auto claimAndCopy(ReplyTo replyTo, CallerRequest request, const Admission &admission) -> void;
    auto replyFromClaim(const ReplyTo &replyTo, const CallerRequest &request, const Claim &claim)
        -> void;
    auto refuseForever(ReplyTo replyTo, CallerRequest request, Reply refusal) -> void;
    auto replyAll(const ReplyTo &replyTo, const CallerRequest &request, const Reply &reply) -> void;
    auto replyUnknown(const ReplyTo &replyTo, const CallerRequest &request, std::string_view step,
                      std::string_view peer, std::string_view reason) -> void;
    auto replyNotRun(const ReplyTo &replyTo, const CallerRequest &request, std::string_view step,
                     std::string_view reason) -> void;
    auto noteRefusal(const CallerRequest &request, const Reply &reply) -> void;
    auto hold(HeldFor heldFor, ReplyTo replyTo, CallerRequest request, TimeMs timeoutMs) -> Held &;
    auto addWaiter(const ReplyTo &replyTo, const CallerRequest &request) -> bool;
    auto sendCopy(std::string_view id) -> void;
    auto sendForward(std::int64_t forwardId, PendingForward &forward) -> void;
    auto retryHeld() -> void;
    auto expireHeld(Held &held) -> void;
    auto retryForwards() -> void;
    auto expireWaiters() -> void;
    auto shareEnd(const Claim &claim) -> void;
    auto syncWith(const Incarnation &peer) -> void;
    auto teamOf(const CallerRequest &request) const -> std::string;

    EngineParts                                  &parts_;
    ClaimTable                                    table_;
    std::int64_t                                  lastForward_ = 0;
    std::multimap<std::string, Held>              held_; // By request id.
    std::map<std::int64_t, PendingForward>        forwards_;
    std::multimap<std::string, Waiter>            waiters_;   // Callers of an id that runs.
    std::map<Incarnation, Offset>                 unsynced_;  // Peers yet to confirm an epoch.
    std::map<Incarnation, std::set<std::int64_t>> partsSeen_; // Of the current epoch.
    TimeMs                                        lastSync_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Task part: long tasks on workers
//-----------------------------------------------------------------------------

// A start is a record first: the log decides which entry holds which attempt, and that a worker
// isn't filled twice. The lease at the worker follows, and lapses there if it isn't renewed.
class TaskPart
{
public:
    explicit TaskPart(EngineParts &parts) : parts_(parts) { }

    auto submit(CallerHandle handle, std::string_view taskId, std::string_view keyHash,
                TaskSpec spec) -> void;
    auto cancel(CallerHandle handle, std::string_view taskId, std::string_view keyHash) -> void;
    auto onFold() -> void;                          // Starts and stops what the log decided.
    auto onAttemptReady(AttemptId attempt) -> bool; // False: not an attempt of this part.
    auto onAttemptEnd(AttemptId attempt, const AttemptEnd &end) -> bool;
    auto onTick() -> void;
    auto running() const -> std::size_t; // Leases, and events that the log doesn't have yet.

private:
    enum class Call { Start, Renew, Checkpoint, Stop };

    // A lease that this entry holds, or lets lapse.
    struct Lease {
        std::string  taskId;
        std::int64_t attempt = 0;
        std::string  team;
        std::string  worker;
        std::string  checkpoint; // Last one that the worker told.
        TimeMs       endsAt = 0; // No later than that, the worker has stopped it.
        TimeMs       nextCallAt = 0;
        bool         isCalling = false;
        bool         hasStarted = false; // The worker took it, or may have.
    };

    struct LeaseCall {
        std::string leaseKey;
        Call        call = Call::Start;
        std::string target;
    };

    // A start that the log hasn't decided about yet. It holds a unit of the team.
    struct Proposal {
        std::string  worker;
        std::string  team;
        std::int64_t batch = 0; // The record that carries it. 0: not sent yet.
    };

    struct PendingReply {
        CallerHandle handle = 0;
        TimeMs       deadline = 0;
        bool         isCancel = false;
    };

    auto checkSubmit(std::string_view taskId, std::string_view keyHash, const TaskSpec &spec) const
        -> std::optional<Reply>;
    auto add(TaskEvent event) -> void; // To the next batch.
    auto flush() -> void;
    auto batchId(std::int64_t number) const -> std::string;
    auto freeFor(std::string_view worker) const -> Resources; // Less what is proposed.
    auto place() -> void;
    auto placeOne(const Task &task) -> bool;
    auto poolOf(const Task &task) const -> std::string;
    auto poolsHeldForUrgent() -> std::set<std::string>;
    auto preemptFor(const Task &task) -> void;
    auto ownsTask(const Task &task) const -> bool;
    auto orderedWaiting() const -> std::vector<const Task *>;
    auto serveLeases() -> void;
    auto nextCall(const Lease &lease) const -> Call;
    auto startCall(const std::string &key, Lease &lease, Call call) -> void;
    auto onAnswer(const std::string &key, Call call, const AttemptEnd &end) -> void;
    auto endLease(const std::string &key, TaskEventKind kind, std::string note) -> void;
    auto failLease(const std::string &key, std::string_view reason) -> void;
    auto answerPending() -> void;
    auto replyTask(CallerHandle handle, const Task &task) -> void;
    auto decide(const Lease &lease, std::string_view step, std::string_view reason) -> void;

    EngineParts                                 &parts_;
    std::map<std::string, Lease>                 leases_;   // By task id and attempt.
    std::map<std::string, Proposal, std::less<>> proposed_; // By task id.
    std::map<AttemptId, LeaseCall>               calls_;
    std::map<std::string, std::set<std::string>> failedOn_; // Task id -> workers where it failed.
    std::map<std::string, TimeMs>                seenAt_;   // Waiting tasks: when first seen here.
    std::map<std::string, TimeMs>                preemptAgainAt_; // Urgent tasks.
    std::multimap<std::string, PendingReply>     pending_;        // By task id.
    std::vector<TaskEvent>                       batch_;
    std::int64_t                                 lastBatch_ = 0;
    TimeMs                                       lastFlush_ = 0;
    TimeMs                                       lastPlace_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Parts
//-----------------------------------------------------------------------------

class EngineParts
{
public:
    explicit EngineParts(EngineSettings settings);

    auto refresh() -> void; // Starts what can start after anything has changed.

    Shared    shared;
    StatePart state;
    UnitPart  units;
    QuickPart quick;
    ClaimPart claims;
    TaskPart  tasks;
};

} // namespace peridotwalk
