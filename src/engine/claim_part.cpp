#include "engine/engine_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::size_t kClaimsPerSync = 500;
constexpr TimeMs      kSyncRetryMs = 500;
constexpr TimeMs      kForwardRetryMs = 1'000;
constexpr TimeMs      kRefusalWaitMs = 500; // Time for the replica to confirm a refusal.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Claim part: requests that must not repeat
//-----------------------------------------------------------------------------

ClaimPart::ClaimPart(EngineParts &parts)
    : parts_(parts),
      table_(parts.shared.self(), parts.shared.settings.zone, parts.shared.settings.claims)
{
}

// Forwards the request to the primary of its id, or accepts it if this entry is the primary.
auto ClaimPart::accept(ReplyTo replyTo, CallerRequest request) -> void
{
    auto      &shared = parts_.shared;
    const auto parsed = parseRequestId(request.id);
    if (!parsed.ok()) {
        replyNotRun(replyTo, request, "request-id", std::string(parsed.status().message()));
        return;
    }
    if (shared.state.rules().zone(parsed->zone) == nullptr) {
        replyUnknown(replyTo, request, "request-id", parsed->zone,
                     "the home zone of the id is gone");
        return;
    }
    const auto members = shared.state.membersOf(parsed->zone);
    if (findHolders(members, request.id).primary == shared.self()) {
        acceptAsPrimary(std::move(replyTo), std::move(request));
        return;
    }
    auto forward = PendingForward{};
    forward.replyTo = std::move(replyTo);
    forward.deadline = shared.now.mono + request.timeoutMs;
    forward.request = std::move(request);
    const auto forwardId = ++lastForward_;
    auto      &stored = forwards_.emplace(forwardId, std::move(forward)).first->second;
    sendForward(forwardId, stored);
}

auto ClaimPart::sendForward(std::int64_t forwardId, PendingForward &forward) -> void
{
    auto &shared = parts_.shared;
    forward.sentAt = shared.now.mono;
    const auto zone = parseRequestId(forward.request.id)->zone;
    const auto primary = findHolders(shared.state.membersOf(zone), forward.request.id).primary;
    if (primary == shared.self()) {
        auto pending = std::move(forward);
        forwards_.erase(forwardId);
        pending.request.timeoutMs = pending.deadline - shared.now.mono;
        acceptAsPrimary(std::move(pending.replyTo), std::move(pending.request));
        return;
    }
    if (!shared.connected.contains(primary)) {
        return;
    }
    forward.sentTo = primary;
    auto message = Forward{forwardId, forward.request};
    message.request.timeoutMs = forward.deadline - shared.now.mono;
    shared.emit(Decision{forward.request.id, "", forward.request.service, "forward", primary,
                         "primary of the id", shared.state.membersOf(zone).size()});
    shared.send(primary, std::move(message));
}

auto ClaimPart::onForward(const Incarnation &from, Forward &forward) -> void
{
    auto      &shared = parts_.shared;
    const auto parsed = parseRequestId(forward.request.id);
    const auto isPrimary = parsed.ok() && parsed->zone == shared.settings.zone
        && table_.holders(forward.request.id).primary == shared.self();
    if (!isPrimary) {
        shared.send(from, ForwardReply{forward.forwardId, false, {}});
        return;
    }
    acceptAsPrimary(ReplyTo{0, from, forward.forwardId}, std::move(forward.request));
}

auto ClaimPart::onForwardReply(ForwardReply &reply) -> void
{
    const auto found = forwards_.find(reply.forwardId);
    if (found == forwards_.end()) {
        return; // The caller has its reply already, or has disconnected.
    }
    if (!reply.isPrimary) {
        found->second.sentTo.clear(); // Retried soon, with the primary of that time.
        return;
    }
    const auto replyTo = std::move(found->second.replyTo);
    forwards_.erase(found);
    parts_.requests.reply(replyTo, std::move(reply.reply));
}

auto ClaimPart::teamOf(const CallerRequest &request) const -> std::string
{
    const auto *team = request.keyHash.empty()
        ? nullptr
        : parts_.shared.state.rules().teamOfKeyHash(request.keyHash);
    return team == nullptr ? std::string() : team->name;
}

