#include "engine/engine_internal.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Shared
//-----------------------------------------------------------------------------

Shared::Shared(EngineSettings given)
    : settings(std::move(given)), membership(settings.incarnation, settings.membership),
      targets(settings.zone, settings.routing), random(settings.seed)
{
}

auto Shared::send(const Incarnation &to, PeerMessage message) -> void
{
    emit(SendPeer{to, std::move(message)});
}

auto Shared::append(const Record &record) -> void
{
    const auto id = std::string(recordId(record));
    if (pendingAppends.insert(id).second) {
        emit(AppendRecord{id, encodeRecord(record)});
    }
}

auto Shared::refusal(Outcome outcome, std::string_view step, std::string_view peer,
                     std::string_view reason) const -> Reply
{
    return Reply{outcome,
                 {},
                 Refusal{outcome, std::string(step), std::string(peer), std::string(reason),
                         settings.requests.retryAfterMs}};
}

auto Shared::mayStartForTeams() const -> bool
{
    return membership.mayStartLimited(state, now.mono);
}

auto Shared::mayStartOpen() const -> bool
{
    return mayStartForTeams() || membership.logAgeMs(now.mono) <= settings.requests.isolatedOpenMs;
}

auto Shared::otherMembers() const -> std::vector<Incarnation>
{
    auto others = std::vector<Incarnation>();
    for (const auto &member : state.members()) {
        if (member.incarnation != self()) {
            others.push_back(member.incarnation);
        }
    }
    return others;
}

//-----------------------------------------------------------------------------
// [SECTION] Parts
//-----------------------------------------------------------------------------

EngineParts::EngineParts(EngineSettings settings)
    : shared(std::move(settings)), state(*this), units(*this), requests(*this), claims(*this),
      tasks(*this)
{
}

auto EngineParts::refresh() -> void
{
    requests.dispatchAll();
    units.sendUnitRequests();
}

//-----------------------------------------------------------------------------
// [SECTION] Engine
//-----------------------------------------------------------------------------

Engine::Engine(EngineSettings settings) : parts_(std::make_unique<EngineParts>(std::move(settings)))
{
}

Engine::~Engine() = default;

auto Engine::onCallerRequest(Now now, CallerHandle handle, CallerRequest request) -> void
{
    auto &parts = *parts_;
    parts.shared.now = now;
    const auto replyTo = ReplyTo{handle, {}, 0};
    if (parts.shared.isStopping) {
        // If the request must not repeat, another entry may have run it under this id already.
        const auto outcome = request.isRepeatable ? Outcome::NotRun : Outcome::Unknown;
        parts.requests.reply(
            replyTo,
            parts.shared.refusal(outcome, "admit", parts.shared.self(), "this entry is stopping"));
        return;
    }
    if (!request.isRepeatable) {
        parts.claims.accept(replyTo, std::move(request));
        return;
    }
    auto checked = parts.requests.check(request);
    if (auto *refused = std::get_if<Reply>(&checked)) {
        parts.requests.reply(replyTo, std::move(*refused));
        return;
    }
    parts.requests.accept(replyTo, std::move(request), std::get<Admission>(checked));
    parts.units.sendUnitRequests();
}

auto Engine::onCallerDisconnected(Now now, CallerHandle handle) -> void
{
    parts_->shared.now = now;
    parts_->claims.onCallerDisconnected(handle);
    parts_->requests.onCallerDisconnected(handle);
}

auto Engine::onTaskSubmit(Now now, CallerHandle handle, std::string_view taskId,
                          std::string_view keyHash, TaskSpec spec) -> void
{
    parts_->shared.now = now;
    parts_->tasks.submit(handle, taskId, keyHash, std::move(spec));
}

auto Engine::onTaskCancel(Now now, CallerHandle handle, std::string_view taskId,
                          std::string_view keyHash) -> void
{
    parts_->shared.now = now;
    parts_->tasks.cancel(handle, taskId, keyHash);
}

auto Engine::onAttemptReady(Now now, AttemptId attempt) -> void
{
    parts_->shared.now = now;
    if (!parts_->requests.onAttemptReady(attempt) && !parts_->tasks.onAttemptReady(attempt)) {
        parts_->shared.emit(DropAttempt{attempt});
    }
}

auto Engine::onAttemptEnd(Now now, AttemptId attempt, AttemptEnd end) -> void
{
    parts_->shared.now = now;
    if (!parts_->requests.onAttemptEnd(attempt, end)) {
        parts_->tasks.onAttemptEnd(attempt, end);
    }
    parts_->refresh();
}

auto Engine::onPeerUp(Now now, const Incarnation &peer) -> void
{
    parts_->shared.now = now;
    parts_->shared.connected.insert(peer);
}

auto Engine::onPeerDown(Now now, const Incarnation &peer) -> void
{
    parts_->shared.now = now;
    parts_->shared.connected.erase(peer);
}

