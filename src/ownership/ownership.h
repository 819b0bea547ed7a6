// Which partitions a member owns, under which fencing tokens, and until when. Pure logic, without I/O or
// clocks.
//
// Each pool belongs to a partition of an ownership group that the platform's store keeps. A member holds
// its partitions until its term ends, and extends the term with each renewal. A term counts from the time
// at which its renewal was sent, on a clock that includes the time for which a machine is suspended.
//
// The store may reassign partitions before a term ends, so a term only bounds how long a member acts on an
// assignment that was withdrawn. What decides is the fencing token: each new owner makes the store refuse
// all lower ones. A partition keeps its token only while no other member can have owned it.
//
// Index of this file
// [SECTION] Ownership

#pragma once

#include "services/services.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Ownership
//-----------------------------------------------------------------------------

struct OwnershipSettings {
    TimeMs ttlMs = 1'800;  // The store expires a member this long after its last renewal.
    TimeMs renewMs = 450;  // Interval of renewals. Three may fail before the term ends.
    TimeMs marginMs = 200; // Term ends this long before expiry, so that orders arrive in time.
    std::int64_t partitions = 16; // Number in the ownership group. The same on all nodes.
};

struct OwnershipChange {
    std::set<std::int64_t>               lost;
    std::map<std::int64_t, std::int64_t> acquired; // Fencing tokens, by partition.

    auto isEmpty() const -> bool { return lost.empty() && acquired.empty(); }
};

class Ownership
{
public:
    explicit Ownership(const OwnershipSettings &settings) : settings_(settings) { }

    // Commands.
    // Applies the reply to a renewal that was sent at `sentAt` and answered at `now`. A partition that
    // another member may have owned since the last renewal is both lost and acquired: it gets a new token.
    auto onRenewed(TimeMs sentAt, TimeMs now, const Membership &membership) -> OwnershipChange;
    auto leave() -> OwnershipChange; // Gives up all partitions, and ends the term.

    // Queries.
    auto termUntil() const -> TimeMs { return termUntil_; } // No decisions after that. 0: no term.
    auto generation() const -> std::int64_t { return generation_; }
    auto holds(std::int64_t partition) const -> bool { return tokens_.contains(partition); }
    auto tokens() const -> const std::map<std::int64_t, std::int64_t> & { return tokens_; }

private:
    OwnershipSettings                    settings_;
    std::map<std::int64_t, std::int64_t> tokens_; // By partition that is held.
    std::int64_t                         generation_ = 0;
    TimeMs                               expiresAt_ = 0; // Others may own the partitions then.
    TimeMs                               termUntil_ = 0;
};

// Returns the partition of a pool. The same on all nodes.
auto partitionOf(std::string_view pool, std::int64_t partitions) -> std::int64_t;

} // namespace peridotwalk