auto ClaimPart::acceptAsPrimary(ReplyTo replyTo, CallerRequest request) -> void
{
    auto      &shared = parts_.shared;
    const auto generatedAt = parseRequestId(request.id)->generatedAt;
    const auto lookup = table_.lookUp(request.id, generatedAt, shared.now.wall);
    if (const auto *claim = table_.find(request.id)) {
        replyFromClaim(replyTo, request, *claim);
        return;
    }
    if (lookup == ClaimLookup::Unknown) {
        replyUnknown(replyTo, request, "claim", shared.self(),
                     "the id is too old, or its claim was lost");
        return;
    }
    if (lookup == ClaimLookup::NotReady) {
        const auto timeoutMs = request.timeoutMs;
        hold(HeldFor::Ready, std::move(replyTo), std::move(request), timeoutMs);
        return;
    }
    if (generatedAt > shared.now.wall + shared.settings.claims.clockSkewMs) {
        auto refusal = shared.refusal(Outcome::NotRun, "request-id", request.id,
                                      "the id was minted in the future");
        refusePermanently(std::move(replyTo), std::move(request), std::move(refusal));
        return;
    }
    auto checked = parts_.requests.check(request);
    if (auto *refused = std::get_if<Reply>(&checked)) {
        refusePermanently(std::move(replyTo), std::move(request), std::move(*refused));
        return;
    }
    claimAndReplicate(std::move(replyTo), std::move(request), std::get<Admission>(checked));
}

auto ClaimPart::claimAndReplicate(ReplyTo replyTo, CallerRequest request,
                                  const Admission &admission) -> void
{
    auto      &shared = parts_.shared;
    const auto notRun = [&](std::string_view step, std::string_view reason) {
        refusePermanently(std::move(replyTo), std::move(request),
                          shared.refusal(Outcome::NotRun, step, shared.self(), reason));
    };
    if (table_.holders(request.id).replica.empty()) {
        notRun("claim", "the zone has no second entry to hold a copy");
    } else if (!shared.mayStartForTeams()) {
        notRun("fence", "this entry is cut off");
    } else if (!table_.claim(request.id, admission.team, shared.now.wall)) {
        replyUnknown(replyTo, request, "claim", shared.self(), "too many claims are kept");
    } else {
        const auto id = request.id;
        const auto timeoutMs = request.timeoutMs;
        hold(HeldFor::Replica, std::move(replyTo), std::move(request), timeoutMs).admission =
            admission;
        sendToReplica(id);
    }
}

// Replies to a request whose id has a claim already.
auto ClaimPart::replyFromClaim(const ReplyTo &replyTo, const CallerRequest &request,
                               const Claim &claim) -> void
{
    auto      &shared = parts_.shared;
    const auto unknown = [&](std::string_view reason) {
        replyUnknown(replyTo, request, "claim", claim.claimant, reason);
    };
    const auto isHeld = held_.contains(request.id);
    if (claim.phase == ClaimPhase::Refused && !isHeld) {
        replyNotRun(replyTo, request, "claim", "this id was refused before; take a new one");
    } else if (teamOf(request) != claim.team) {
        unknown("the id was claimed with the key of another team");
    } else if (claim.phase == ClaimPhase::Answered && claim.hasAnswer) {
        parts_.requests.reply(replyTo, Reply{Outcome::Answered, claim.answer, {}});
    } else if (claim.phase == ClaimPhase::Answered) {
        unknown("it ran, and its answer isn't kept any more");
    } else if (claim.phase == ClaimPhase::Unknown || claim.claimant != shared.self()) {
        unknown("it may have run");
    } else if (!addWaiter(replyTo, request)) {
        unknown("it is running, and too many wait for its answer");
    }
}

auto ClaimPart::addWaiter(const ReplyTo &replyTo, const CallerRequest &request) -> bool
{
    const auto [begin, end] = waiters_.equal_range(request.id);
    const auto isSame = [&](const auto &entry) {
        const auto &other = entry.second.replyTo;
        return other.peer == replyTo.peer && other.handle == replyTo.handle
            && other.forwardId == replyTo.forwardId;
    };
    if (std::any_of(begin, end, isSame)) {
        return true; // The forwarding entry retried.
    }
    if (waiters_.count(request.id) >= parts_.shared.settings.requests.maxWaiters) {
        return false;
    }
    waiters_.emplace(request.id, Waiter{replyTo, parts_.shared.now.mono + request.timeoutMs});
    return true;
}

