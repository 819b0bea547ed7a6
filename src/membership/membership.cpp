#include "membership/membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace peridotwalk {

namespace {

constexpr TimeMs kNever = std::numeric_limits<TimeMs>::max() / 2;

auto invalidSettings(std::string_view names) -> absl::Status
{
    return makeError(absl::StatusCode::kInvalidArgument, "settings", "membership", names);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

auto checkMembershipSettings(const MembershipSettings &settings) -> absl::Status
{
    if (settings.heartbeatMs * 2 > settings.suspectAfterMs) {
        return invalidSettings("heartbeat_ms must be at most half of suspect_after_ms");
    }
    if (settings.suspectAfterMs >= settings.fenceLogMs) {
        return invalidSettings("suspect_after_ms must be below fence_log_ms");
    }
    if (settings.fenceLogMs + settings.maxRunMs >= settings.evictGraceMs) {
        return invalidSettings("fence_log_ms + max_run_ms must be below evict_grace_ms");
    }
    if (settings.fencePeersMs + settings.maxRunMs >= settings.evictUnheardMs) {
        return invalidSettings("fence_peers_ms + max_run_ms must be below evict_unheard_ms");
    }
    return absl::OkStatus();
}

//-----------------------------------------------------------------------------
// [SECTION] Membership table
//-----------------------------------------------------------------------------

MembershipTable::MembershipTable(Incarnation self, const MembershipSettings &settings)
    : self_(std::move(self)), settings_(settings)
{
}

auto MembershipTable::recordHeartbeat(const Incarnation &peer, Offset peerApplied,
                                      const FleetState &state, TimeMs now) -> void
{
    auto &entry = peers_.try_emplace(peer, Peer{.knownAt = now}).first->second;
    entry.heartbeatAt = std::max(entry.heartbeatAt, now);
    entry.applied = std::max(entry.applied, peerApplied);
    const auto *self = state.member(self_);
    entry.hadContact = entry.hadContact || (self != nullptr && peerApplied >= self->joinedAt);
}

auto MembershipTable::noteEcho(const Incarnation &peer, TimeMs sentAt) -> void
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.echoedAt = std::max(found->second.echoedAt, sentAt);
        found->second.wasEchoed = true;
    }
}

auto MembershipTable::noteLogHead(TimeMs asOf) -> void
{
    logAsOf_ = hasLog_ ? std::max(logAsOf_, asOf) : asOf;
    hasLog_ = true;
}

auto MembershipTable::noteInstanceRemoved(std::string_view entry) -> void
{
    removedInstances_.insert(std::string(entry));
}

auto MembershipTable::noteInstanceListed(std::string_view entry) -> void
{
    removedInstances_.erase(std::string(entry));
}

auto MembershipTable::expire(const FleetState &state, TimeMs now) -> void
{
    std::erase_if(peers_, [&](const auto &entry) { return state.isRemoved(entry.first); });
    for (const auto &member : state.members()) {
        auto &peer =
            peers_.try_emplace(member.incarnation, Peer{.heartbeatAt = now, .knownAt = now})
                .first->second;
        if (peer.suspicion != member.suspectedAt) {
            peer.suspicion = member.suspectedAt;
            peer.suspectedAt = now;
        }
    }
}

auto MembershipTable::isReachable(const Incarnation &peer, TimeMs now) const -> bool
{
    const auto found = peers_.find(peer);
    return found != peers_.end() && now - found->second.heartbeatAt < settings_.suspectAfterMs;
}

auto MembershipTable::appliedOf(const Incarnation &peer) const -> Offset
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.applied;
}

auto MembershipTable::logAgeMs(TimeMs now) const -> TimeMs
{
    return hasLog_ ? now - logAsOf_ : kNever;
}

