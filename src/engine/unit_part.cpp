#include "engine/engine_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::string_view kSlotPrefix = "slot/";
constexpr std::string_view kPortionPrefix =
    "portion/"; // Asks only for what a peer has above its own.
constexpr std::string_view kPoolPrefix = "pool/";
constexpr std::size_t      kMaxRemoteWants = 64; // Kept for each resource.
constexpr TimeMs           kRemoteWantMs = 500;  // A peer that still wants asks again by then.
constexpr std::size_t      kMaxPeersToAsk = 12;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Unit part: limits and slots
//-----------------------------------------------------------------------------

// The slots of a target start out with the entries of its zone, or with all if there are none.
auto UnitPart::setSlotGrants() -> void
{
    auto      &shared = parts_.shared;
    Offset     epoch = 0;
    auto       byZone = std::map<std::string, std::vector<Member>, std::less<>>();
    const auto everyone = shared.state.members();
    for (const auto &member : everyone) {
        epoch = std::max(epoch, shared.state.zoneEpoch(member.zone));
        byZone[member.zone].push_back(member);
    }
    if (epoch != slotEpoch_) {
        slotEpoch_ = epoch;
        slots_.clearAllFlows();
    }
    for (const auto &[name, target] : shared.targets.all()) {
        const auto  local = byZone.find(target.zone);
        const auto &holders = local == byZone.end() ? everyone : local->second;
        const auto  ranked = rankMembers(holders, name);
        const auto  self = std::ranges::find(ranked, shared.self(), &Member::incarnation);
        const auto  count = static_cast<std::int64_t>(ranked.size());
        const auto  turn = self - ranked.begin();
        const auto  granted =
            self == ranked.end() ? 0 : target.slots / count + (turn < target.slots % count ? 1 : 0);
        slots_.setGrant(slotResource(name), granted);
    }
}

auto UnitPart::mayUseTeam(std::string_view team) const -> bool
{
    const auto &shared = parts_.shared;
    return shared.mayStartForTeams() && teams_.free(team) > 0
        && reports_.isSettled(team, shared.otherMembers(), shared.now.mono,
                              shared.settings.membership.evictGraceMs);
}

auto UnitPart::takeTeam(std::string_view team) -> bool
{
    return mayUseTeam(team) && teams_.take(team);
}

auto UnitPart::giveBackTeam(std::string_view team) -> void
{
    teams_.giveBack(team);
    serveRemoteWants(std::string(team));
}

auto UnitPart::takeSlot(std::string_view target) -> bool
{
    return slots_.take(slotResource(target));
}

auto UnitPart::giveBackSlot(std::string_view target) -> void
{
    slots_.giveBack(slotResource(target));
    const auto *found = parts_.shared.targets.find(target);
    if (found != nullptr) {
        serveRemoteWants(fmt::format("{}{}", kPoolPrefix, found->pool));
    }
}

auto UnitPart::want(std::string_view resource, std::int64_t wanted) -> void
{
    wants_[std::string(resource)] = wanted;
}

// How many units this entry could use itself right now.
auto UnitPart::localNeed(std::string_view resource) const -> std::int64_t
{
    if (resource.starts_with(kPoolPrefix)) {
        return static_cast<std::int64_t>(
            parts_.quick.waitingIn(resource.substr(kPoolPrefix.size())));
    }
    return static_cast<std::int64_t>(parts_.quick.waitingOf(resource));
}

auto UnitPart::onUnitsWanted(const Incarnation &from, const UnitsWanted &wanted) -> void
{
    const auto now = parts_.shared.now.mono;
    if (parts_.shared.state.member(from) == nullptr) {
        return;
    }
    for (const auto &request : wanted.requests) {
        auto &queue = remoteWants_[request.resource];
        std::erase_if(queue, [&](const RemoteWant &want) { return want.peer == from; });
        if (queue.size() < kMaxRemoteWants) {
            queue.push_back({from, request.wanted, now});
        }
        serveRemoteWants(request.resource);
    }
}

// A peer and this entry take turns while both need units, so neither starves.
auto UnitPart::serveRemoteWants(const std::string &resource) -> void
{
    const auto found = remoteWants_.find(resource);
    if (found == remoteWants_.end()) {
        return;
    }
    auto      &queue = found->second;
    const auto now = parts_.shared.now.mono;
    std::erase_if(queue, [&](const RemoteWant &want) { return now - want.at > kRemoteWantMs; });
    while (!queue.empty()) {
        auto wanted = queue.front().wanted;
        if (localNeed(resource) > 0) {
            isRemoteTurn_ = !isRemoteTurn_;
            if (!isRemoteTurn_) {
                return;
            }
            wanted = 1;
        }
        const auto given = give(queue.front().peer, resource, wanted);
        if (given == 0) {
            return;
        }
        queue.pop_front();
    }
    remoteWants_.erase(found);
}

auto UnitPart::give(const Incarnation &to, std::string_view resource, std::int64_t wanted)
    -> std::int64_t
{
    if (resource.starts_with(kPoolPrefix)) {
        return giveSlots(to, resource.substr(kPoolPrefix.size()), wanted);
    }
    const auto isPortion = resource.starts_with(kPortionPrefix);
    const auto team = isPortion ? resource.substr(kPortionPrefix.size()) : resource;
    const auto free = teams_.free(team);
    const auto spare =
        isPortion ? std::min(free, free + teams_.inUse(team) - portionOf(team)) : (free + 1) / 2;
    const auto given = std::min(wanted, spare);
    const auto transfer = teams_.send(team, to, given);
    if (!transfer) {
        return 0;
    }
    parts_.shared.send(to, UnitsGiven{slotEpoch_, {*transfer}});
    return given;
}