auto ClaimPart::hold(HeldFor heldFor, ReplyTo replyTo, CallerRequest request, TimeMs timeoutMs)
    -> Held &
{
    auto held = Held{};
    held.heldFor = heldFor;
    held.replyTo = std::move(replyTo);
    held.deadline = parts_.shared.now.mono + timeoutMs;
    held.sentAt = parts_.shared.now.mono;
    auto id = request.id;
    held.request = std::move(request);
    return held_.emplace(std::move(id), std::move(held))->second;
}

// Replies only after it is certain that the id never runs, here or at a later primary.
auto ClaimPart::refusePermanently(ReplyTo replyTo, CallerRequest request, Reply refusal) -> void
{
    auto &shared = parts_.shared;
    if (!table_.refuse(request.id, teamOf(request), shared.now.wall)) {
        replyUnknown(replyTo, request, refusal.refusal.step, refusal.refusal.peer,
                     refusal.refusal.reason);
        return;
    }
    const auto holders = table_.holders(request.id);
    if (holders.primary != shared.self() || holders.replica.empty()) {
        // A later primary gets the refusal from this entry, or treats this epoch's ids as lost.
        sendOutcome(*table_.find(request.id));
        replyAll(replyTo, request, refusal);
        return;
    }
    const auto id = request.id;
    auto &held = hold(HeldFor::Refusal, std::move(replyTo), std::move(request), kRefusalWaitMs);
    held.refusal = std::move(refusal);
    sendToReplica(id);
}

auto ClaimPart::replyAll(const ReplyTo &replyTo, const CallerRequest &request, const Reply &reply)
    -> void
{
    emitRefusal(request, reply);
    parts_.requests.reply(replyTo, reply);
    const auto [begin, end] = waiters_.equal_range(request.id);
    for (auto waiter = begin; waiter != end; ++waiter) {
        parts_.requests.reply(waiter->second.replyTo, reply);
    }
    waiters_.erase(begin, end);
}

auto ClaimPart::replyUnknown(const ReplyTo &replyTo, const CallerRequest &request,
                             std::string_view step, std::string_view peer, std::string_view reason)
    -> void
{
    const auto reply = parts_.shared.refusal(Outcome::Unknown, step, peer, reason);
    emitRefusal(request, reply);
    parts_.requests.reply(replyTo, reply);
}

auto ClaimPart::replyNotRun(const ReplyTo &replyTo, const CallerRequest &request,
                            std::string_view step, std::string_view reason) -> void
{
    const auto reply = parts_.shared.refusal(Outcome::NotRun, step, parts_.shared.self(), reason);
    emitRefusal(request, reply);
    parts_.requests.reply(replyTo, reply);
}

auto ClaimPart::emitRefusal(const CallerRequest &request, const Reply &reply) -> void
{
    if (reply.outcome != Outcome::Answered) {
        parts_.shared.emit(Decision{request.id, teamOf(request), request.service, "refuse",
                                    reply.refusal.peer,
                                    fmt::format("{}: {}: {}", outcomeName(reply.outcome),
                                                reply.refusal.step, reply.refusal.reason),
                                    0});
    }
}

auto ClaimPart::sendToReplica(std::string_view id) -> void
{
    auto       &shared = parts_.shared;
    const auto  replica = table_.holders(id).replica;
    const auto *claim = table_.find(id);
    if (claim != nullptr && shared.connected.contains(replica)) {
        shared.send(replica, ClaimReplication{table_.epoch(), *claim});
    }
}

auto ClaimPart::onClaimReplication(const Incarnation &from, ClaimReplication &replication) -> void
{
    const auto phase = replication.claim.phase;
    auto reply = ClaimReplicationReply{replication.claim.id, replication.claim.sequence, phase,
                                       table_.epoch(), false};
    const auto holders = table_.holders(replication.claim.id);
    reply.isHeld = replication.epoch == table_.epoch() && holders.replica == parts_.shared.self()
        && holders.primary == from;
    if (reply.isHeld || phase != ClaimPhase::Claimed) {
        table_.store(std::move(replication.claim));
    }
    parts_.shared.send(from, std::move(reply));
}