// True only while the log can't hold an eviction of this entry. An eviction needs a suspicion that
// has lasted `evictGraceMs`. Either the log held no suspicion a short while ago, or every member
// that could evict this entry has heard from it since. The latter is trusted for `fencePeersMs`
// only, since a member that joined later may be unknown here.
auto MembershipTable::mayStartLimited(const FleetState &state, TimeMs now) const -> bool
{
    const auto *self = state.member(self_);
    if (self == nullptr || self->suspectedAt != 0) {
        return false;
    }
    const auto age = logAgeMs(now);
    if (age <= settings_.fenceLogMs) {
        return true;
    }
    return age <= settings_.fencePeersMs && allMembersEchoed(state, now);
}

auto MembershipTable::allMembersEchoed(const FleetState &state, TimeMs now) const -> bool
{
    const auto members = state.members();
    return std::ranges::all_of(members, [&](const Member &member) {
        const auto found = peers_.find(member.incarnation);
        return member.incarnation == self_
            || (found != peers_.end() && found->second.wasEchoed
                && now - found->second.echoedAt <= settings_.fenceLogMs);
    });
}

auto MembershipTable::dueRecords(const FleetState &state, TimeMs now) const -> std::vector<Record>
{
    auto        records = std::vector<Record>();
    const auto *self = state.member(self_);
    if (self == nullptr) {
        return records;
    }
    if (self->suspectedAt != 0) {
        records.emplace_back(MemberRefute{
            fmt::format("refute/{}/{}/{}", self_, self->suspectedAt, self_), self_, self_});
    }
    for (const auto &member : state.members()) {
        const auto found = peers_.find(member.incarnation);
        if (member.incarnation == self_ || found == peers_.end()) {
            continue;
        }
        if (auto record = dueRecordOf(state, member, found->second, now)) {
            records.push_back(*std::move(record));
        }
    }
    return records;
}

auto MembershipTable::dueRecordOf(const FleetState &state, const Member &member, const Peer &peer,
                                  TimeMs now) const -> std::optional<Record>
{
    const auto &name = member.incarnation;
    const auto  silence = now - peer.heartbeatAt;
    const auto  hasEnded = isReplaced(state, member) || removedInstances_.contains(entryName(name));
    if (hasEnded && silence >= std::max(settings_.maxRunMs, settings_.suspectAfterMs)) {
        return MemberRemove{fmt::format("gone/{}/{}", name, self_), name, self_,
                            RemovalReason::Listed, 0};
    }
    if (silence < settings_.suspectAfterMs) {
        if (member.suspectedAt == 0) {
            return std::nullopt;
        }
        return MemberRefute{fmt::format("refute/{}/{}/{}", name, member.suspectedAt, self_), name,
                            self_};
    }
    if (member.suspectedAt == 0) {
        const auto isTooSoon =
            peer.suspectedAt != 0 && now - peer.suspectedAt < settings_.evictGraceMs / 4;
        if (isTooSoon) {
            return std::nullopt;
        }
        return MemberSuspect{fmt::format("suspect/{}/{}/{}", name, peer.suspectedAt, self_), name,
                             self_};
    }
    if (!mayEvict(peer, now)) {
        return std::nullopt;
    }
    return MemberRemove{fmt::format("gone/{}/{}/{}", name, member.suspectedAt, self_), name, self_,
                        RemovalReason::Silent, member.suspectedAt};
}

// A later incarnation at the same address has bound the port, so the earlier process has ended.
auto MembershipTable::isReplaced(const FleetState &state, const Member &member) const -> bool
{
    const auto members = state.members();
    return std::ranges::any_of(members, [&](const Member &other) {
        return other.joinedAt > member.joinedAt && other.address == member.address
            && entryName(other.incarnation) == entryName(member.incarnation);
    });
}

auto MembershipTable::mayEvict(const Peer &peer, TimeMs now) const -> bool
{
    const auto since = std::max(peer.suspectedAt, peer.heartbeatAt);
    const auto delayMs = peer.hadContact ? settings_.evictGraceMs : settings_.evictUnheardMs;
    return now - since >= delayMs;
}

} // namespace peridotwalk