auto UnitPart::giveSlots(const Incarnation &to, std::string_view pool, std::int64_t wanted)
    -> std::int64_t
{
    auto        &shared = parts_.shared;
    auto         message = UnitsGiven{slotEpoch_, {}};
    std::int64_t given = 0;
    for (const auto &[name, target] : shared.targets.all()) {
        const auto isUsable = target.pool == pool
            && shared.targets.isUsable(shared.state.rules(), target, shared.now.mono);
        if (!isUsable || given >= wanted) {
            continue;
        }
        const auto half = (slots_.free(slotResource(name)) + 1) / 2;
        const auto part = std::min(wanted - given, half);
        if (auto transfer = slots_.send(slotResource(name), to, part)) {
            message.transfers.push_back(*std::move(transfer));
            given += part;
        }
    }
    if (given > 0) {
        shared.send(to, std::move(message));
    }
    return given;
}

auto UnitPart::onUnitsGiven(const Incarnation &from, const UnitsGiven &given) -> void
{
    if (parts_.shared.state.member(from) == nullptr) {
        return; // Its join isn't folded here. It sends the totals again with each heartbeat.
    }
    for (const auto &transfer : given.transfers) {
        if (!transfer.resource.starts_with(kSlotPrefix)) {
            teams_.receive(from, transfer);
        } else if (given.slotEpoch == slotEpoch_) {
            slots_.receive(from, transfer);
        }
    }
}

auto UnitPart::resendTo(const Incarnation &peer) -> void
{
    auto       message = UnitsGiven{slotEpoch_, teams_.transfersTo(peer)};
    const auto slots = slots_.transfersTo(peer);
    message.transfers.insert(message.transfers.end(), slots.begin(), slots.end());
    if (!message.transfers.empty()) {
        parts_.shared.send(peer, std::move(message));
    }
}

auto UnitPart::onTick() -> void
{
    settleDebts();
    wantPortions();
    askPeers();
}

// What each member would have if a team's units were spread evenly.
auto UnitPart::portionOf(std::string_view team) const -> std::int64_t
{
    const auto &state = parts_.shared.state;
    const auto *grants = state.grantsOf(team);
    const auto  members = static_cast<std::int64_t>(state.members().size());
    return grants == nullptr || members == 0 ? 0 : grants->limit / members;
}

// Asks ahead of need, so that an entry which gets cut off has units to go on with.
auto UnitPart::wantPortions() -> void
{
    const auto &shared = parts_.shared;
    if (shared.now.mono - lastPortions_ < shared.settings.membership.heartbeatMs
        || shared.isStopping || shared.state.member(shared.self()) == nullptr) {
        return;
    }
    lastPortions_ = shared.now.mono;
    for (const auto &[team, grants] : shared.state.teamGrants()) {
        const auto missing = portionOf(team) - teams_.free(team) - teams_.inUse(team);
        if (missing > 0) {
            want(fmt::format("{}{}", kPortionPrefix, team), missing);
        }
    }
}

auto UnitPart::settleDebts() -> void
{
    for (const auto &debt : teams_.debts()) {
        want(debt.resource, debt.wanted);
    }
}

// Peers of the own zone first. Asking a few is enough: those without units keep the wish.
auto UnitPart::peersToAsk() const -> std::vector<Incarnation>
{
    const auto &shared = parts_.shared;
    auto        near = std::vector<Incarnation>();
    auto        far = std::vector<Incarnation>();
    for (const auto &peer : shared.connected) {
        const auto *member = shared.state.member(peer);
        if (member != nullptr) {
            (member->zone == shared.settings.zone ? near : far).push_back(peer);
        }
    }
    near.insert(near.end(), far.begin(), far.end());
    if (near.size() > kMaxPeersToAsk) {
        near.resize(kMaxPeersToAsk);
    }
    return near;
}

auto UnitPart::askPeers() -> void
{
    auto &shared = parts_.shared;
    auto  message = UnitsWanted{};
    for (const auto &[resource, wanted] : std::exchange(wants_, {})) {
        auto &askedAt = askedAt_[resource];
        if (wanted > 0 && shared.now.mono - askedAt >= shared.settings.requests.unitAskMs) {
            askedAt = shared.now.mono;
            message.requests.push_back({resource, wanted});
        }
    }
    if (message.requests.empty()) {
        return;
    }
    for (const auto &peer : peersToAsk()) {
        shared.send(peer, message);
    }
}

auto UnitPart::handOver() -> void
{
    const auto peers = peersToAsk();
    if (peers.empty()) {
        return;
    }
    std::size_t next = 0;
    for (const auto &[team, grants] : parts_.shared.state.teamGrants()) {
        const auto  available = teams_.free(team);
        const auto &peer = peers[next++ % peers.size()];
        if (const auto transfer = teams_.send(team, peer, available)) {
            parts_.shared.send(peer, UnitsGiven{slotEpoch_, {*transfer}});
        }
    }
}

} // namespace peridotwalk