// Once the replica has confirmed, a claimed request may start and a refusal goes to the caller.
auto ClaimPart::onClaimReplicationReply(const Incarnation &from, const ClaimReplicationReply &reply)
    -> void
{
    const auto *claim = table_.find(reply.id);
    const auto  isCurrent = claim != nullptr && claim->sequence == reply.sequence && reply.isHeld
        && claim->phase == reply.phase && reply.epoch == table_.epoch()
        && table_.holders(reply.id).replica == from;
    if (!isCurrent) {
        return;
    }
    const auto heldFor = reply.phase == ClaimPhase::Claimed ? HeldFor::Replica : HeldFor::Refusal;
    const auto [begin, end] = held_.equal_range(reply.id);
    const auto found = std::find_if(
        begin, end, [&](const auto &entry) { return entry.second.heldFor == heldFor; });
    if (found == end) {
        return;
    }
    auto held = std::move(found->second);
    held_.erase(found);
    if (heldFor == HeldFor::Refusal) {
        replyAll(held.replyTo, held.request, held.refusal);
        return;
    }
    held.request.timeoutMs = held.deadline - parts_.shared.now.mono;
    parts_.requests.accept(std::move(held.replyTo), std::move(held.request), held.admission);
}

// Returns whether this entry claimed the id itself, in any epoch, hasn't ended it and isn't fenced.
auto ClaimPart::mayStart(std::string_view id) const -> bool
{
    const auto *claim = table_.find(id);
    return claim != nullptr && claim->phase == ClaimPhase::Claimed
        && claim->claimant == parts_.shared.self() && parts_.shared.mayStartForTeams();
}

auto ClaimPart::finish(const ReplyTo &replyTo, const CallerRequest &request, Reply reply) -> void
{
    if (reply.outcome == Outcome::NotRun) {
        refusePermanently(replyTo, request, std::move(reply));
        return;
    }
    const auto isAnswered = reply.outcome == Outcome::Answered;
    table_.finish(request.id, isAnswered ? std::optional(reply.answer) : std::nullopt);
    if (const auto *claim = table_.find(request.id)) {
        sendOutcome(*claim);
    }
    replyAll(replyTo, request, reply);
}

auto ClaimPart::sendOutcome(const Claim &claim) -> void
{
    auto      &shared = parts_.shared;
    const auto holders = table_.holders(claim.id);
    for (const auto &holder : {holders.primary, holders.replica}) {
        if (holder != shared.self() && shared.connected.contains(holder)) {
            shared.send(holder, ClaimReplication{table_.epoch(), claim});
        }
    }
}

auto ClaimPart::onCallerDisconnected(CallerHandle handle) -> void
{
    const auto isFromCaller = [&](const ReplyTo &replyTo) {
        return replyTo.handle == handle && replyTo.peer.empty();
    };
    std::erase_if(forwards_, [&](const auto &entry) { return isFromCaller(entry.second.replyTo); });
    std::erase_if(waiters_, [&](const auto &entry) { return isFromCaller(entry.second.replyTo); });
    for (auto &[id, held] : held_) {
        if (isFromCaller(held.replyTo)) {
            held.replyTo.handle = 0;
            held.deadline = parts_.shared.now.mono;
        }
    }
}

auto ClaimPart::onMembersChanged(bool isFromSnapshot) -> void
{
    auto       &shared = parts_.shared;
    const auto &zone = shared.settings.zone;
    table_.setMembers({shared.state.zoneEpoch(zone), shared.state.membersOf(zone)}, isFromSnapshot,
                      shared.now.wall);
    unsynced_.clear();
    receivedParts_.clear();
    for (const auto &member : table_.members()) {
        if (member.incarnation != shared.self()) {
            unsynced_[member.incarnation] = table_.epoch();
            syncWith(member.incarnation);
        }
    }
    lastSync_ = shared.now.mono;
}

auto ClaimPart::syncWith(const Incarnation &peer) -> void
{
    auto &shared = parts_.shared;
    if (!shared.connected.contains(peer)) {
        return;
    }
    const auto claims = table_.claimsFor(peer);
    const auto parts =
        std::max<std::size_t>(1, (claims.size() + kClaimsPerSync - 1) / kClaimsPerSync);
    for (std::size_t part = 0; part < parts; ++part) {
        auto       sync = ClaimSync{table_.epoch(),
                              static_cast<std::int64_t>(part),
                              static_cast<std::int64_t>(parts),
                              {},
                              {}};
        const auto end = std::min(claims.size(), (part + 1) * kClaimsPerSync);
        for (auto index = part * kClaimsPerSync; index < end; ++index) {
            sync.claims.push_back(*claims[index]);
        }
        sync.lost.assign(table_.lost().begin(), table_.lost().end());
        shared.send(peer, std::move(sync));
    }
}

