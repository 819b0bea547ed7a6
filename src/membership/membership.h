// Failure detection, eviction of entries, and self-fencing: which entries are members, and whether
// this entry may still use its units of limits.
//
// Each entry detects failures by itself, but only log records end a membership:
//   1. An entry that receives nothing from a member for `suspectAfterMs` appends a suspicion.
//   2. The suspected entry, or any member that still receives its messages, appends a refutation.
//   3. Once a suspicion has lasted `evictGraceMs`, any member may append the eviction.
// The limit units of an evicted entry go to others, so the entry must have stopped its work before
// (3), even while it is isolated: mayStartLimited() turns false early enough, by the entry's own
// monotonic clock.
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

// Intervals and timeouts. Must satisfy checkMembershipSettings().
struct MembershipSettings {
    TimeMs heartbeatMs = 500;         // Interval between heartbeats to each peer.
    TimeMs suspectAfterMs = 10'000;   // Silence of a member before it is suspected.
    TimeMs fenceLogMs = 180'000;      // Log age that fences this entry, unless all members answer.
    TimeMs evictGraceMs = 300'000;    // From suspicion to eviction.
    TimeMs fencePeersMs = 21'000'000; // Log age that fences it even if all members answer.
    TimeMs evictUnheardMs = 21'600'000; // From suspicion to eviction by a member that never had
                                        // contact with the suspected one.
    TimeMs maxRunMs = 60'000; // Started work ends within it: bounds time limits and leases.
};

// Returns an error that names the first pair of settings which would let two entries use the same
// unit at the same time.
auto checkMembershipSettings(const MembershipSettings &settings) -> absl::Status;

//-----------------------------------------------------------------------------
// [SECTION] Membership table
//-----------------------------------------------------------------------------

class MembershipTable
{
public:
    MembershipTable(Incarnation self, const MembershipSettings &settings);

    // Commands. Call expire() after each applied record.
    auto recordHeartbeat(const Incarnation &peer, Offset peerApplied, const FleetState &state,
                         TimeMs now) -> void; // A heartbeat of the peer arrived.
    auto noteEcho(const Incarnation &peer, TimeMs sentAt)
        -> void; // The peer has received this entry's heartbeat of `sentAt`.
    auto noteLogHead(TimeMs asOf) -> void; // At that time, all records of the log were applied.
    auto noteInstanceRemoved(std::string_view entry)
        -> void; // The platform lists the process as ended.
    auto noteInstanceListed(std::string_view entry)
        -> void; // The platform's list contains the entry.
    // Forgets removed members, adds new ones and records when suspicions changed.
    auto expire(const FleetState &state, TimeMs now) -> void;

    // Queries.
    auto isReachable(const Incarnation &peer, TimeMs now) const -> bool; // See `suspectAfterMs`.
    auto appliedOf(const Incarnation &peer) const -> Offset; // As last reported. 0: never.
    // Returns the time since all records of the log were applied. A huge value: they never were.
    auto logAgeMs(TimeMs now) const -> TimeMs;
    // Returns whether this entry may start work that counts against limits. False: it is fenced,
    // suspected or no member.
    auto mayStartLimited(const FleetState &state, TimeMs now) const -> bool;
    auto dueRecords(const FleetState &state, TimeMs now) const
        -> std::vector<Record>; // Suspicions, refutations and evictions to append now.

private:
    struct Peer {
        TimeMs heartbeatAt = 0;    // Last heartbeat. Before the first one: when it became known.
        TimeMs echoedAt = 0;       // When the last heartbeat that the peer echoed was sent.
        Offset applied = 0;        // Last applied offset that the peer reported. 0: none.
        bool   hadContact = false; // A heartbeat came after the peer had applied this entry's join.
        bool   wasEchoed = false;  // `echoedAt` is set.
        TimeMs knownAt = 0;        // When the peer became known here. Not used.
        TimeMs suspectedAt = 0;    // When `suspicion` last changed here. 0: never.
        Offset suspicion = 0;      // Offset of the current suspicion. 0: none.
    };

    auto dueRecordOf(const FleetState &state, const Member &member, const Peer &peer,
                     TimeMs now) const -> std::optional<Record>;
    auto isReplaced(const FleetState &state, const Member &member) const -> bool;
    auto mayEvict(const Peer &peer, TimeMs now) const -> bool;
    auto allMembersEchoed(const FleetState &state, TimeMs now) const -> bool;

    Incarnation                              self_;
    MembershipSettings                       settings_;
    std::map<Incarnation, Peer, std::less<>> peers_;
    std::set<std::string, std::less<>>       removedInstances_; // Entries whose process has ended.
    TimeMs                                   logAsOf_ = 0;      // See noteLogHead().
    bool                                     hasLog_ = false;   // `logAsOf_` is set.
};

} // namespace peridotwalk
