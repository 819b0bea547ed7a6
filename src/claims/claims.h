// Requests that must not repeat: each id runs at most once, whatever entry it reaches.
//
// An id names its home zone: "suva-1/018f3c9e-...". Inside that zone, the home entry of the id is the
// first by rendezvous hash; it claims the id and starts nothing before a second entry, in another
// rack if there is one, holds a copy. Both are computed from one epoch: the offset of the last
// change of the zone's members. A holder that has moved on refuses an older epoch.
//
// When the members change, each survivor hands its claims to their new holders. A home starts
// nothing before every survivor has done so. Ids whose both holders were lost stay unknown unless
// the id is younger than the loss: ids are UUIDv7 and carry their time.
//
// Index of this file
// [SECTION] Ids
// [SECTION] Holders
// [SECTION] Claims
// [SECTION] Claim table

#pragma once

#include "fleet/fleet.h"

namespace peridotwalk {

using WallMs = std::int64_t; // Milliseconds since 1970. Compared across machines only with a skew.

//-----------------------------------------------------------------------------
// [SECTION] Ids
//-----------------------------------------------------------------------------

// The parts of "zone/uuid".
struct RequestId {
    std::string zone;
    WallMs      generatedAt = 0;
};

// Parses the id of a request that must not repeat. Errors carry the step "request-id".
auto parseRequestId(std::string_view id) -> absl::StatusOr<RequestId>;

//-----------------------------------------------------------------------------
// [SECTION] Holders
//-----------------------------------------------------------------------------

// The two entries that hold the claim of an id.
struct Holders {
    Incarnation primary; // Empty: the zone has no entry.
    Incarnation copy;    // Empty: the zone has one entry only.
};

auto findHolders(std::span<const Member> zoneMembers, std::string_view id) -> Holders;

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

enum class ClaimPhase : std::uint8_t {
    Claimed,  // The home may start it, or may have.
    Answered, // The whole answer came.
    Unknown,  // It may have run. The answer was lost.
    Refused,  // It never ran and never will under this id.
};

// What a target answered.
struct Answer {
    std::int64_t status = 0; // HTTP status of the target.
    std::string  contentType;
    std::string  body;
};

struct Claim {
    std::string  id;
    ClaimPhase   phase = ClaimPhase::Claimed;
    std::string  team;         // Only its keys get the answer.
    Incarnation  claimant;     // The entry that starts it.
    std::int64_t sequence = 0; // Which of the runner's claims. Grows.
    WallMs       createdAt = 0;
    bool   hasAnswer = false; // False for Answered: it ran, but the answer isn't kept any more.
    Answer answer;
};

// The members of the zone in one epoch.
struct ZoneEpoch {
    Offset              epoch = 0;
    std::vector<Member> members;
};

// A change of members after which nobody holds some claims of an epoch before.
struct LostEpoch {
    ZoneEpoch             before;    // Epoch 0: all ids up to `at` are lost.
    Offset                after = 0; // The epoch that came next.
    std::set<Incarnation> survivors; // Members of both.
    WallMs                at = 0;    // When it was noticed.
};

struct ClaimSettings {
    WallMs      windowMs = 600'000;          // An older id is refused as unknown.
    WallMs      clockSkewMs = 5'000;         // Most by which two machines' wall clocks differ.
    std::size_t maxClaims = 50'000;          // One more is refused as not run.
    std::size_t maxAnswerBytes = 16'384;     // A longer answer isn't kept for a second caller.
    std::size_t maxAnswersBytes = 4'194'304; // All kept answers. The oldest go first.
};

//-----------------------------------------------------------------------------
// [SECTION] Claim table
//-----------------------------------------------------------------------------

// What the home finds for an id.
enum class ClaimLookup {
    Free,      // Never claimed: a refusal may say not run.
    Held,      // Claimed, and running or waiting here.
    Elsewhere, // Claimed by an entry that may still run it.
    Answered,  // find() has the answer.
    Unknown,   // It may have run.
    Refused,   // It never ran and never will.
    NotReady,  // Some survivor hasn't handed over its claims yet.
};

class ClaimTable
{
public:
    ClaimTable(Incarnation self, std::string zone, const ClaimSettings &settings);

    // Commands.
    auto setMembers(ZoneEpoch next, bool isFromSnapshot, WallMs now)
        -> void; // After each record that
        // changed the zone's members. `isJump`: epochs in between weren't seen here.
    auto claim(std::string_view id, std::string_view team, WallMs now)
        -> bool; // False: the table is full.
    auto refuse(std::string_view id, std::string_view team, WallMs now) -> bool; // False: full, or
        // it may have run. From now on the id never runs here.
    auto finish(std::string_view id, std::optional<Answer> answer) -> void;
    auto store(Claim claim) -> void; // A copy, or handed over by a survivor.
    auto noteSynced(const Incarnation &survivor, Offset epoch) -> void;
    auto addLost(std::span<const LostEpoch> lost) -> void;
    auto expire(WallMs now) -> void;

    // Queries.
    auto lookUp(std::string_view id, WallMs generatedAt, WallMs now) const -> ClaimLookup;
    auto find(std::string_view id) const -> const Claim *;
    auto epoch() const -> Offset { return current_.epoch; }
    auto holders(std::string_view id) const -> Holders { return findHolders(current_.members, id); }
    auto members() const -> std::span<const Member> { return current_.members; }
    auto isReady() const -> bool { return current_.epoch != 0 && awaiting_.empty(); }
    auto claimsFor(const Incarnation &peer) const -> std::vector<const Claim *>; // To hand over.
    auto lost() const -> std::span<const LostEpoch> { return lost_; }
    auto size() const -> std::size_t { return claims_.size(); }

private:
    auto isLost(std::string_view id, WallMs generatedAt) const -> bool;
    auto noteLosses(const ZoneEpoch &next, bool isFromSnapshot, WallMs now) -> void;
    auto noteReady() -> void;
    auto keepAnswer(Claim &claim, std::optional<Answer> answer) -> void;
    auto dropOldAnswers() -> void;

    Incarnation                               self_;
    std::string                               zone_;
    ClaimSettings                             settings_;
    ZoneEpoch                                 current_;
    std::vector<ZoneEpoch>                    unsettled_; // The last that was ready, and all since.
    std::set<Incarnation>                     awaiting_;  // Survivors that haven't handed over yet.
    std::vector<LostEpoch>                    lost_;
    std::map<std::string, Claim, std::less<>> claims_;
    std::deque<std::string>                   answerOrder_; // Ids with kept answers, oldest first.
    std::size_t                               answerBytes_ = 0;
    std::int64_t                              lastSequence_ = 0;
};

} // namespace peridotwalk
