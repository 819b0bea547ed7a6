// The decision logic of one entry: it takes events and returns effects. It uses no sockets, clocks
// or threads.
//
//   engine.onCallerRequest(now, handle, request);
//   for (auto &effect : engine.takeEffects()) { carryOut(effect); }
//
// An engine is deterministic: the same settings, seed and events give the same effects. The tests
// connect several engines under a simulated clock and inject faults.
//
// Index of this file
// [SECTION] Time
// [SECTION] Settings
// [SECTION] Effects
// [SECTION] Status
// [SECTION] Engine

#pragma once

#include "membership/membership.h"
#include "peer/peer.h"
#include "routing/routing.h"
#include "scheduling/scheduling.h"

#include <memory>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

// The time of an event.
struct Now {
    TimeMs mono = 0; // Monotonic clock. Used for all timeouts and intervals.
    WallMs wall = 0; // Wall clock. Used only to compute the age of request ids.
};

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Limits and intervals for requests.
struct RequestSettings {
    std::size_t maxRequests = 10'000;        // Requests waiting or running at this entry.
    std::size_t maxBodyBytes = 262'144;      // Size of a request body.
    std::size_t maxWaiters = 8;              // Further callers that wait for one id's answer.
    std::size_t maxAttempts = 3;             // Attempts per request, including the first.
    TimeMs      unitRequestIntervalMs = 10;  // Interval between requests to peers for units.
    TimeMs      claimRetryMs = 100;          // Interval before a claim or forward is resent.
    TimeMs      isolatedOpenMs = 21'000'000; // Log age up to which open services are started.
    TimeMs      retryAfterMs = 500;          // Delay before a retry, given in refusals.
};

// A worker may still receive the bytes of a call this long after the call was abandoned.
constexpr TimeMs kLateDeliveryMs = 2'500;

// Limits and intervals for long tasks.
struct TaskSettings {
    TimeMs       leaseMs = 10'000;      // A worker stops a task whose lease isn't renewed in time.
    TimeMs       renewMs = 3'000;       // Interval between renewals of a lease.
    TimeMs       callTimeoutMs = 2'000; // Timeout of one call to a worker.
    TimeMs       urgentWaitMs = 1'000;  // An urgent task that waits longer preempts other tasks.
    std::int64_t maxWorkerFails = 3;    // A task ends after it failed on so many different workers.
    std::size_t  maxBatchEvents = 500;  // Most task events in one log record.
    TimeMs       batchMs = 100;         // Shortest interval between two records of task events.
};

struct EngineSettings {
    Incarnation        incarnation; // Identity of this process. A restart gets a new one.
    std::string        zone;
    std::string        rack;        // Failure domain inside the zone.
    std::string        peerAddress; // Address at which peers connect to this entry.
    std::uint64_t      seed = 1;    // Seeds the random generator.
    MembershipSettings membership;
    ClaimSettings      claims;
    RoutingSettings    routing;
    RequestSettings    requests;
    TaskSettings       tasks;
    std::size_t        snapshotEvery = 1'000;    // Records between two snapshots.
    std::size_t        maxTailBytes = 4'194'304; // Recent records kept to send to lagging peers.
};

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

using AttemptId = std::int64_t;
using CallerHandle = std::int64_t;

// Connect to a target. Report success with onAttemptReady() before writing any byte, and failure
// with onAttemptEnd().
struct ConnectTarget {
    AttemptId   attempt = 0;
    std::string target;
    std::string address;
};

// Write the request on the attempt's connection. Report the end with onAttemptEnd().
struct CallTarget {
    AttemptId   attempt = 0;
    std::string method; // HTTP method: "POST".
    std::string path;
    std::string requestId;
    std::string contentType;
    std::string body;
    TimeMs      timeoutMs = 0;
};

// Return the attempt's connection to the pool. Nothing was written on it.
struct DropAttempt {
    AttemptId attempt = 0;
};

struct ReplyCaller {
    CallerHandle handle = 0;
    Reply        reply;
};

struct SendPeer {
    Incarnation to;
    PeerMessage message;
};

// Append to the log and retry until the log confirms. A second record with the same id is ignored.
struct AppendRecord {
    std::string id;
    std::string text; // encodeRecord()
};

// Keep connections to these peers.
struct SetPeers {
    std::vector<std::string> addresses;
};

// One decision about a request, task or record, for the program's log and for `explain`.
struct Decision {
    std::string requestId; // Id of the request, task or log record.
    std::string team;      // Empty: none, or not known.
    std::string service;   // Empty: none, or not known.
    std::string step;      // "admit", "route", "start", "answer", "refuse", "place", "lease", ...
    std::string chosen;    // Target or peer concerned. Empty: none.
    std::string reason;
    std::size_t considered = 0; // Number of candidates. 0: nothing was selected at this step.
};

