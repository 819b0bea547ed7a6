#include "engine/engine_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::string_view kSlotPrefix = "slot/";
// Requests under this prefix only get what a peer has above its even share.
constexpr std::string_view kPortionPrefix = "portion/";
constexpr std::string_view kPoolPrefix = "pool/";
constexpr std::size_t      kMaxPeerRequests = 64; // Requests of peers kept per resource.
constexpr TimeMs kPeerRequestTimeoutMs = 500;     // A peer's request expires unless it is repeated.
constexpr TimeMs kStarvationMs = 200; // Wait after which a peer with a shorter queue is served.
constexpr std::size_t kMaxSelectedPeers = 12; // Most peers that one request for units goes to.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Unit part: limits and slots
//-----------------------------------------------------------------------------

// Divides the slots of each target among the entries of its zone, or among all entries if the zone
// has none.
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
        const auto  position = self - ranked.begin();
        const auto  slotCount = target.slots + shared.settings.routing.slotOvercommit;
        const auto  granted =
            self == ranked.end() ? 0 : slotCount / count + (position < slotCount % count ? 1 : 0);
        slots_.setGrant(target.slotName, granted);
    }
}

auto UnitPart::mayUseTeam(std::string_view team) const -> bool
{
    const auto &shared = parts_.shared;
    if (teams_.free(team) <= 0 || !shared.mayStartForTeams()) {
        return false;
    }
    return !limitDecreases_.isTracked(team)
        || limitDecreases_.isSettled(team, shared.otherMembers(), shared.now.mono,
                                     shared.settings.membership.evictGraceMs);
}

auto UnitPart::acquireTeamUnit(std::string_view team) -> bool
{
    return mayUseTeam(team) && teams_.acquire(team);
}

auto UnitPart::releaseTeamUnit(std::string_view team) -> void
{
    teams_.release(team);
    servePeerRequests(std::string(team));
}

auto UnitPart::acquireSlot(std::string_view target) -> bool
{
    return slots_.acquire(slotResource(target));
}

auto UnitPart::releaseSlot(std::string_view target) -> void
{
    slots_.release(slotResource(target));
    const auto *found = parts_.shared.targets.find(target);
    if (found != nullptr) {
        servePeerRequests(fmt::format("{}{}", kPoolPrefix, found->pool));
    }
}

auto UnitPart::requestUnits(std::string_view resource, std::int64_t wanted) -> void
{
    wantedUnits_[std::string(resource)] = wanted;
}

// Returns the number of units that this entry could use itself now.
auto UnitPart::localNeed(std::string_view resource) const -> std::int64_t
{
    if (resource.starts_with(kPoolPrefix)) {
        return static_cast<std::int64_t>(
            parts_.requests.waitingIn(resource.substr(kPoolPrefix.size())));
    }
    return static_cast<std::int64_t>(parts_.requests.waitingOf(resource));
}

auto UnitPart::onUnitsWanted(const Incarnation &from, const UnitsWanted &wanted) -> void
{
    const auto now = parts_.shared.now.mono;
    if (parts_.shared.state.member(from) == nullptr) {
        return;
    }
    for (const auto &request : wanted.requests) {
        auto      &queue = peerRequests_[request.resource];
        const auto found = std::ranges::find(queue, from, &PeerRequest::peer);
        if (found != queue.end()) {
            found->wanted = request.wanted;
            found->requestedAt = now;
        } else if (queue.size() < kMaxPeerRequests) {
            queue.push_back({from, request.wanted, now, now});
        }
        servePeerRequests(request.resource);
    }
}

