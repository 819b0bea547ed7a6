// Who schedules a pool now, under which fencing token, and until when. Pure.
//
// Each pool belongs to a partition of an ownership group that the platform's store keeps. A member holds
// a partition until its term ends, unless it renews; the store gives it to nobody else before that.
// Terms count from before the renewal was sent, on a clock that runs on while a machine is suspended.
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
    TimeMs       ttlMs = 1'800;  // A silent owner is replaced after that.
    TimeMs       renewMs = 450;  // Three renewals may fail before the term ends.
    TimeMs       marginMs = 200; // Taken off each term, for orders on their way.
    std::int64_t partitions = 16;
};

struct OwnershipChange {
    std::set<std::int64_t>               lost;
    std::map<std::int64_t, std::int64_t> acquired; // Partition, and the fencing token for it.

    auto isEmpty() const -> bool { return lost.empty() && acquired.empty(); }
};

class Ownership
{
public:
    explicit Ownership(const OwnershipSettings &settings) : settings_(settings) { }

    // Commands.
    // Takes a renewal that was sent at `sentAt` and answered at `now`.
    auto onRenewed(TimeMs sentAt, TimeMs now, const Membership &membership) -> OwnershipChange;
    auto leave() -> OwnershipChange; // Gives up everything.

    // Queries.
    auto termUntil() const -> TimeMs { return termUntil_; } // Nothing is decided after that.
    auto generation() const -> std::int64_t { return generation_; }
    auto holds(std::int64_t partition) const -> bool { return tokens_.contains(partition); }
    auto tokens() const -> const std::map<std::int64_t, std::int64_t> & { return tokens_; }

private:
    OwnershipSettings                    settings_;
    std::map<std::int64_t, std::int64_t> tokens_; // By partition held.
    std::int64_t                         generation_ = 0;
    TimeMs                               expiresAt_ = 0; // The store may give away after that.
    TimeMs                               termUntil_ = 0;
};

// Returns the partition of a pool. The same on all entries.
auto partitionOf(std::string_view pool, std::int64_t partitions) -> std::int64_t;

} // namespace peridotwalk