// The other members have evicted this incarnation. Finish what is running and exit.
struct Retire {
    std::string reason;
};

using Effect = std::variant<ConnectTarget, CallTarget, DropAttempt, ReplyCaller, SendPeer,
                            AppendRecord, SetPeers, Decision, Retire>;

// How an attempt ended.
enum class AttemptEndKind {
    Answered,   // `answer` holds the complete answer.
    NotWritten, // No byte of the request was sent.
    Broken,     // Bytes may have been sent, but no complete answer was received.
};

struct AttemptEnd {
    AttemptEndKind kind = AttemptEndKind::NotWritten;
    Answer         answer; // Set for Answered.
    std::string    reason; // Error text. Empty for Answered.
};

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

// State of one team's limit at this entry.
struct TeamStatus {
    std::string  team;
    std::int64_t limit = 0;   // Units of the whole fleet.
    std::int64_t free = 0;    // Free units at this entry. Below 0: this entry owes units.
    std::int64_t inUse = 0;   // Units in use at this entry.
    std::size_t  waiting = 0; // Requests waiting at this entry.
};

struct MemberStatus {
    Incarnation incarnation;
    std::string zone;
    Offset      applied = 0;         // Last applied offset that the member reported. 0: none yet.
    bool        isReachable = false; // It sent a message within `suspectAfterMs`.
    bool        isSuspected = false; // The log holds an unrefuted suspicion.
};

struct EngineStatus {
    bool                      isReady = false;     // As Engine::isReady().
    bool                      isMember = false;    // The log holds this entry as a member.
    bool                      mayStart = false;    // May start work of teams. False: fenced.
    Offset                    applied = 0;         // Offset of the last record applied. 0: none.
    TimeMs                    logAgeMs = 0;        // Time since the state held the whole log.
    std::size_t               waiting = 0;         // Requests not started yet.
    std::size_t               running = 0;         // Requests and tasks that run or may still run.
    std::size_t               claims = 0;          // Claims stored at this entry.
    bool                      claimsReady = false; // All survivors have handed over their claims.
    std::vector<TeamStatus>   teams;
    std::vector<Target>       targets;
    std::vector<MemberStatus> members;
};

//-----------------------------------------------------------------------------
// [SECTION] Engine
//-----------------------------------------------------------------------------

// Returns the answer that describes a long task to its caller: status 202 while the task waits or
// runs, 200 once it has ended.
auto describeTask(const Task &task) -> Answer;

class EngineParts;

class Engine
{
public:
    explicit Engine(EngineSettings settings);
    ~Engine();
    Engine(const Engine &) = delete;
    auto operator=(const Engine &) -> Engine & = delete;

    // Commands: callers.
    auto onCallerRequest(Now now, CallerHandle handle, CallerRequest request) -> void;
    auto onCallerDisconnected(Now now, CallerHandle handle) -> void;
    auto onTaskSubmit(Now now, CallerHandle handle, std::string_view taskId,
                      std::string_view keyHash, TaskSpec spec) -> void;
    auto onTaskCancel(Now now, CallerHandle handle, std::string_view taskId,
                      std::string_view keyHash) -> void;

    // Commands: targets.
    auto onAttemptReady(Now now, AttemptId attempt) -> void;
    auto onAttemptEnd(Now now, AttemptId attempt, AttemptEnd end) -> void;

    // Commands: peers.
    auto onPeerUp(Now now, const Incarnation &peer) -> void;
    auto onPeerDown(Now now, const Incarnation &peer) -> void;
    auto onPeerMessage(Now now, const Incarnation &from, PeerMessage message) -> void;

    // Commands: platform. `after` is the offset of the record before `offset` in the log.
    auto onRecord(Now now, Offset after, Offset offset, std::string_view text) -> void;
    auto onLogHead(Now now, TimeMs asOf) -> void; // A read begun at `asOf` found no further record.
    auto onList(Now now, std::span<const ListedInstance> instances,
                std::span<const std::string> ended)
        -> void; // `ended` names instances whose processes have ended for good.

    // Commands: time and shutdown.
    auto onTick(Now now) -> void;
    auto beginShutdown(Now now) -> void; // Refuses new requests. Hands units over once drained.
    auto takeEffects() -> std::vector<Effect>;

    // Queries.
    auto nextReadOffset() const -> Offset; // Offset at which the next read of the log begins.
    auto isReady() const -> bool;          // This entry is a member and isn't shutting down.
    auto isDrained() const -> bool;        // Shutting down, and nothing waits or runs any more.
    auto hasLeft() const -> bool; // The log holds the end of this incarnation's membership.
    auto state() const -> const FleetState &;
    auto status(Now now) const -> EngineStatus;

private:
    std::unique_ptr<EngineParts> parts_;
};

} // namespace peridotwalk