auto Engine::onPeerMessage(Now now, const Incarnation &from, PeerMessage message) -> void
{
    auto &parts = *parts_;
    parts.shared.now = now;
    if (parts.shared.state.isRemoved(from)) {
        return; // Messages of a removed member are ignored. It learns of its removal from the log.
    }
    std::visit(
        [&](auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, Heartbeat>) {
                parts.state.onHeartbeat(from, body);
            } else if constexpr (std::is_same_v<Body, RecordsPush>) {
                parts.state.onRecordsPush(body);
            } else if constexpr (std::is_same_v<Body, StatePush>) {
                parts.state.onStatePush(body);
            } else if constexpr (std::is_same_v<Body, UnitsWanted>) {
                parts.units.onUnitsWanted(from, body);
            } else if constexpr (std::is_same_v<Body, UnitsGiven>) {
                parts.units.onUnitsGiven(from, body);
            } else if constexpr (std::is_same_v<Body, ClaimReplication>) {
                parts.claims.onClaimReplication(from, body);
            } else if constexpr (std::is_same_v<Body, ClaimReplicationReply>) {
                parts.claims.onClaimReplicationReply(from, body);
            } else if constexpr (std::is_same_v<Body, ClaimSync>) {
                parts.claims.onClaimSync(from, body);
            } else if constexpr (std::is_same_v<Body, ClaimSyncDone>) {
                parts.claims.onClaimSyncDone(from, body);
            } else if constexpr (std::is_same_v<Body, Forward>) {
                parts.claims.onForward(from, body);
            } else if constexpr (std::is_same_v<Body, ForwardReply>) {
                parts.claims.onForwardReply(body);
            }
        },
        message);
    parts.refresh();
}

auto Engine::onRecord(Now now, Offset after, Offset offset, std::string_view text) -> void
{
    parts_->shared.now = now;
    parts_->state.onRecord(after, offset, text);
    parts_->refresh();
}

auto Engine::onLogHead(Now now, TimeMs asOf) -> void
{
    parts_->shared.now = now;
    parts_->state.onLogHead(asOf);
}

auto Engine::onList(Now now, std::span<const ListedInstance> instances,
                    std::span<const std::string> ended) -> void
{
    parts_->shared.now = now;
    for (const auto &instance : instances) {
        parts_->shared.membership.noteInstanceListed(instance.name);
    }
    for (const auto &instance : ended) {
        parts_->shared.membership.noteInstanceRemoved(instance);
    }
    parts_->shared.targets.setList(instances, now.mono);
    parts_->refresh();
}

auto Engine::onTick(Now now) -> void
{
    parts_->shared.now = now;
    parts_->state.onTick();
    parts_->claims.onTick();
    parts_->requests.onTick();
    parts_->tasks.onTick();
    parts_->refresh();
    parts_->units.onTick();
    if (isDrained()) {
        parts_->units.handoverUnits();
        parts_->state.leave();
    }
}

auto Engine::beginShutdown(Now now) -> void
{
    parts_->shared.now = now;
    parts_->shared.isStopping = true;
}

auto Engine::takeEffects() -> std::vector<Effect>
{
    return std::exchange(parts_->shared.effects, {});
}

auto Engine::nextReadOffset() const -> Offset
{
    return parts_->state.nextReadOffset();
}

auto Engine::isReady() const -> bool
{
    const auto &shared = parts_->shared;
    return !shared.isStopping && shared.state.member(shared.self()) != nullptr;
}

auto Engine::isDrained() const -> bool
{
    return parts_->shared.isStopping && parts_->requests.waiting() == 0
        && parts_->requests.running() == 0 && parts_->tasks.running() == 0
        && parts_->claims.waiting() == 0;
}

auto Engine::hasLeft() const -> bool
{
    return parts_->shared.state.isRemoved(parts_->shared.self());
}

auto Engine::state() const -> const FleetState &
{
    return parts_->shared.state;
}

auto Engine::status(Now now) const -> EngineStatus
{
    const auto &parts = *parts_;
    const auto &shared = parts.shared;
    auto        status = EngineStatus{};
    status.isReady = isReady();
    status.isMember = shared.state.member(shared.self()) != nullptr;
    status.mayStart = shared.membership.mayStartLimited(shared.state, now.mono);
    status.applied = shared.state.applied();
    status.logAgeMs = shared.membership.logAgeMs(now.mono);
    status.waiting = parts.requests.waiting() + parts.claims.waiting();
    status.running = parts.requests.running() + parts.tasks.running();
    status.claims = parts.claims.table().size();
    status.claimsReady = parts.claims.table().isReady();
    for (const auto &[team, grants] : shared.state.teamGrants()) {
        status.teams.push_back({team, grants.limit, parts.units.teams().free(team),
                                parts.units.teams().inUse(team), parts.requests.waitingOf(team)});
    }
    for (const auto &[name, target] : shared.targets.all()) {
        status.targets.push_back(target);
    }
    for (const auto &member : shared.state.members()) {
        const auto &name = member.incarnation;
        const auto  isSelf = name == shared.self();
        status.members.push_back(
            {name, member.zone, isSelf ? status.applied : shared.membership.appliedOf(name),
             isSelf || shared.membership.isReachable(name, now.mono), member.suspectedAt != 0});
    }
    return status;
}

} // namespace peridotwalk
