#include "ownership/ownership.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Ownership
//-----------------------------------------------------------------------------

auto Ownership::onRenewed(TimeMs sentAt, TimeMs now, const Membership &membership)
    -> OwnershipChange
{
    // Moving a partition to another member and back takes two generations. The store may make both between
    // two renewals, but other changes make as many, so it is asked.
    const auto isOtherGeneration = membership.generation != generation_;
    const auto isExpired = isOtherGeneration && now >= expiresAt_;
    const auto isSkipped = isOtherGeneration && membership.generation != generation_ + 1;
    auto       change = OwnershipChange{};
    for (const auto &[partition, token] : tokens_) {
        if (isExpired || !membership.partitions.contains(partition)) {
            change.lost.insert(partition);
        } else if (isSkipped) {
            unchecked_.insert(partition);
        }
    }
    for (const auto partition : change.lost) {
        tokens_.erase(partition);
        unchecked_.erase(partition);
    }
    for (const auto partition : membership.partitions) {
        const auto [found, isNew] = tokens_.try_emplace(partition, membership.generation);
        if (isNew) {
            change.acquired[partition] = found->second;
        }
    }
    generation_ = membership.generation;
    expiresAt_ = std::max(expiresAt_, sentAt + settings_.ttlMs);
    termUntil_ = expiresAt_ - settings_.marginMs;
    return change;
}

auto Ownership::onChecked(std::int64_t partition, std::int64_t token, bool isHeld)
    -> OwnershipChange
{
    auto       change = OwnershipChange{};
    const auto found = tokens_.find(partition);
    if (found == tokens_.end() || found->second != token) {
        return change;
    }
    unchecked_.erase(partition);
    if (!isHeld) {
        found->second = generation_;
        change.lost.insert(partition);
        change.acquired[partition] = generation_;
    }
    return change;
}

auto Ownership::leave() -> OwnershipChange
{
    auto change = OwnershipChange{};
    for (const auto &[partition, token] : tokens_) {
        change.lost.insert(partition);
    }
    tokens_.clear();
    unchecked_.clear();
    termUntil_ = 0;
    return change;
}

auto partitionOf(std::string_view pool, std::int64_t partitions) -> std::int64_t
{
    return static_cast<std::int64_t>(stableHash(pool) % static_cast<std::uint64_t>(partitions));
}

} // namespace peridotwalk
