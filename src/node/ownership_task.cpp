#include "node/node_internal.h"

namespace peridotwalk {

namespace {

constexpr TimeMs kOwnersGapMs = 100;  // Least time between two readings of the owners.
constexpr TimeMs kRenewRetryMs = 150; // After a renewal that failed.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Ownership task
//-----------------------------------------------------------------------------

OwnershipTask::OwnershipTask(EventLoop &loop, OwnershipGroup &group, const NodeSettings &settings,
                             std::string member)
    : loop_(loop), group_(group), settings_(settings), member_(std::move(member)),
      ownership_(settings.ownership)
{
}

auto OwnershipTask::start() -> void
{
    renew();
}

auto OwnershipTask::renew() -> void
{
    if (isLeaving_) {
        return;
    }
    const auto sentAt = bootMs();
    group_.join(member_, ownership_.generation(), settings_.ownership.ttlMs,
                [this, sentAt](const absl::StatusOr<Membership> &membership) {
                    onRenewed(sentAt, membership);
                });
}

auto OwnershipTask::onRenewed(TimeMs sentAt, const absl::StatusOr<Membership> &membership) -> void
{
    if (isLeaving_) {
        return;
    }
    if (!membership.ok()) {
        if (!std::exchange(isStoreLost_, true)) {
            logEvent(LogLevel::Warning, "store.lost",
                     {{"error", membership.status().ToString()},
                      {"term_left_ms", ownership_.termUntil() - bootMs()}});
        }
        loop_.post([this] { renew(); }, kRenewRetryMs);
        return;
    }
    const auto now = bootMs();
    lastRenewedAt_ = now;
    if (std::exchange(isStoreLost_, false)) {
        logEvent(LogLevel::Info, "store.regained", {{"generation", membership->generation}});
    }
    const auto isNewGeneration = membership->generation != ownership_.generation();
    const auto change = ownership_.onRenewed(sentAt, now, *membership);
    if (isNewGeneration) {
        logEvent(LogLevel::Info, "ownership.generation",
                 {{"generation", membership->generation},
                  {"held", membership->partitions.size()},
                  {"lost", change.lost.size()},
                  {"acquired", change.acquired.size()}});
    }
    if (!change.isEmpty()) {
        changed.emit(change);
    }
    renewed.emit(ownership_.termUntil());
    if (isNewGeneration) {
        refreshOwners();
        // Naming the new generation is what lets others take what it no longer lists.
        handOverLost([this] { renew(); });
        return;
    }
    loop_.post([this] { renew(); }, settings_.ownership.renewMs);
}

auto OwnershipTask::beginLeave() -> void
{
    isLeaving_ = true;
}

auto OwnershipTask::leave() -> void
{
    changed.emit(ownership_.leave());
    group_.leave(member_, [this](bool isDone) {
        logEvent(LogLevel::Info, "ownership.left", {{"done", isDone}});
        refreshOwners();
    });
}

auto OwnershipTask::refreshOwners() -> void
{
    const auto now = bootMs();
    if (isReadingOwners_ || now - ownersReadAt_ < kOwnersGapMs) {
        return;
    }
    isReadingOwners_ = true;
    ownersReadAt_ = now;
    group_.owners([this](const absl::StatusOr<std::map<std::int64_t, std::string>> &owners) {
        isReadingOwners_ = false;
        if (owners.ok()) {
            owners_ = *owners;
        }
    });
}

auto OwnershipTask::peers() const -> std::vector<std::string>
{
    auto members = std::set<std::string>();
    for (const auto &[partition, member] : owners_) {
        if (member != member_) {
            members.insert(addressOf(member));
        }
    }
    return {members.begin(), members.end()};
}

auto OwnershipTask::memberOf(std::string_view pool) const -> std::string
{
    const auto partition = partitionOf(pool, settings_.ownership.partitions);
    if (ownership_.holds(partition)) {
        return member_;
    }
    const auto found = owners_.find(partition);
    return found == owners_.end() || found->second == member_ ? std::string() : found->second;
}

} // namespace peridotwalk