// Sends idle units to the peers that requested them. While this entry needs units itself, it sends
// one unit only to a peer with a clearly longer queue, or to one that has waited kStarvationMs.
auto UnitPart::servePeerRequests(const std::string &resource) -> void
{
    const auto found = peerRequests_.find(resource);
    if (found == peerRequests_.end()) {
        return;
    }
    auto      &queue = found->second;
    const auto now = parts_.shared.now.mono;
    std::erase_if(queue, [&](const PeerRequest &request) {
        return now - request.requestedAt > kPeerRequestTimeoutMs;
    });
    const auto need = localNeed(resource);
    while (!queue.empty()) {
        auto request = std::move(queue.front());
        queue.pop_front();
        const auto isStarving = now - request.waitingSince > kStarvationMs;
        if (need > 0 && !isStarving && request.wanted <= 2 * need + 1) {
            queue.push_front(std::move(request));
            return;
        }
        const auto given = transferUnits(request.peer, resource, need > 0 ? 1 : request.wanted);
        if (given == 0) {
            queue.push_front(std::move(request));
            return;
        }
        request.wanted -= given;
        request.waitingSince = now;
        if (request.wanted > 0) {
            queue.push_back(std::move(request));
        }
        if (need > 0) {
            return;
        }
    }
    peerRequests_.erase(found);
}

auto UnitPart::sendTransfers(const Incarnation &to, std::vector<UnitTransfer> transfers,
                             bool isFull) -> void
{
    const auto sequence = ++transferSequences_[to].sent;
    parts_.shared.send(to, UnitsGiven{slotEpoch_, sequence, isFull, std::move(transfers)});
}

auto UnitPart::transferUnits(const Incarnation &to, std::string_view resource, std::int64_t wanted)
    -> std::int64_t
{
    if (resource.starts_with(kPoolPrefix)) {
        return transferSlots(to, resource.substr(kPoolPrefix.size()), wanted);
    }
    const auto isPortion = resource.starts_with(kPortionPrefix);
    const auto team = isPortion ? resource.substr(kPortionPrefix.size()) : resource;
    const auto free = teams_.free(team);
    const auto spare =
        isPortion ? std::min(free, free + teams_.inUse(team) - evenShareOf(team)) : (free + 1) / 2;
    const auto given = std::min(wanted, spare);
    auto       transfer = teams_.send(team, to, given);
    if (!transfer) {
        return 0;
    }
    sendTransfers(to, {*std::move(transfer)}, false);
    return given;
}

auto UnitPart::transferSlots(const Incarnation &to, std::string_view pool, std::int64_t wanted)
    -> std::int64_t
{
    auto        &shared = parts_.shared;
    auto         transfers = std::vector<UnitTransfer>();
    std::int64_t given = 0;
    for (const auto &[name, target] : shared.targets.all()) {
        const auto isUsable = target.pool == pool
            && shared.targets.isUsable(shared.state.rules(), target, shared.now.mono);
        if (!isUsable || given >= wanted) {
            continue;
        }
        const auto half = (slots_.free(target.slotName) + 1) / 2;
        const auto part = std::min(wanted - given, half);
        if (auto transfer = slots_.send(target.slotName, to, part)) {
            transfers.push_back(*std::move(transfer));
            given += part;
        }
    }
    if (given > 0) {
        sendTransfers(to, std::move(transfers), false);
    }
    return given;
}

auto UnitPart::onUnitsGiven(const Incarnation &from, const UnitsGiven &given) -> void
{
    if (parts_.shared.state.member(from) == nullptr) {
        return; // Its join hasn't been applied here yet. The peer will send all totals again.
    }
    auto &received = transferSequences_[from].received;
    if (given.isFull || given.sequence == received + 1) {
        received = given.sequence;
    }
    for (const auto &transfer : given.transfers) {
        if (!transfer.resource.starts_with(kSlotPrefix)) {
            teams_.receive(from, transfer);
        } else if (given.slotEpoch == slotEpoch_) {
            slots_.receive(from, transfer);
        }
    }
}

auto UnitPart::unitsReceivedFrom(const Incarnation &peer) const -> std::int64_t
{
    const auto found = transferSequences_.find(peer);
    return found == transferSequences_.end() ? 0 : found->second.received;
}

// Messages sent before the peer's previous heartbeat should have arrived. If not, sends all totals
// again.
auto UnitPart::onUnitsAcknowledged(const Incarnation &peer, std::int64_t sequence) -> void
{
    auto      &count = transferSequences_[peer];
    const auto isMissing = sequence < count.sentAtHeartbeat;
    count.sentAtHeartbeat = count.sent;
    if (!isMissing) {
        return;
    }
    auto       transfers = teams_.transfersTo(peer);
    const auto slots = slots_.transfersTo(peer);
    transfers.insert(transfers.end(), slots.begin(), slots.end());
    sendTransfers(peer, std::move(transfers), true);
}

