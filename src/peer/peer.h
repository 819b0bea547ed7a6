// Messages between entries, and their encoding: msgpack in frames over TCP.
//
// A frame is a length of 4 bytes, most significant first, followed by that many bytes of msgpack:
// an array of version, message number and fields. A frame that is longer than kMaxFrameBytes, has
// another version or fields of wrong types is an error, after which the connection is closed.
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
    std::string address; // Where the sender accepts connections of peers.
};

// Work that the sender did for one team since its last heartbeat, for fairness across entries.
struct TeamUse {
    std::string team;
    double      cost = 0; // Run time in ms.
};

// Requests that the sender has outstanding at one target.
struct TargetUse {
    std::string  target;
    std::int64_t outstanding = 0;
};

struct Heartbeat {
    TimeMs                   sentAt = 0;   // On the sender's clock. Returned in echoOf.
    TimeMs                   echoOf = 0;   // sentAt of the receiver's last heartbeat. 0: none.
    Offset                   applied = 0;  // Last log record in the sender's replicated state.
    TimeMs                   logAgeMs = 0; // Time since that state last included the whole log.
    std::vector<UnitRequest> debts;        // Teams of which the sender uses more units than it has.
    std::vector<TeamUse>     used;
    std::vector<TargetUse>   outstanding;
    std::vector<std::string> leaving;               // Targets that shut down and get no new work.
    std::int64_t             unitsAcknowledged = 0; // UnitsGiven::sequence received without gaps.
};

struct LogRecord {
    Offset      offset = 0;
    std::string text;
};

// Log records that the receiver lacks.
struct RecordsPush {
    Offset                 after = 0; // Offset of the log record right before the first one here.
    std::vector<LogRecord> records;
};

// The whole replicated state, for a receiver that lags too far behind for single records.
struct StatePush {
    std::string dump; // From FleetState::dump().
};

//-----------------------------------------------------------------------------
// [SECTION] Messages: units
//-----------------------------------------------------------------------------

// Requests units from the receiver, by resource.
struct UnitsWanted {
    std::vector<UnitRequest> requests;
};

// Units that the sender gives the receiver, as running totals.
struct UnitsGiven {
    Offset                    slotEpoch = 0;  // Epoch of the slot grants that the totals build on.
    std::int64_t              sequence = 0;   // Counts these messages to the receiver, from 1.
    bool                      isFull = false; // Has all totals, as an earlier message was lost.
    std::vector<UnitTransfer> transfers;
};

//-----------------------------------------------------------------------------
// [SECTION] Messages: claims
//-----------------------------------------------------------------------------

// Stores a claim at its replica, or reports its final phase to its primary or replica.
struct ClaimReplication {
    Offset epoch = 0; // The sender's epoch.
    Claim  claim;
};

struct ClaimReplicationReply {
    std::string  id;                          // Of the claim.
    std::int64_t sequence = 0;                // Of the claim.
    ClaimPhase   phase = ClaimPhase::Claimed; // As in the message that this replies to.
    Offset       epoch = 0;                   // The replica's epoch.
    bool         isHeld = false; // The replier is the claim's replica, in the same epoch.
};

// Hands over the claims of the sender that the receiver holds in a new epoch. Sent again until
// acknowledged by ClaimSyncDone.
struct ClaimSync {
    Offset                 epoch = 0;
    std::int64_t           part = 0; // This message of the handover: 0 to parts - 1.
    std::int64_t           parts = 1;
    std::vector<Claim>     claims;
    std::vector<LostEpoch> lost; // Losses of claims that the sender knows of.
};

// Acknowledges all parts of a handover.
struct ClaimSyncDone {
    Offset epoch = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Messages: forwarded requests
//-----------------------------------------------------------------------------

// A caller's request.
struct CallerRequest {
    std::string id;
    std::string keyHash; // hashKey() of the team key. Empty: none was sent.
    std::string service;
    std::string contentType;
    std::string body;
    TimeMs      timeoutMs = 0;        // Time left until the caller's deadline.
    bool        isRepeatable = false; // May run more than once.
};

// Passes a request on to the entry that is the primary of its id.
struct Forward {
    std::int64_t  forwardId = 0; // Chosen by the sender, for the reply.
    CallerRequest request;
};

// Reply to a caller.
struct Reply {
    Outcome outcome = Outcome::NotRun;
    Answer  answer;  // Set for Outcome::Answered.
    Refusal refusal; // Set for all other outcomes.
};

struct ForwardReply {
    std::int64_t forwardId = 0;
    bool         isPrimary = true; // False: the replying entry isn't the primary of the id.
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

// Splits a byte stream into messages.
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
    auto next() -> absl::StatusOr<std::optional<PeerMessage>>; // Nothing: more bytes are needed.

    // Queries.
    auto buffered() const -> std::size_t { return buffer_.size() - consumed_; }

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace peridotwalk
