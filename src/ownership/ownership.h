// Which partitions a member owns, under which fencing tokens, and until when. Pure logic, without I/O or
// clocks.
//
// Each pool belongs to a partition of an ownership group that the platform's store keeps. A member holds
// its partitions until its term ends, and extends the term with each renewal. A term counts from the time
// at which its renewal was sent, on a clock that includes the time for which a machine is suspended.
//
// The store may reassign partitions before a term ends, so a term only bounds how long a member acts on an
// assignment that was withdrawn. What decides is the fencing token: each new owner makes the store refuse
// all lower ones. A partition keeps its token only while no other member has owned it.
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
    // another member has owned since the last renewal is both lost and acquired: it gets a new token.
    auto onRenewed(TimeMs sentAt, TimeMs now, const Membership &membership) -> OwnershipChange;
    // Applies the store's answer on whether a partition was held without interruption under this token.
    auto onChecked(std::int64_t partition, std::int64_t token, bool isHeld) -> OwnershipChange;
    auto leave() -> OwnershipChange; // Gives up all partitions, and ends the term.

    // Queries.
    auto termUntil() const -> TimeMs { return termUntil_; } // No decisions after that. 0: no term.
    auto generation() const -> std::int64_t { return generation_; }
    auto holds(std::int64_t partition) const -> bool { return tokens_.contains(partition); }
    auto tokens() const -> const std::map<std::int64_t, std::int64_t> & { return tokens_; }
    // Partitions that another member may have owned meanwhile: the store has to be asked.
    auto unchecked() const -> const std::set<std::int64_t> & { return unchecked_; }

private:
    OwnershipSettings                    settings_;
    std::map<std::int64_t, std::int64_t> tokens_; // By partition that is held.
    std::set<std::int64_t>               unchecked_;
    std::int64_t                         generation_ = 0;
    TimeMs                               expiresAt_ = 0; // Others may own the partitions then.
    TimeMs                               termUntil_ = 0;
};

// Returns the partition of a pool. The same on all nodes.
auto partitionOf(std::string_view pool, std::int64_t partitions) -> std::int64_t;

} // namespace peridotwalk
