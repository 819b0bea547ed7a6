#include "engine/engine_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::size_t kMaxPushRecords = 200;
constexpr std::size_t kMaxPushBytes = 1'048'576;
constexpr TimeMs      kSnapshotTurnMs = 5'000; // Wait per rank before a member writes the snapshot.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] State part: log, peers, members
//-----------------------------------------------------------------------------

auto StatePart::nextReadOffset() const -> Offset
{
    return std::max(parts_.shared.state.applied() + 1, scanFrom_);
}

// After a gap, because the log no longer has the next record, scans for a snapshot to restore.
auto StatePart::onRecord(Offset after, Offset offset, std::string_view text) -> void
{
    auto &state = parts_.shared.state;
    if (offset <= state.applied()) {
        return;
    }
    if (after <= state.applied()) {
        applyText(after, offset, text);
        return;
    }
    scanFrom_ = offset + 1;
    const auto  record = decodeRecord(text);
    const auto *snapshot = record.ok() ? std::get_if<Snapshot>(&*record) : nullptr;
    if (snapshot != nullptr && snapshot->upTo > state.applied()) {
        restore(snapshot->state);
    }
}

auto StatePart::applyText(Offset after, Offset offset, std::string_view text) -> void
{
    auto &shared = parts_.shared;
    scanFrom_ = 0;
    keepInTail(after, offset, text);
    const auto record = decodeRecord(text);
    if (!record.ok()) {
        shared.state.skip(offset);
        shared.emit(Decision{fmt::format("record/{}", offset), "", "", "fold", "",
                             std::string(record.status().message()), 0});
        return;
    }
    const auto result = shared.state.apply(offset, *record);
    shared.pendingAppends.erase(std::string(recordId(*record)));
    if (std::holds_alternative<Snapshot>(*record)) {
        snapshotDueSince_ = 0;
    }
    if (result.isApplied) {
        if (std::holds_alternative<ConfigChange>(*record)) {
            refreshRules();
        }
        const auto changesMembers = std::holds_alternative<MemberJoin>(*record)
            || std::holds_alternative<MemberRemove>(*record);
        if (changesMembers) {
            refreshMembers();
        }
        onStateChanged(false);
        parts_.tasks.onRecordApplied();
    }
    const auto id = std::string(recordId(*record));
    shared.emit(Decision{id, "", "", "fold", "", result.isApplied ? "applied" : result.reason, 0});
}

auto StatePart::restore(std::string_view dump) -> void
{
    auto      &state = parts_.shared.state;
    const auto before = state.applied();
    const auto status = state.restore(dump);
    if (!status.ok() || state.applied() == before) {
        return;
    }
    scanFrom_ = 0;
    tail_.clear();
    tailBytes_ = 0;
    refreshRules();
    refreshMembers();
    onStateChanged(true);
    parts_.tasks.onRecordApplied();
}

auto StatePart::refreshRules() -> void
{
    parts_.shared.targets.setRules(parts_.shared.state.rules());
    parts_.requests.refreshShares();
    parts_.units.setSlotGrants();
}

auto StatePart::onStateChanged(bool isFromSnapshot) -> void
{
    auto &shared = parts_.shared;
    shared.membership.expire(shared.state, shared.now.mono);
    settleWithRemoved();
    refreshGrants();
    const auto epoch = shared.state.zoneEpoch(shared.settings.zone);
    if (epoch != zoneEpoch_) {
        zoneEpoch_ = epoch;
        parts_.claims.onMembersChanged(isFromSnapshot);
    }
    if (shared.state.isRemoved(shared.self()) && !hasLeft_) {
        hasLeft_ = true;
        shared.isStopping = true;
        shared.emit(Retire{"the other entries evicted this one"});
    }
}

// Called after a change of the members.
auto StatePart::refreshMembers() -> void
{
    auto &shared = parts_.shared;
    parts_.units.setSlotGrants();
    auto addresses = std::vector<std::string>();
    for (const auto &member : shared.state.members()) {
        addresses.push_back(member.address);
    }
    shared.emit(SetPeers{std::move(addresses)});
}

