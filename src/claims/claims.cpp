#include "claims/claims.h"

#include <algorithm>
#include <charconv>

namespace peridotwalk {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionAt = 14;
constexpr std::size_t kUuidTimeHighLen = 8;
constexpr std::size_t kUuidTimeLowLen = 4;

auto badId(std::string_view id, std::string_view reason) -> absl::Status
{
    return makeError(absl::StatusCode::kInvalidArgument, "request-id", id.substr(0, 80), reason);
}

auto isUuid(std::string_view text) -> bool
{
    if (text.size() != kUuidLength) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto isDash = index == 8 || index == 13 || index == 18 || index == 23;
        const auto isHex =
            std::string_view("0123456789abcdef").find(text[index]) != std::string_view::npos;
        if (isDash ? text[index] != '-' : !isHex) {
            return false;
        }
    }
    return true;
}

auto parseHex(std::string_view digits) -> std::int64_t
{
    constexpr auto kBase = 16;
    std::int64_t   value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, kBase);
    return value;
}

auto hasMember(std::span<const Member> members, std::string_view incarnation) -> bool
{
    return std::ranges::find(members, incarnation, &Member::incarnation) != members.end();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Ids
//-----------------------------------------------------------------------------

auto parseRequestId(std::string_view id) -> absl::StatusOr<RequestId>
{
    const auto slash = id.find('/');
    if (slash == std::string_view::npos || slash == 0) {
        return badId(id, "the id must be zone/uuid");
    }
    const auto uuid = id.substr(slash + 1);
    if (!isUuid(uuid) || uuid[kUuidVersionAt] != '7') {
        return badId(id, "the part after the zone must be a UUIDv7 in lower case");
    }
    const auto high = parseHex(uuid.substr(0, kUuidTimeHighLen));
    const auto low = parseHex(uuid.substr(kUuidTimeHighLen + 1, kUuidTimeLowLen));
    return RequestId{std::string(id.substr(0, slash)), (high << 16) | low};
}

//-----------------------------------------------------------------------------
// [SECTION] Holders
//-----------------------------------------------------------------------------

auto findHolders(std::span<const Member> zoneMembers, std::string_view id) -> Holders
{
    const auto ranked = rankMembers(zoneMembers, id);
    if (ranked.empty()) {
        return {};
    }
    const auto *primary = ranked.front();
    if (ranked.size() == 1) {
        return {primary->incarnation, {}};
    }
    const auto others = std::span(ranked).subspan(1);
    const auto inOtherRack = std::ranges::find_if(
        others, [&](const Member *member) { return member->rack != primary->rack; });
    const auto *replica = inOtherRack == others.end() ? others.front() : *inOtherRack;
    return {primary->incarnation, replica->incarnation};
}

//-----------------------------------------------------------------------------
// [SECTION] Claim table
//-----------------------------------------------------------------------------

ClaimTable::ClaimTable(Incarnation self, std::string zone, const ClaimSettings &settings)
    : self_(std::move(self)), zone_(std::move(zone)), settings_(settings)
{
}

auto ClaimTable::setMembers(ZoneEpoch next, bool isFromSnapshot, WallMs now) -> void
{
    const auto self = std::ranges::find(next.members, self_, &Member::incarnation);
    if (next.epoch <= current_.epoch || self == next.members.end()) {
        return;
    }
    recordLosses(next, isFromSnapshot, now);
    // Members that joined after this entry and are new to it have no claims to hand over.
    awaitingHandover_.clear();
    for (const auto &member : next.members) {
        const auto isOlder = member.joinedAt < self->joinedAt;
        if (isOlder || hasMember(current_.members, member.incarnation)) {
            awaitingHandover_.insert(member.incarnation);
        }
    }
    awaitingHandover_.erase(self_);
    current_ = std::move(next);
    pendingEpochs_.push_back(current_);
    closePendingEpochs();
}

// The claims of an epoch are at its holders, or still in a handover if the epoch never became ready
// here. So this checks each epoch since the last ready one, and for an entry that has just joined
// also the epoch before its join.
auto ClaimTable::recordLosses(const ZoneEpoch &next, bool isFromSnapshot, WallMs now) -> void
{
    const auto self = std::ranges::find(next.members, self_, &Member::incarnation);
    const auto isFirstHere = current_.epoch == 0;
    if (isFirstHere) {
        auto others = next.members;
        std::erase_if(others, [&](const Member &member) { return member.incarnation == self_; });
        pendingEpochs_.push_back({self->joinedAfter, std::move(others)});
    }
    const auto isAlone = next.members.size() == 1;
    const auto hadOthersBefore = isFirstHere && isAlone && self->joinedAfter != 0;
    const auto missedEpochs = isFirstHere ? next.epoch != self->joinedAt : isFromSnapshot;
    if (hadOthersBefore || missedEpochs) {
        lost_.push_back({{}, next.epoch, {}, now});
    }
    for (const auto &before : pendingEpochs_) {
        auto survivors = std::set<Incarnation>();
        for (const auto &member : before.members) {
            if (hasMember(next.members, member.incarnation)) {
                survivors.insert(member.incarnation);
            }
        }
        if (survivors.size() < before.members.size()) {
            lost_.push_back({before, next.epoch, std::move(survivors), now});
        }
    }
}

auto ClaimTable::closePendingEpochs() -> void
{
    if (isReady()) {
        pendingEpochs_ = {current_};
    }
}

auto ClaimTable::claim(std::string_view id, std::string_view team, WallMs now) -> bool
{
    if (claims_.size() >= settings_.maxClaims) {
        return false;
    }
    auto claim = Claim{};
    claim.id = std::string(id);
    claim.team = std::string(team);
    claim.claimant = self_;
    claim.sequence = ++lastSequence_;
    claim.createdAt = now;
    claims_.insert_or_assign(std::string(id), std::move(claim));
    return true;
}

auto ClaimTable::refuse(std::string_view id, std::string_view team, WallMs now) -> bool
{
    if (find(id) == nullptr && !claim(id, team, now)) {
        return false;
    }
    auto &refused = claims_.find(id)->second;
    if (refused.phase == ClaimPhase::Claimed && refused.claimant == self_) {
        refused.phase = ClaimPhase::Refused;
    }
    return refused.phase == ClaimPhase::Refused;
}

auto ClaimTable::finish(std::string_view id, std::optional<Answer> answer) -> void
{
    const auto found = claims_.find(id);
    if (found != claims_.end() && found->second.phase == ClaimPhase::Claimed) {
        found->second.phase = answer ? ClaimPhase::Answered : ClaimPhase::Unknown;
        keepAnswer(found->second, std::move(answer));
    }
}

auto ClaimTable::keepAnswer(Claim &claim, std::optional<Answer> answer) -> void
{
    if (!answer || answer->body.size() > settings_.maxAnswerBytes) {
        return;
    }
    claim.hasAnswer = true;
    claim.answer = *std::move(answer);
    answerBytes_ += claim.answer.body.size();
    answerOrder_.push_back(claim.id);
    dropOldAnswers();
}

auto ClaimTable::dropOldAnswers() -> void
{
    while (answerBytes_ > settings_.maxAnswersBytes && !answerOrder_.empty()) {
        const auto found = claims_.find(answerOrder_.front());
        answerOrder_.pop_front();
        if (found == claims_.end() || !found->second.hasAnswer) {
            continue;
        }
        answerBytes_ -= found->second.answer.body.size();
        found->second.hasAnswer = false;
        found->second.answer = {};
    }
}

// A claim that has ended is never replaced.
auto ClaimTable::store(Claim claim) -> void
{
    auto &present = claims_[claim.id];
    if (!present.id.empty() && present.phase != ClaimPhase::Claimed) {
        return;
    }
    auto answer = claim.hasAnswer ? std::optional(std::move(claim.answer)) : std::nullopt;
    claim.hasAnswer = false;
    claim.answer = {};
    present = std::move(claim);
    keepAnswer(present, std::move(answer));
}

auto ClaimTable::recordHandover(const Incarnation &survivor, Offset epoch) -> void
{
    if (epoch == current_.epoch) {
        awaitingHandover_.erase(survivor);
        closePendingEpochs();
    }
}

auto ClaimTable::addLost(std::span<const LostEpoch> lost) -> void
{
    for (const auto &entry : lost) {
        const auto isKnown = std::ranges::any_of(lost_, [&](const LostEpoch &known) {
            return known.before.epoch == entry.before.epoch && known.after == entry.after
                && known.at >= entry.at;
        });
        if (!isKnown) {
            lost_.push_back(entry);
        }
    }
}

auto ClaimTable::expire(WallMs now) -> void
{
    const auto keepMs = settings_.windowMs + 2 * settings_.clockSkewMs;
    std::erase_if(lost_, [&](const LostEpoch &lost) { return now - lost.at > keepMs; });
    std::erase_if(claims_, [&](const auto &entry) {
        const auto isOld = now - entry.second.createdAt > keepMs;
        if (isOld && entry.second.hasAnswer) {
            answerBytes_ -= entry.second.answer.body.size();
        }
        return isOld;
    });
    while (!answerOrder_.empty() && !claims_.contains(answerOrder_.front())) {
        answerOrder_.pop_front();
    }
}

auto ClaimTable::lookUp(std::string_view id, WallMs generatedAt, WallMs now) const -> ClaimLookup
{
    if (const auto *claim = find(id)) {
        switch (claim->phase) {
        case ClaimPhase::Claimed:
            if (claim->claimant == self_) {
                return ClaimLookup::Held;
            }
            return hasMember(current_.members, claim->claimant) ? ClaimLookup::Elsewhere
                                                                : ClaimLookup::Unknown;
        case ClaimPhase::Answered:
            return ClaimLookup::Answered;
        case ClaimPhase::Unknown:
            return ClaimLookup::Unknown;
        case ClaimPhase::Refused:
            return ClaimLookup::Refused;
        }
    }
    if (now - generatedAt > settings_.windowMs || isLost(id, generatedAt)) {
        return ClaimLookup::Unknown;
    }
    return isReady() ? ClaimLookup::Free : ClaimLookup::NotReady;
}

auto ClaimTable::isLost(std::string_view id, WallMs generatedAt) const -> bool
{
    return std::ranges::any_of(lost_, [&](const LostEpoch &lost) {
        if (generatedAt > lost.at + settings_.clockSkewMs) {
            return false;
        }
        const auto holders = findHolders(lost.before.members, id);
        return !lost.survivors.contains(holders.primary)
            && !lost.survivors.contains(holders.replica);
    });
}

auto ClaimTable::find(std::string_view id) const -> const Claim *
{
    const auto found = claims_.find(id);
    return found == claims_.end() ? nullptr : &found->second;
}

auto ClaimTable::claimsFor(const Incarnation &peer) const -> std::vector<const Claim *>
{
    auto found = std::vector<const Claim *>();
    for (const auto &[id, claim] : claims_) {
        const auto holders = findHolders(current_.members, id);
        if (holders.primary == peer || holders.replica == peer) {
            found.push_back(&claim);
        }
    }
    return found;
}

} // namespace peridotwalk
