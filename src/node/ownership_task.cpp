#include "node/node_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr TimeMs kOwnersGapMs = 100; // Minimum time between two reads of the owners.
constexpr TimeMs kAwayMs = 1'500; // Isolated after this long without contact: several calls failed.
constexpr TimeMs kRenewRetryMs = 150; // Delay after a failed renewal.
constexpr TimeMs kWatchMs = 1'000; // Interval at which a reserve polls owners. Each poll is billed.
constexpr TimeMs kUnownedMs = 1'500; // Members need this long to join when all start together.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Ownership task
//-----------------------------------------------------------------------------

OwnershipTask::OwnershipTask(EventLoop &loop, OwnershipGroup &group, const NodeSettings &settings,
                             std::string member)
    : loop_(loop), group_(group), settings_(settings), member_(std::move(member)),
      ownership_(settings.ownership), isReserve_(member_.ends_with(kReserveMark))
{
}

auto OwnershipTask::start() -> void
{
    endFormerLife();
}

// Removes the previous incarnation from the group. It can't be running any more, as this process has its
// address, so its partitions needn't wait until its membership expires.
auto OwnershipTask::endFormerLife() -> void
{
    group_.owners([this](const absl::StatusOr<Owners> &owners) {
        auto former = std::set<std::string>();
        for (const auto &[partition, member] : owners.value_or(Owners())) {
            if (isOtherIncarnation(member, member_)) {
                former.insert(member);
            }
        }
        for (const auto &member : former) {
            group_.leave(member, [member](bool isDone) {
                logEvent(LogLevel::Info, "ownership.former_life",
                         {{"member", member}, {"done", isDone}});
            });
        }
        if (isReserve_) {
            watch();
        } else {
            join();
        }
    });
}

auto OwnershipTask::join() -> void
{
    isMember_ = true;
    memberChanged.emit(true);
    renew();
}

auto OwnershipTask::renew() -> void
{
    if (isLeaving_ || !isMember_) {
        return;
    }
    const auto sentAt = bootMs();
    group_.join(member_, ownership_.generation(), settings_.ownership.ttlMs,
                [this, sentAt](const absl::StatusOr<Membership> &membership) {
                    onRenewed(sentAt, membership);
                });
}

auto OwnershipTask::noteStore(const absl::Status &status) -> void
{
    if (!status.ok() && !std::exchange(isStoreLost_, true)) {
        logEvent(
            LogLevel::Warning, "store.lost",
            {{"error", status.ToString()}, {"term_left_ms", ownership_.termUntil() - bootMs()}});
    }
    if (status.ok() && std::exchange(isStoreLost_, false)) {
        logEvent(LogLevel::Info, "store.regained", {{"generation", ownership_.generation()}});
    }
}

auto OwnershipTask::onRenewed(TimeMs sentAt, const absl::StatusOr<Membership> &membership) -> void
{
    if (isLeaving_ || !isMember_) {
        return;
    }
    noteStore(membership.status());
    if (!membership.ok()) {
        loop_.post([this] { renew(); }, kRenewRetryMs);
        return;
    }
    const auto now = bootMs();
    lastRenewedAt_ = now;
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
    if (isNewGeneration || isReserve_) {
        refreshOwners();
    }
    if (isNewGeneration) {
        // A renewal that names the new generation releases the partitions that this node has lost, so
        // they have to be handed over before.
        handOverLost([this] { renew(); });
        return;
    }
    loop_.post([this] { renew(); }, settings_.ownership.renewMs);
}

auto OwnershipTask::isAway() const -> bool
{
    return lastRenewedAt_ > 0 && bootMs() - lastRenewedAt_ > kAwayMs;
}

// Polls the owners for partitions that have none. Only for a reserve.
auto OwnershipTask::watch() -> void
{
    if (isLeaving_ || isMember_) {
        return;
    }
    group_.owners([this](const absl::StatusOr<Owners> &owners) {
        noteStore(owners.status());
        if (owners.ok()) {
            lastRenewedAt_ = bootMs();
            owners_ = *owners;
            onWatched(*owners);
        }
        loop_.post([this] { watch(); }, kWatchMs);
    });
}

auto OwnershipTask::onWatched(const Owners &owners) -> void
{
    const auto now = bootMs();
    if (std::ssize(owners) >= settings_.ownership.partitions) {
        unownedSince_ = -1;
    } else if (unownedSince_ < 0) {
        unownedSince_ = now;
    } else if (now - unownedSince_ >= kUnownedMs && !isLeaving_) {
        unownedSince_ = -1;
        logEvent(LogLevel::Info, "ownership.reserve_joins", {{"owned", owners.size()}});
        join();
    }
}

auto OwnershipTask::hasStrongOwner() const -> bool
{
    return std::ranges::any_of(owners_, [](const auto &item) {
        return !item.second.empty() && !item.second.ends_with(kReserveMark);
    });
}

// Hands all pools over to the regular nodes, leaves the group, and polls again.
auto OwnershipTask::standBack() -> void
{
    logEvent(LogLevel::Info, "ownership.reserve_stands_back",
             {{"held", ownership_.tokens().size()}});
    isMember_ = false;
    const auto change = ownership_.leave();
    handOverLost([this, change] {
        changed.emit(change);
        memberChanged.emit(false);
        group_.leave(member_, [this](bool isDone) {
            logEvent(LogLevel::Info, "ownership.left", {{"done", isDone}});
            watch();
        });
    });
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
        if (isReserve_ && isMember_ && !isLeaving_ && hasStrongOwner()) {
            standBack();
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
