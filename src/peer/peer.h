// Messages between entries, and how they travel: msgpack in frames over TCP.
//
// A frame is a length of 4 bytes, most significant first, and that many bytes of msgpack:
// an array of version, message number and fields. Frames above kMaxFrameBytes, of another version
// or with fields of wrong types are refused whole, and the connection is closed.
//
// Index of this file
// [SECTION] Messages: state and liveness
// [SECTION] Messages: units
// [SECTION] Messages: claims
// [SECTION] Messages: forwarded requests
// [SECTION] Frames

#pragma once

#include "claims/claims.h"
#include "limits/limits.h"

namespace peridotwalk {

constexpr std::int64_t kPeerVersion = 1;
constexpr std::size_t  kMaxFrameBytes = 16 * 1024 * 1024;

//-----------------------------------------------------------------------------
// [SECTION] Messages: state and liveness
//-----------------------------------------------------------------------------

// The first message on each connection.
struct Hello {
    Incarnation incarnation;
    std::string zone;
    std::string address; // Where the sender accepts peers.
};

// Work of one team since the last heartbeat, for fairness across entries.
struct TeamUse {
    std::string team;
    double      cost = 0;
};

// Requests that the sender has at one target.
struct TargetUse {
    std::string  target;
    std::int64_t outstanding = 0;
};

struct Heartbeat {
    TimeMs                   sentAt = 0; // The sender's clock. Comes back as echoOf.
    TimeMs                   echoOf = 0; // sentAt of the last heartbeat from the receiver, 0: none.
    Offset                   applied = 0;
    TimeMs                   logAgeMs = 0; // Since the sender's fold held the whole log.
    std::vector<UnitRequest> debts;        // Teams whose units the sender owes.
    std::vector<TeamUse>     used;
    std::vector<TargetUse>   outstanding;
    std::vector<std::string> leaving;   // Targets that get no new work.
    std::int64_t unitsAcknowledged = 0; // UnitsGiven::sequence up to which nothing is missing.
};

struct LogRecord {
    Offset      offset = 0;
    std::string text;
};

// Records that the receiver lacks. `after` is the offset before the first in the log.
struct RecordsPush {
    Offset                 after = 0;
    std::vector<LogRecord> records;
};

// The whole state, for a receiver that lacks too much.
struct StatePush {
    std::string dump; // FleetState::dump()
};

//-----------------------------------------------------------------------------
// [SECTION] Messages: units
//-----------------------------------------------------------------------------

struct UnitsWanted {
    std::vector<UnitRequest> requests;
};

// Totals of what the sender gave the receiver. `slotEpoch` says which grants of slots they build on.
struct UnitsGiven {
    Offset                    slotEpoch = 0;
    std::int64_t              sequence = 0;   // Counts what the sender gave the receiver.
    bool                      isFull = false; // All totals, to make good what was lost.
    std::vector<UnitTransfer> transfers;
};

//-----------------------------------------------------------------------------
// [SECTION] Messages: claims
//-----------------------------------------------------------------------------

struct ClaimReplication {
    Offset epoch = 0;
    Claim  claim;
};

struct ClaimReplicationReply {
    std::string  id;
    std::int64_t sequence = 0;
    ClaimPhase   phase = ClaimPhase::Claimed; // As in the copy.
    Offset       epoch = 0;                   // The replier's. The copy is held only if isHeld.
    bool         isHeld = false;
};

// Claims of the sender that the receiver holds in the new epoch. Repeated until acknowledged.
struct ClaimSync {
    Offset                 epoch = 0;
    std::int64_t           part = 0; // 0 to parts - 1
    std::int64_t           parts = 1;
    std::vector<Claim>     claims;
    std::vector<LostEpoch> lost;
};

struct ClaimSyncDone {
    Offset epoch = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Messages: forwarded requests
//-----------------------------------------------------------------------------

// A request as its caller sent it.
struct CallerRequest {
    std::string id;
    std::string keyHash; // hashKey() of the key. Empty: none came.
    std::string service;
    std::string contentType;
    std::string body;
    TimeMs      timeoutMs = 0; // Left until the caller's deadline.
    bool        isRepeatable = false;
};

struct Forward {
    std::int64_t  forwardId = 0;
    CallerRequest request;
};

// What a caller gets.
struct Reply {
    Outcome outcome = Outcome::NotRun;
    Answer  answer;  // For Outcome::Answered.
    Refusal refusal; // Otherwise.
};

struct ForwardReply {
    std::int64_t forwardId = 0;
    bool         isPrimary = true; // False: the receiver of the Forward wasn't the home of the id.
    Reply        reply;
};

using PeerMessage = std::variant<Hello, Heartbeat, RecordsPush, StatePush, UnitsWanted, UnitsGiven,
                                 ClaimReplication, ClaimReplicationReply, ClaimSync, ClaimSyncDone,
                                 Forward, ForwardReply>;

//-----------------------------------------------------------------------------
// [SECTION] Frames
//-----------------------------------------------------------------------------

// Returns a frame, length included.
auto encodeFrame(const PeerMessage &message) -> std::string;

// Takes bytes as they arrive and gives out whole messages.
//   decoder.append(bytes);
//   while (true) {
//       auto next = decoder.next();
//       if (!next.ok()) { close(); break; }
//       if (!*next) { break; } // More bytes are needed.
//       handle(**next);
//   }
class FrameDecoder
{
public:
    // Commands.
    auto append(std::string_view bytes) -> void;
    auto next() -> absl::StatusOr<std::optional<PeerMessage>>;

    // Queries.
    auto buffered() const -> std::size_t { return buffer_.size() - consumed_; }

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace peridotwalk
