// The decisions of one entry: events in, effects out. No sockets, no clocks, no threads.
//
//   engine.onCallerRequest(now, handle, request);
//   for (auto &effect : engine.takeEffects()) { carryOut(effect); }
//
// Given the same settings, seed and events, an engine gives the same effects. All failures are
// tested by driving engines against each other under an injected clock.
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
    TimeMs mono = 0; // For all waits.
    WallMs wall = 0; // For the age of request ids only.
};

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Caps and waits of requests.
struct RequestSettings {
    std::size_t maxRequests = 10'000;        // Waiting or running at this entry.
    std::size_t maxBodyBytes = 262'144;      // Of a request.
    std::size_t maxWaiters = 8;              // Callers that wait for the same id.
    std::size_t maxAttempts = 3;             // Targets tried for one request.
    TimeMs      unitRequestIntervalMs = 10;  // Between asking peers for units again.
    TimeMs      claimRetryMs = 100;          // Between sending a claim's copy or a forward again.
    TimeMs      isolatedOpenMs = 21'000'000; // Cut off: open services go on for that long.
    TimeMs      retryAfterMs = 500;          // What a refusal tells callers to wait.
};

constexpr TimeMs kLateDeliveryMs =
    2'500; // Bytes of a call may arrive that much after it was given up.

// Times of long tasks.
struct TaskSettings {
    TimeMs       leaseMs = 10'000;      // A worker stops a task whose lease isn't renewed.
    TimeMs       renewMs = 3'000;       // Between renewals.
    TimeMs       callTimeoutMs = 2'000; // Of one call to a worker.
    TimeMs       urgentWaitMs = 1'000;  // An urgent task that waits longer preempts.
    std::int64_t maxWorkerFails = 3;   // Different workers on which a task fails until it is ended.
    std::size_t  maxBatchEvents = 500; // Task events in one record.
    TimeMs       batchMs = 100;        // Between records of task events.
};

struct EngineSettings {
    Incarnation        incarnation; // Identity of this life.
    std::string        zone;
    std::string        rack;
    std::string        peerAddress; // Where peers reach this entry.
    std::uint64_t      seed = 1;    // Of random choices.
    MembershipSettings membership;
    ClaimSettings      claims;
    RoutingSettings    routing;
    RequestSettings    requests;
    TaskSettings       tasks;
    std::size_t        snapshotEvery = 1'000;    // Records between snapshots.
    std::size_t        maxTailBytes = 4'194'304; // Records kept for peers that lag.
};

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

using AttemptId = std::int64_t;
using CallerHandle = std::int64_t;

// Connect to a target. Answer with onAttemptReady() before any byte is written.
struct ConnectTarget {
    AttemptId   attempt = 0;
    std::string target;
    std::string address;
};

// Write on the connection made for the attempt. Answer with onAttemptEnd().
struct CallTarget {
    AttemptId   attempt = 0;
    std::string method; // "POST", "DELETE"
    std::string path;
    std::string requestId;
    std::string contentType;
    std::string body;
    TimeMs      timeoutMs = 0;
};

// Give the connection back unused.
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

// Append to the log, again until the log confirms it. A record with the same id is inert.
struct AppendRecord {
    std::string id;
    std::string text;
};

// Keep connections to these peers.
struct SetPeers {
    std::vector<std::string> addresses;
};

// One routing or placement decision, for the log and for `explain`.
struct Decision {
    std::string requestId;
    std::string team;
    std::string service;
    std::string step;   // "admit", "route", "start", "answer", "refuse", "place", "lease", ...
    std::string chosen; // Target or peer. Empty: none.
    std::string reason;
    std::size_t considered = 0; // Alternatives looked at.
};

// This incarnation is no member any more. Finish what runs and exit.
struct Retire {
    std::string reason;
};

using Effect = std::variant<ConnectTarget, CallTarget, DropAttempt, ReplyCaller, SendPeer,
                            AppendRecord, SetPeers, Decision, Retire>;

// How an attempt ended.
enum class AttemptEndKind {
    Answered,   // `answer` is whole.
    NotWritten, // No byte of the request left.
    Broken,     // Bytes may have left; no whole answer came.
};

struct AttemptEnd {
    AttemptEndKind kind = AttemptEndKind::NotWritten;
    Answer         answer;
    std::string    reason; // Of a failure.
};

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

struct TeamStatus {
    std::string  team;
    std::int64_t limit = 0;
    std::int64_t free = 0;    // Units at this entry.
    std::int64_t inUse = 0;   // At this entry.
    std::size_t  waiting = 0; // At this entry.
};

struct MemberStatus {
    Incarnation incarnation;
    std::string zone;
    Offset      applied = 0; // As last heard. Its own for this entry.
    bool        isReachable = false;
    bool        isSuspected = false;
};

struct EngineStatus {
    bool                      isReady = false;
    bool                      isMember = false;
    bool                      mayStart = false; // Work of teams. False: fenced.
    Offset                    applied = 0;
    TimeMs                    logAgeMs = 0;
    std::size_t               waiting = 0;
    std::size_t               running = 0;
    std::size_t               claims = 0;
    bool                      claimsReady = false;
    std::vector<TeamStatus>   teams;
    std::vector<Target>       targets;
    std::vector<MemberStatus> members;
};

//-----------------------------------------------------------------------------
// [SECTION] Engine
//-----------------------------------------------------------------------------

// Returns what callers are told of a long task: 202 while it waits or runs, 200 once it has ended.
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

    // Commands: platform. `after` is the offset before `offset` in the log.
    auto onRecord(Now now, Offset after, Offset offset, std::string_view text) -> void;
    auto onLogHead(Now now, TimeMs asOf) -> void; // A read begun at `asOf` found nothing more.
    auto onList(Now now, std::span<const ListedInstance> instances,
                std::span<const std::string> gone) -> void; // `gone` has ended for good.

    // Commands: time and end.
    auto onTick(Now now) -> void;
    auto beginShutdown(Now now) -> void; // Takes no more requests and hands units over.
    auto takeEffects() -> std::vector<Effect>;

    // Queries.
    auto nextReadOffset() const -> Offset; // Where the log is to be read next.
    auto isReady() const -> bool;          // State is known and this entry is a member.
    auto isDrained() const -> bool;        // After beginShutdown(): nothing runs or waits any more.
    auto hasLeft() const -> bool;          // The log says that this incarnation is gone.
    auto state() const -> const FleetState &;
    auto status(Now now) const -> EngineStatus;

private:
    std::unique_ptr<EngineParts> parts_;
};

} // namespace peridotwalk
