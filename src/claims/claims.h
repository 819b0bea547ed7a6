// Requests that must not repeat: each id runs at most once, whichever entries receive it.
//
// An id names its zone: "suva-1/018f3c9e-...". In that zone, the entry that ranks first by
// rendezvous hash is the primary of the id, and a second entry, in another rack if possible, is its
// replica. The primary claims the id and starts the request only after the replica has stored the
// claim. Primary and replica follow from the epoch, which is the offset of the last change of the
// zone's members. A replica refuses claims of another epoch than its own.
//
// When the members change, each survivor hands its claims over to their new holders. A primary
// starts nothing until all survivors have done so. If both holders of an id were lost, its outcome
// stays unknown unless the id is newer than the loss: ids are UUIDv7 and carry their time.
//
// Index of this file
// [SECTION] Ids
// [SECTION] Holders
// [SECTION] Claims
// [SECTION] Claim table

#pragma once

#include "fleet/fleet.h"

namespace peridotwalk {

using WallMs = std::int64_t; // Milliseconds since 1970. Machines may differ by `clockSkewMs`.

//-----------------------------------------------------------------------------
// [SECTION] Ids
//-----------------------------------------------------------------------------

// The parsed form of "zone/uuid".
struct RequestId {
    std::string zone;
    WallMs      generatedAt = 0; // Time at which the id was generated, from the UUIDv7.
};

// Parses the id of a request that must not repeat. Errors carry the step "request-id".
auto parseRequestId(std::string_view id) -> absl::StatusOr<RequestId>;

//-----------------------------------------------------------------------------
// [SECTION] Holders
//-----------------------------------------------------------------------------

// The two entries that hold the claim of an id.
struct Holders {
    Incarnation primary; // Empty: the zone has no entry.
    Incarnation replica; // Empty: the zone has at most one entry.
};

// Returns the primary and the replica of `id` among the members of its zone.
auto findHolders(std::span<const Member> zoneMembers, std::string_view id) -> Holders;

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

enum class ClaimPhase : std::uint8_t {
    Claimed,  // The primary may start the request, or has started it.
    Answered, // The complete answer was received.
    Unknown,  // The request may have run, but the answer was lost.
    Refused,  // The request never ran and never will under this id.
};

// A target's answer.
struct Answer {
    std::int64_t status = 0; // HTTP status.
    std::string  contentType;
    std::string  body;
};

struct Claim {
    std::string  id;
    ClaimPhase   phase = ClaimPhase::Claimed;
    std::string  team;              // Only its callers get the answer. Empty: no key was needed.
    Incarnation  claimant;          // The entry that claimed the id. Only it may start the request.
    std::int64_t sequence = 0;      // Number of the claim among those of `claimant`, ascending.
    WallMs       createdAt = 0;     // When the id was claimed.
    bool         hasAnswer = false; // False in phase Answered: the answer isn't kept.
    Answer       answer;            // Empty unless `hasAnswer`.
};

// The members of a zone in one epoch.
struct ZoneEpoch {
    Offset              epoch = 0; // Offset of the record that changed the members. 0: none.
    std::vector<Member> members;
};

// A change of members after which claims of an earlier epoch may have no holder left.
struct LostEpoch {
    ZoneEpoch             before;    // The earlier epoch. Epoch 0: all ids up to `at` are lost.
    Offset                after = 0; // The epoch that followed.
    std::set<Incarnation> survivors; // Members of both epochs.
    WallMs                at = 0;    // When the loss was noticed. Newer ids aren't affected.
};

struct ClaimSettings {
    WallMs      windowMs = 600'000;      // The outcome of an older id is unknown.
    WallMs      clockSkewMs = 5'000;     // Largest difference between two machines' wall clocks.
    std::size_t maxClaims = 50'000;      // Claims stored per entry. Above it, outcomes are unknown.
    std::size_t maxAnswerBytes = 16'384; // A larger answer isn't kept for later callers.
    std::size_t maxAnswersBytes = 4'194'304; // Total of kept answers. Drops the oldest first.
};

//-----------------------------------------------------------------------------
// [SECTION] Claim table
//-----------------------------------------------------------------------------

// State of an id at its primary.
enum class ClaimLookup {
    Free,      // Never claimed. A refusal may say that the request didn't run.
    Held,      // Claimed by this entry, and not ended.
    Elsewhere, // Claimed by another member, which may still run the request.
    Answered,  // find() returns the claim, with the answer if it is still kept.
    Unknown,   // The request may have run.
    Refused,   // The request never ran and never will under this id.
    NotReady,  // Can't tell: some survivor hasn't handed over its claims yet.
};

class ClaimTable
{
public:
    ClaimTable(Incarnation self, std::string zone, const ClaimSettings &settings);

    // Commands. Call setMembers() after each change of the zone's members. `isFromSnapshot`: the
    // state was restored from a snapshot, so epochs in between may have been missed.
    auto setMembers(ZoneEpoch next, bool isFromSnapshot, WallMs now) -> void;
    auto claim(std::string_view id, std::string_view team, WallMs now)
        -> bool; // False: the table is full.
    // Makes sure that the id never runs here. False: the table is full, or the request may have run.
    auto refuse(std::string_view id, std::string_view team, WallMs now) -> bool;
    auto finish(std::string_view id, std::optional<Answer> answer) -> void; // Nothing: it was lost.
    auto store(Claim claim) -> void; // A claim of another entry, as its replica or in a handover.
    auto recordHandover(const Incarnation &survivor, Offset epoch) -> void; // Has handed over all.
    auto addLost(std::span<const LostEpoch> lost) -> void; // Losses reported by another entry.
    auto expire(WallMs now) -> void; // Drops claims and losses that are too old to matter.

    // Queries.
    auto lookUp(std::string_view id, WallMs generatedAt, WallMs now) const -> ClaimLookup;
    auto find(std::string_view id) const -> const Claim *;
    auto epoch() const -> Offset { return current_.epoch; }
    auto holders(std::string_view id) const -> Holders { return findHolders(current_.members, id); }
    auto members() const -> std::span<const Member> { return current_.members; }
    auto isReady() const -> bool { return current_.epoch != 0 && awaitingHandover_.empty(); }
    auto claimsFor(const Incarnation &peer) const -> std::vector<const Claim *>; // For a handover.
    auto lost() const -> std::span<const LostEpoch> { return lost_; }
    auto size() const -> std::size_t { return claims_.size(); }

private:
    auto isLost(std::string_view id, WallMs generatedAt) const -> bool;
    auto recordLosses(const ZoneEpoch &next, bool isFromSnapshot, WallMs now) -> void;
    auto closePendingEpochs() -> void;
    auto keepAnswer(Claim &claim, std::optional<Answer> answer) -> void;
    auto dropOldAnswers() -> void;

    Incarnation            self_;
    std::string            zone_;
    ClaimSettings          settings_;
    ZoneEpoch              current_;
    std::vector<ZoneEpoch> pendingEpochs_;    // The last epoch that was ready, and later.
    std::set<Incarnation>  awaitingHandover_; // Survivors whose handover isn't complete.
    std::vector<LostEpoch> lost_;
    std::map<std::string, Claim, std::less<>> claims_;      // By id.
    std::deque<std::string>                   answerOrder_; // Ids with kept answers, oldest first.
    std::size_t                               answerBytes_ = 0;  // Size of all kept answers.
    std::int64_t                              lastSequence_ = 0; // Last of this entry's claims.
};

} // namespace peridotwalk
