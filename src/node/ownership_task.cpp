#include "node/node_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr TimeMs kMinOwnersReadMs = 100; // Minimum time between two reads of the owners.
// Time without contact to the store after which the node is isolated. Several calls have failed by then.
constexpr TimeMs kIsolatedAfterMs = 1'500;
constexpr TimeMs kRenewRetryMs = 150;   // Delay after a failed renewal.
constexpr TimeMs kOwnersPollMs = 1'000; // Interval of a reserve's polls. Each is a billed call.
// Delay before a reserve joins. Members need this long to join when all start together.
constexpr TimeMs kUnownedDelayMs = 1'500;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Ownership task
//-----------------------------------------------------------------------------

OwnershipTask::OwnershipTask(EventLoop &loop, OwnershipGroup &group, const NodeSettings &settings,
                             std::string member)
    : loop_(loop), group_(group), settings_(settings), member_(std::move(member)),
      ownership_(settings.ownership), isReserve_(member_.ends_with(kReserveSuffix))
{
}

auto OwnershipTask::start() -> void
{
    removePreviousIncarnation();
}

// Removes the previous incarnation from the group. It can't be running any more, as this process has its
// address, so its partitions needn't wait until its membership expires.
auto OwnershipTask::removePreviousIncarnation() -> void
{
    group_.owners([this](const absl::StatusOr<Owners> &owners) {
        auto previous = std::set<std::string>();
        owners_ = owners.value_or(Owners());
        for (const auto &[partition, member] : owners_) {
            if (isOtherIncarnation(member, member_)) {
                previous.insert(member);
            }
        }
        for (const auto &member : previous) {
            group_.leave(member, [member](bool isDone) {
                logEvent(LogLevel::Info, "ownership.former_life",
                         {{"member", member}, {"done", isDone}});
            });
        }
        if (isReserve_) {
            pollOwners();
        } else {
            join();
        }
    });
}

auto OwnershipTask::allowJoin() -> void
{
    mayJoin_ = true;
    if (std::exchange(isJoinDue_, false) && !isLeaving_) {
        join();
    }
}

auto OwnershipTask::join() -> void
{
    if (!mayJoin_) {
        isJoinDue_ = true;
        logEvent(LogLevel::Info, "ownership.waits", {{"for", "rules"}});
        return;
    }
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

auto OwnershipTask::logStoreChange(const absl::Status &status) -> void
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
    logStoreChange(membership.status());
    if (!membership.ok()) {
        loop_.post([this] { renew(); }, kRenewRetryMs);
        return;
    }
    const auto now = bootMs();
    lastContactAt_ = now;
    const auto previous = ownership_.generation();
    const auto isNewGeneration = membership->generation != previous;
    const auto change = ownership_.onRenewed(sentAt, now, *membership);
    if (isNewGeneration) {
        logEvent(LogLevel::Info, "ownership.generation",
                 {{"generation", membership->generation},
                  {"previous", previous},
                  {"held", membership->partitions.size()},
                  {"lost", change.lost.size()},
                  {"acquired", change.acquired.size()}});
    }
    if (!change.isEmpty()) {
        changed.emit(change);
    }
    renewed.emit(ownership_.termUntil());
    checkHeld();
    if (isNewGeneration || isReserve_) {
        refreshOwners();
    }
    if (isNewGeneration) {
        // A renewal that names the new generation releases the partitions that this node has lost, so
        // they have to be handed over before.
        startHandoverOfLost([this] { renew(); });
        return;
    }
    loop_.post([this] { renew(); }, settings_.ownership.renewMs);
}

// Asks the store about partitions that another member may have owned meanwhile. Without an answer it is asked
// again after the next renewal.
auto OwnershipTask::checkHeld() -> void
{
    for (const auto partition : ownership_.unchecked()) {
        const auto token = ownership_.tokens().at(partition);
        group_.checkHeld(member_, partition, token,
                         [this, partition, token](const absl::StatusOr<bool> &isHeld) {
                             if (isHeld.ok() && !isLeaving_ && isMember_) {
                                 onChecked(partition, token, *isHeld);
                             }
                         });
    }
}

auto OwnershipTask::onChecked(std::int64_t partition, std::int64_t token, bool isHeld) -> void
{
    const auto change = ownership_.onChecked(partition, token, isHeld);
    if (change.isEmpty()) {
        return;
    }
    logEvent(
        LogLevel::Info, "ownership.interrupted",
        {{"partition", partition}, {"token", token}, {"new_token", change.acquired.at(partition)}});
    changed.emit(change);
    startHandoverOfLost([] {});
}

auto OwnershipTask::isIsolated() const -> bool
{
    return lastContactAt_ > 0 && bootMs() - lastContactAt_ > kIsolatedAfterMs;
}

// Polls the owners for partitions that have none. Only for a reserve.
auto OwnershipTask::pollOwners() -> void
{
    if (isLeaving_ || isMember_) {
        return;
    }
    group_.owners([this](const absl::StatusOr<Owners> &owners) {
        logStoreChange(owners.status());
        if (owners.ok()) {
            lastContactAt_ = bootMs();
            owners_ = *owners;
            onOwnersPolled(*owners);
        }
        loop_.post([this] { pollOwners(); }, kOwnersPollMs);
    });
}

auto OwnershipTask::onOwnersPolled(const Owners &owners) -> void
{
    const auto now = bootMs();
    if (std::ssize(owners) >= settings_.ownership.partitions) {
        unownedSince_ = -1;
    } else if (unownedSince_ < 0) {
        unownedSince_ = now;
    } else if (now - unownedSince_ >= kUnownedDelayMs && mayJoin_ && !isLeaving_) {
        unownedSince_ = -1;
        logEvent(LogLevel::Info, "ownership.reserve_joins", {{"owned", owners.size()}});
        join();
    }
}

auto OwnershipTask::hasRegularOwner() const -> bool
{
    return std::ranges::any_of(owners_, [](const auto &item) {
        return !item.second.empty() && !item.second.ends_with(kReserveSuffix);
    });
}

// Hands all pools over to the regular nodes, leaves the group, and polls again.
auto OwnershipTask::stepDown() -> void
{
    logEvent(LogLevel::Info, "ownership.reserve_stands_back",
             {{"held", ownership_.tokens().size()}});
    isMember_ = false;
    const auto change = ownership_.leave();
    startHandoverOfLost([this, change] {
        changed.emit(change);
        memberChanged.emit(false);
        group_.leave(member_, [this](bool isDone) {
            logEvent(LogLevel::Info, "ownership.left", {{"done", isDone}});
            pollOwners();
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
    if (isReadingOwners_ || now - ownersReadAt_ < kMinOwnersReadMs) {
        return;
    }
    isReadingOwners_ = true;
    ownersReadAt_ = now;
    group_.owners([this](const absl::StatusOr<std::map<std::int64_t, std::string>> &owners) {
        isReadingOwners_ = false;
        if (owners.ok()) {
            owners_ = *owners;
        }
        if (isReserve_ && isMember_ && !isLeaving_ && hasRegularOwner()) {
            stepDown();
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