auto ClaimPart::onClaimSync(const Incarnation &from, ClaimSync &sync) -> void
{
    if (sync.epoch != table_.epoch()) {
        return; // The sender retries until both are in the same epoch.
    }
    for (auto &claim : sync.claims) {
        table_.store(std::move(claim));
    }
    table_.addLost(sync.lost);
    auto &received = receivedParts_[from];
    received.insert(sync.part);
    if (static_cast<std::int64_t>(received.size()) == sync.parts) {
        table_.recordHandover(from, sync.epoch);
        parts_.shared.send(from, ClaimSyncDone{sync.epoch});
        retryHeld();
    }
}

auto ClaimPart::onClaimSyncDone(const Incarnation &from, const ClaimSyncDone &done) -> void
{
    const auto found = unsynced_.find(from);
    if (found != unsynced_.end() && found->second == done.epoch) {
        unsynced_.erase(found);
    }
}

auto ClaimPart::onTick() -> void
{
    auto &shared = parts_.shared;
    table_.expire(shared.now.wall);
    retryHeld();
    retryForwards();
    expireWaiters();
    if (shared.now.mono - lastSync_ >= kSyncRetryMs) {
        lastSync_ = shared.now.mono;
        for (const auto &[peer, epoch] : unsynced_) {
            syncWith(peer);
        }
    }
}

auto ClaimPart::retryHeld() -> void
{
    auto &shared = parts_.shared;
    auto  pending = std::multimap<std::string, Held>();
    pending.swap(held_);
    for (auto &[id, held] : pending) {
        if (shared.now.mono >= held.deadline) {
            expireHeld(held);
        } else if (held.heldFor == HeldFor::Ready && table_.isReady()) {
            held.request.timeoutMs = held.deadline - shared.now.mono;
            acceptAsPrimary(std::move(held.replyTo), std::move(held.request));
        } else {
            const auto isDue =
                shared.now.mono - held.sentAt >= shared.settings.requests.claimRetryMs;
            if (isDue && held.heldFor != HeldFor::Ready) {
                held.sentAt = shared.now.mono;
                sendToReplica(id);
            }
            held_.emplace(id, std::move(held));
        }
    }
}

auto ClaimPart::expireHeld(Held &held) -> void
{
    auto      &shared = parts_.shared;
    const auto replica = table_.holders(held.request.id).replica;
    switch (held.heldFor) {
    case HeldFor::Ready:
        replyUnknown(held.replyTo, held.request, "claim", shared.self(),
                     "the claims of another entry haven't arrived");
        return;
    case HeldFor::Replica:
        refusePermanently(std::move(held.replyTo), std::move(held.request),
                          shared.refusal(Outcome::NotRun, "claim", replica,
                                         "no second entry confirmed the claim in time"));
        return;
    case HeldFor::Refusal:
        // The id won't run here, but a later primary may not have this refusal and accept the request.
        held.refusal.outcome = Outcome::Unknown;
        held.refusal.refusal.outcome = Outcome::Unknown;
        replyAll(held.replyTo, held.request, held.refusal);
        return;
    }
}

auto ClaimPart::expireWaiters() -> void
{
    auto &shared = parts_.shared;
    std::erase_if(waiters_, [&](const auto &entry) {
        const auto isLate = shared.now.mono >= entry.second.deadline;
        if (isLate) {
            parts_.requests.reply(
                entry.second.replyTo,
                shared.refusal(Outcome::Unknown, "claim", shared.self(), "it is running"));
        }
        return isLate;
    });
}

auto ClaimPart::retryForwards() -> void
{
    auto &shared = parts_.shared;
    auto  due = std::vector<std::int64_t>();
    for (const auto &[forwardId, forward] : forwards_) {
        // A connected primary has the request. A retry then only recovers a lost reply.
        const auto waitMs = shared.connected.contains(forward.sentTo)
            ? kForwardRetryMs
            : shared.settings.requests.claimRetryMs;
        const auto isLate = shared.now.mono >= forward.deadline;
        if (isLate || shared.now.mono - forward.sentAt >= waitMs) {
            due.push_back(forwardId);
        }
    }
    for (const auto forwardId : due) {
        auto &forward = forwards_.at(forwardId);
        if (shared.now.mono < forward.deadline) {
            sendForward(forwardId, forward);
            continue;
        }
        const auto replyTo = std::move(forward.replyTo);
        const auto primary = forward.sentTo;
        forwards_.erase(forwardId);
        parts_.requests.reply(replyTo,
                              shared.refusal(Outcome::Unknown, "forward", primary,
                                             "the home of the id didn't answer in time"));
    }
}

} // namespace peridotwalk