// Reports to the log which units were exchanged with each removed member, so that the log can
// return that member's units to the others.
auto StatePart::settleWithRemoved() -> void
{
    auto &shared = parts_.shared;
    auto &ledger = parts_.units.teams();
    for (const auto &[incarnation, member] : shared.state.removed()) {
        ledger.freeze(incarnation);
        parts_.units.limitDecreases().forget(incarnation);
        if (!member.awaiting.contains(shared.self())) {
            ledger.clearFlows(incarnation); // The log's grants include them now.
            continue;
        }
        auto settle = MemberSettle{fmt::format("settle/{}/{}", incarnation, shared.self()),
                                   incarnation,
                                   shared.self(),
                                   {}};
        for (const auto &flow : ledger.flowsWith(incarnation)) {
            settle.flows.push_back({flow.resource, flow.received, flow.sent});
        }
        shared.append(settle);
    }
}

auto StatePart::refreshGrants() -> void
{
    const auto &shared = parts_.shared;
    for (const auto &[team, grants] : shared.state.teamGrants()) {
        parts_.units.teams().setGrant(team, shared.state.grant(team, shared.self()));
        if (grants.loweredAt != 0) {
            parts_.units.limitDecreases().recordDecrease(team, grants.loweredAt, shared.now.mono);
        }
    }
}

auto StatePart::keepInTail(Offset after, Offset offset, std::string_view text) -> void
{
    tail_.push_back({after, offset, std::string(text)});
    tailBytes_ += text.size();
    while (tailBytes_ > parts_.shared.settings.maxTailBytes && tail_.size() > 1) {
        tailBytes_ -= tail_.front().text.size();
        tail_.pop_front();
    }
}

auto StatePart::onLogHead(TimeMs asOf) -> void
{
    if (scanFrom_ != 0) {
        return; // The scan for a snapshot found none: the state still has a gap.
    }
    hasSeenHead_ = true;
    parts_.shared.membership.noteLogHead(asOf);
}

auto StatePart::onHeartbeat(const Incarnation &from, const Heartbeat &heartbeat) -> void
{
    auto &shared = parts_.shared;
    shared.membership.recordHeartbeat(from, heartbeat.applied, shared.state, shared.now.mono);
    lastSentByPeer_[from] = heartbeat.sentAt;
    if (heartbeat.echoOf != 0) {
        shared.membership.noteEcho(from, heartbeat.echoOf);
        if (heartbeat.applied <= shared.state.applied()) {
            // The peer's state held the whole log `logAgeMs` before it sent this heartbeat, which
            // it sent after `echoOf`. Counting from `echoOf` is the cautious choice.
            shared.membership.noteLogHead(heartbeat.echoOf - heartbeat.logAgeMs);
        }
    }
    parts_.units.limitDecreases().recordReport(from, heartbeat.applied, heartbeat.debts);
    for (const auto &use : heartbeat.used) {
        parts_.requests.chargeAll(use.team, use.cost);
    }
    for (const auto &target : heartbeat.leaving) {
        shared.targets.markLeaving(target);
    }
    auto &reported = outstanding_[from];
    reported.clear();
    for (const auto &use : heartbeat.outstanding) {
        reported[use.target] = use.outstanding;
    }
    catchUpPeer(from, heartbeat.applied);
    parts_.units.onUnitsAcknowledged(from, heartbeat.unitsAcknowledged);
}

auto StatePart::catchUpPeer(const Incarnation &peer, Offset applied) -> void
{
    auto &shared = parts_.shared;
    if (applied >= shared.state.applied()) {
        return;
    }
    if (tail_.empty() || tail_.front().after > applied) {
        shared.send(peer, StatePush{shared.state.dump()});
        return;
    }
    auto        push = RecordsPush{};
    std::size_t bytes = 0;
    for (const auto &entry : tail_) {
        if (entry.offset <= applied) {
            continue;
        }
        if (push.records.empty()) {
            push.after = entry.after;
        }
        push.records.push_back({entry.offset, entry.text});
        bytes += entry.text.size();
        if (push.records.size() >= kMaxPushRecords || bytes > kMaxPushBytes) {
            break;
        }
    }
    shared.send(peer, std::move(push));
}

auto StatePart::onRecordsPush(const RecordsPush &push) -> void
{
    auto after = push.after;
    for (const auto &record : push.records) {
        if (after > parts_.shared.state.applied()) {
            return;
        }
        if (record.offset > parts_.shared.state.applied()) {
            applyText(after, record.offset, record.text);
        }
        after = record.offset;
    }
}

