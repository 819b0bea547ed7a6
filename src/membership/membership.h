// Which entries are alive, and whether this entry may still use its share of limits.
//
// Suspicion is local and cheap; only records of the log end a membership:
//   1. An entry that hears nothing from a member for `suspectAfterMs` appends a suspicion.
//   2. Any member that still hears the suspected one, or itself, refutes it.
//   3. A suspicion that stays for `evictGraceMs` lets a member append that the entry is gone.
// The limit units of a gone entry go to others, so the entry must have stopped before (3), even
// while it is cut off: mayStartLimited() turns false first, by the entry's own monotonic clock.
//
// Index of this file
// [SECTION] Settings
// [SECTION] Membership table

#pragma once

#include "fleet/fleet.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Times that have to satisfy checkMembershipSettings().
struct MembershipSettings {
    TimeMs heartbeatMs = 500;           // Between heartbeats to each peer.
    TimeMs suspectAfterMs = 10'000;     // Silence before a suspicion.
    TimeMs fenceLogMs = 180'000;        // No word of the log or of all members: limited starts end.
    TimeMs evictGraceMs = 300'000;      // Suspicion to eviction.
    TimeMs fencePeersMs = 21'000'000;   // No word of the log though all members answer.
    TimeMs evictUnheardMs = 21'600'000; // Suspicion to eviction by a member that never heard it.
    TimeMs maxRunMs = 60'000;           // What was started ends by then: leases and time limits.
};

// Returns an error naming the first pair of times that would let two entries use the same unit.
auto checkMembershipSettings(const MembershipSettings &settings) -> absl::Status;

//-----------------------------------------------------------------------------
// [SECTION] Membership table
//-----------------------------------------------------------------------------

class MembershipTable
{
public:
    MembershipTable(Incarnation self, const MembershipSettings &settings);

    // Commands. Call expire() after each fold so that what is gone is dropped.
    auto noteHeard(const Incarnation &peer, Offset peerApplied, const FleetState &state, TimeMs now)
        -> void; // Any message of a peer.
    auto noteEcho(const Incarnation &peer, TimeMs sentAt)
        -> void;                           // It has heard what was sent then.
    auto noteLogHead(TimeMs asOf) -> void; // The fold held the whole log at that time.
    auto noteInstanceRemoved(std::string_view entry)
        -> void; // The platform's list dropped the entry.
    auto noteInstanceListed(std::string_view entry) -> void;
    auto expire(const FleetState &state, TimeMs now) -> void;

    // Queries.
    auto isReachable(const Incarnation &peer, TimeMs now) const -> bool; // Heard lately.
    auto appliedOf(const Incarnation &peer) const -> Offset;             // As last heard.
    auto logAgeMs(TimeMs now) const -> TimeMs;
    auto mayStartLimited(const FleetState &state, TimeMs now) const -> bool;
    auto dueRecords(const FleetState &state, TimeMs now) const -> std::vector<Record>;

private:
    struct Peer {
        TimeMs heardAt = 0;
        TimeMs echoedAt = 0;
        Offset applied = 0;
        bool   wasHeard = false; // As a member: it knew of this entry's membership.
        bool   wasEchoed = false;
        TimeMs knownAt = 0;
        TimeMs suspectedAt = 0; // When this entry folded the suspicion.
        Offset suspicion = 0;
    };

    auto dueRecordOf(const FleetState &state, const Member &member, const Peer &peer,
                     TimeMs now) const -> std::optional<Record>;
    auto isReplaced(const FleetState &state, const Member &member) const -> bool;
    auto mayEvict(const Peer &peer, TimeMs now) const -> bool;
    auto allMembersEchoed(const FleetState &state, TimeMs now) const -> bool;

    Incarnation                              self_;
    MembershipSettings                       settings_;
    std::map<Incarnation, Peer, std::less<>> peers_;
    std::set<std::string, std::less<>>       listedGone_;
    TimeMs                                   logAsOf_ = 0;
    bool                                     hasLog_ = false;
};

} // namespace peridotwalk