auto UnitPart::onTick() -> void
{
    requestOwedUnits();
    requestEvenShares();
    sendUnitRequests();
}

// Returns a member's part of a team's units if they were divided evenly.
auto UnitPart::evenShareOf(std::string_view team) const -> std::int64_t
{
    const auto &state = parts_.shared.state;
    const auto *grants = state.grantsOf(team);
    const auto  members = static_cast<std::int64_t>(state.members().size());
    return grants == nullptr || members == 0 ? 0 : grants->limit / members;
}

// Requests units ahead of need, so that an entry which becomes isolated has some to continue with.
auto UnitPart::requestEvenShares() -> void
{
    const auto &shared = parts_.shared;
    if (shared.now.mono - lastShareRequest_ < shared.settings.membership.heartbeatMs
        || shared.isStopping || shared.state.member(shared.self()) == nullptr) {
        return;
    }
    lastShareRequest_ = shared.now.mono;
    for (const auto &[team, grants] : shared.state.teamGrants()) {
        const auto missing = evenShareOf(team) - teams_.free(team) - teams_.inUse(team);
        if (missing > 0) {
            requestUnits(fmt::format("{}{}", kPortionPrefix, team), missing);
        }
    }
}

auto UnitPart::requestOwedUnits() -> void
{
    for (const auto &debt : teams_.debts()) {
        requestUnits(debt.resource, debt.wanted);
    }
}

// Returns the connected peers in the same zone, or in all zones if `isAllZones` or if this zone has
// no other.
auto UnitPart::selectPeers(bool isAllZones) const -> std::vector<Incarnation>
{
    const auto &shared = parts_.shared;
    auto        selected = std::vector<Incarnation>();
    auto        otherZones = std::vector<Incarnation>();
    for (const auto &peer : shared.connected) {
        const auto *member = shared.state.member(peer);
        if (member != nullptr) {
            (member->zone == shared.settings.zone ? selected : otherZones).push_back(peer);
        }
    }
    if (isAllZones || selected.empty()) {
        selected.insert(selected.end(), otherZones.begin(), otherZones.end());
    }
    if (selected.size() > kMaxSelectedPeers) {
        selected.resize(kMaxSelectedPeers);
    }
    return selected;
}

auto UnitPart::sendUnitRequests() -> void
{
    auto &shared = parts_.shared;
    auto  sameZone = UnitsWanted{};
    auto  allZones = UnitsWanted{};
    for (const auto &[resource, wanted] : std::exchange(wantedUnits_, {})) {
        auto      &requestedAt = requestedAt_[resource];
        const auto age = shared.now.mono - requestedAt;
        if (wanted <= 0 || age < shared.settings.requests.unitRequestIntervalMs) {
            continue;
        }
        auto &wasSameZone = wasSameZone_[resource];
        wasSameZone = !wasSameZone || age > kPeerRequestTimeoutMs;
        (wasSameZone ? sameZone : allZones).requests.push_back({resource, wanted});
        requestedAt = shared.now.mono;
    }
    for (const auto isAllZones : {false, true}) {
        const auto &message = isAllZones ? allZones : sameZone;
        if (message.requests.empty()) {
            continue;
        }
        for (const auto &peer : selectPeers(isAllZones)) {
            shared.send(peer, message);
        }
    }
}

auto UnitPart::handoverUnits() -> void
{
    const auto peers = selectPeers(true);
    if (peers.empty()) {
        return;
    }
    std::size_t next = 0;
    for (const auto &[team, grants] : parts_.shared.state.teamGrants()) {
        const auto  available = teams_.free(team);
        const auto &peer = peers[next++ % peers.size()];
        if (auto transfer = teams_.send(team, peer, available)) {
            sendTransfers(peer, {*std::move(transfer)}, false);
        }
    }
}

} // namespace peridotwalk