auto StatePart::onStatePush(const StatePush &push) -> void
{
    restore(push.dump);
}

auto StatePart::onTick() -> void
{
    auto &shared = parts_.shared;
    join();
    if (shared.now.mono - lastHeartbeat_ >= shared.settings.membership.heartbeatMs) {
        lastHeartbeat_ = shared.now.mono;
        shared.membership.expire(shared.state, shared.now.mono);
        sendHeartbeats();
        for (const auto &record : shared.membership.dueRecords(shared.state, shared.now.mono)) {
            shared.append(record);
        }
        auto totals = std::map<std::string, std::int64_t>();
        for (const auto &[peer, uses] : outstanding_) {
            for (const auto &[target, outstanding] : uses) {
                totals[target] +=
                    shared.membership.isReachable(peer, shared.now.mono) ? outstanding : 0;
            }
        }
        for (const auto &[target, outstanding] : totals) {
            shared.targets.setPeerOutstanding(target, outstanding);
        }
    }
    writeSnapshotIfDue();
}

auto StatePart::join() -> void
{
    auto      &shared = parts_.shared;
    const auto isKnown =
        shared.state.member(shared.self()) != nullptr || shared.state.isRemoved(shared.self());
    if (isKnown || !hasSeenHead_ || shared.isStopping) {
        return;
    }
    auto member = Member{};
    member.incarnation = shared.self();
    member.zone = shared.settings.zone;
    member.rack = shared.settings.rack;
    member.address = shared.settings.peerAddress;
    shared.append(MemberJoin{fmt::format("join/{}", shared.self()), std::move(member)});
}

auto StatePart::leave() -> void
{
    auto &shared = parts_.shared;
    if (shared.state.member(shared.self()) != nullptr) {
        hasLeft_ = true;
        shared.append(MemberRemove{fmt::format("left/{}", shared.self()), shared.self(),
                                   shared.self(), RemovalReason::Left, 0});
    }
}

auto StatePart::sendHeartbeats() -> void
{
    auto &shared = parts_.shared;
    auto  heartbeat = Heartbeat{};
    heartbeat.sentAt = shared.now.mono;
    heartbeat.applied = shared.state.applied();
    heartbeat.logAgeMs = shared.membership.logAgeMs(shared.now.mono);
    heartbeat.debts = parts_.units.teams().debts();
    for (const auto &[team, cost] : std::exchange(usage_, {})) {
        heartbeat.used.push_back({team, cost});
    }
    for (const auto &[name, target] : shared.targets.all()) {
        if (target.outstanding > 0) {
            heartbeat.outstanding.push_back({name, target.outstanding});
        }
    }
    heartbeat.leaving = shared.targets.leaving();
    for (const auto &peer : shared.connected) {
        const auto last = lastSentByPeer_.find(peer);
        heartbeat.echoOf = last == lastSentByPeer_.end() ? 0 : last->second;
        heartbeat.unitsAcknowledged = parts_.units.unitsReceivedFrom(peer);
        shared.send(peer, heartbeat);
    }
}

auto StatePart::addUsage(std::string_view team, double cost) -> void
{
    usage_[std::string(team)] += cost;
}

// The member that ranks first writes the snapshot. Each following one waits kSnapshotTurnMs more.
auto StatePart::writeSnapshotIfDue() -> void
{
    auto      &shared = parts_.shared;
    const auto every = static_cast<Offset>(shared.settings.snapshotEvery);
    const auto applied = shared.state.applied();
    const auto name = fmt::format("snapshot/{}", shared.state.lastSnapshot());
    if (applied - shared.state.lastSnapshot() < every || !hasSeenHead_
        || shared.pendingAppends.contains(name)) {
        return;
    }
    if (snapshotDueSince_ == 0) {
        snapshotDueSince_ = shared.now.mono;
    }
    const auto members = shared.state.members();
    const auto ranked = rankMembers(members, name);
    const auto position = std::ranges::find(ranked, shared.self(), &Member::incarnation);
    const auto waitMs = (position - ranked.begin()) * kSnapshotTurnMs;
    if (position == ranked.end() || shared.now.mono - snapshotDueSince_ < waitMs) {
        return;
    }
    shared.append(Snapshot{name, shared.self(), applied, shared.state.dump()});
}

} // namespace peridotwalk
