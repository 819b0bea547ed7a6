#include "engine/engine_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

// A start needs this many average run times before the deadline.
constexpr double kRunTimesToDeadline = 3;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Request part: requests to runners
//-----------------------------------------------------------------------------

auto RequestPart::check(const CallerRequest &request) const -> std::variant<Admission, Reply>
{
    const auto &shared = parts_.shared;
    const auto &rules = shared.state.rules();
    const auto *service = rules.service(request.service);
    const auto *pool = service == nullptr ? nullptr : rules.pool(service->pool);
    if (pool == nullptr || pool->kind != InstanceKind::Runner) {
        return shared.refusal(Outcome::NotRun, "service", request.service,
                              "there is no such service of runners");
    }
    if (service->timeLimitMs > shared.settings.membership.maxRunMs) {
        return shared.refusal(Outcome::NotRun, "service", request.service,
                              "its time_limit_ms is above this entry's max_run_ms");
    }
    const auto *team = request.keyHash.empty() ? nullptr : rules.teamOfKeyHash(request.keyHash);
    if (team == nullptr && !service->isOpen) {
        return shared.refusal(Outcome::NotRun, "key", request.service, "the key isn't granted");
    }
    if (request.timeoutMs <= 0) {
        return shared.refusal(Outcome::NotRun, "deadline", request.service,
                              "the deadline has passed");
    }
    const auto queue = queues_.find(service->pool);
    const auto waiting = queue == queues_.end() ? 0 : queue->second.size();
    const auto cap = static_cast<std::size_t>(service->queueCap);
    if (waiting >= cap || requests_.size() >= shared.settings.requests.maxRequests) {
        return shared.refusal(Outcome::NotRun, "queue", request.service, "the queue is full");
    }
    return Admission{team == nullptr ? std::string() : team->name, service->isOpen};
}

auto RequestPart::accept(ReplyTo replyTo, CallerRequest request, const Admission &admission) -> void
{
    const auto &shared = parts_.shared;
    const auto *service = shared.state.rules().service(request.service);
    auto        accepted = Request{};
    accepted.replyTo = std::move(replyTo);
    accepted.admission = admission;
    accepted.pool = service->pool;
    accepted.timeLimitMs = service->timeLimitMs;
    accepted.acceptedAt = shared.now.mono;
    accepted.deadline = shared.now.mono + request.timeoutMs;
    accepted.call = std::move(request);
    const auto  number = ++lastNumber_;
    const auto &stored = requests_.emplace(number, std::move(accepted)).first->second;
    emitDecision(stored, "admit", "", "queued", 0);
    enqueue(number, stored);
    dispatch(stored.pool);
}

auto RequestPart::enqueue(std::int64_t number, const Request &request) -> void
{
    auto waiting = WaitingRequest{};
    waiting.id = std::to_string(number);
    waiting.team = request.admission.team;
    waiting.service = request.call.service;
    waiting.enqueuedAt = request.acceptedAt;
    waiting.cost = estimates_.estimate(waiting.team, waiting.service, request.timeLimitMs / 4);
    // Expires earlier than the caller's deadline: a start that is unlikely to end in time would
    // only occupy a slot.
    const auto margin = static_cast<TimeMs>(kRunTimesToDeadline * waiting.cost);
    waiting.deadline =
        request.deadline - std::min(margin, (request.deadline - request.acceptedAt) / 2);
    auto &queue = queues_[request.pool];
    if (const auto *team = parts_.shared.state.rules().team(waiting.team)) {
        queue.setShare(team->name, team->share);
    }
    queue.push(std::move(waiting));
}

auto RequestPart::dispatchAll() -> void
{
    for (const auto &[pool, queue] : queues_) {
        if (queue.size() > 0) {
            dispatch(pool);
        }
    }
}

auto RequestPart::dispatch(const std::string &pool) -> void
{
    auto &queue = queues_[pool];
    while (queue.size() > 0 && startNext(pool, queue)) { }
    if (queue.size() > 0) {
        requestMissingUnits(pool, queue);
    }
}

auto RequestPart::startNext(const std::string &pool, FairQueue &queue) -> bool
{
    auto       &shared = parts_.shared;
    const auto &rules = shared.state.rules();
    const auto  isEligible = [&](const WaitingRequest &waiting) {
        return waiting.team.empty() ? shared.mayStartOpen() : parts_.units.mayUseTeam(waiting.team);
    };
    const auto &slots = parts_.units.slots();
    if (!shared.targets.choose(rules, pool, slots, {}, shared.now.mono, shared.random)) {
        return false;
    }
    auto waiting = queue.pop(isEligible);
    if (!waiting) {
        return false;
    }
    const auto number = *parseInteger(waiting->id);
    auto      &request = requests_.at(number);
    auto       choice =
        shared.targets.choose(rules, pool, slots, request.tried, shared.now.mono, shared.random);
    if (!choice) {
        choice = shared.targets.choose(rules, pool, slots, {}, shared.now.mono, shared.random);
    }
    start(number, request, *choice);
    return true;
}

auto RequestPart::start(std::int64_t number, Request &request, const Choice &choice) -> void
{
    auto &shared = parts_.shared;
    if (!request.admission.team.empty()) {
        parts_.units.acquireTeamUnit(request.admission.team);
    }
    if (shared.targets.usesHeldSlots()) {
        parts_.units.acquireSlot(choice.target);
    }
    shared.targets.noteStart(choice.target);
    if (request.attempts == 0) {
        retries_[request.pool].noteFirstAttempt();
    }
    ++request.attempts;
    request.tried.push_back(choice.target);
    const auto attempt = ++shared.lastAttempt;
    attempts_.emplace(
        attempt, Attempt{number, choice.target, request.admission.team, shared.now.mono, false});
    emitDecision(request, "route", choice.target, "slot held and pool usable", choice.considered);
    shared.emit(ConnectTarget{attempt, choice.target, choice.address});
}

// The connection is open. Checks once more before the first byte is sent.
auto RequestPart::onAttemptReady(AttemptId attempt) -> bool
{
    auto      &shared = parts_.shared;
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return false;
    }
    const auto number = found->second.request;
    auto      &request = requests_.at(number);
    if (auto refused = checkBeforeStart(request, found->second)) {
        const auto isTarget = refused->refusal.step == "target";
        releaseUnits(found->second);
        shared.targets.noteEnd(found->second.target, AttemptResult::Refused, 0, shared.now.mono);
        attempts_.erase(found);
        shared.emit(DropAttempt{attempt});
        if (isTarget) {
            retryOrRefuse(number, *std::move(refused), true);
        } else {
            finish(number, *std::move(refused));
        }
        return true;
    }
    found->second.isWritten = true;
    const auto timeoutMs = std::min(request.deadline - shared.now.mono, request.timeLimitMs);
    emitDecision(request, "start", found->second.target, "last check passed", 0);
    shared.emit(CallTarget{attempt, "POST", fmt::format("/{}", request.call.service),
                           request.call.id, request.call.contentType, request.call.body,
                           timeoutMs});
    return true;
}

auto RequestPart::checkBeforeStart(const Request &request, const Attempt &attempt) const
    -> std::optional<Reply>
{
    const auto &shared = parts_.shared;
    const auto &rules = shared.state.rules();
    const auto  notRun = [&](std::string_view step, std::string_view reason) {
        return shared.refusal(Outcome::NotRun, step, attempt.target, reason);
    };
    if (shared.now.mono >= request.deadline) {
        return notRun("deadline", "the deadline passed before the start");
    }
    if (!request.admission.team.empty()) {
        const auto *team = rules.teamOfKeyHash(request.call.keyHash);
        if (team == nullptr || team->name != request.admission.team) {
            return notRun("key", "the key was withdrawn");
        }
        if (!shared.mayStartForTeams()) {
            return notRun("fence", "this entry is cut off and stopped starting work of teams");
        }
    } else if (!shared.mayStartOpen()) {
        return notRun("fence", "this entry is cut off");
    }
    if (!request.call.isRepeatable && !parts_.claims.mayStart(request.call.id)) {
        return notRun("claim", "the claim isn't held here any more");
    }
    if (!shared.targets.mayStart(rules, attempt.target)) {
        return notRun("target", "the target or its zone was taken out");
    }
    return std::nullopt;
}

auto RequestPart::onAttemptEnd(AttemptId attempt, AttemptEnd &end) -> bool
{
    auto      &shared = parts_.shared;
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return false;
    }
    const auto ended = found->second;
    attempts_.erase(found);
    const auto number = ended.request;
    auto      &request = requests_.at(number);
    const auto tookMs = shared.now.mono - ended.startedAt;
    const auto isAnswered = end.kind == AttemptEndKind::Answered;
    shared.targets.noteEnd(ended.target,
                           isAnswered ? AttemptResult::Answered : AttemptResult::Failed, tookMs,
                           shared.now.mono);
    if (isAnswered) {
        const auto &team = request.admission.team;
        estimates_.observe(team, request.call.service, tookMs);
        parts_.state.addUsage(team, static_cast<double>(tookMs));
        releaseUnits(ended);
        emitDecision(request, "answer", ended.target, fmt::format("status {}", end.answer.status),
                     0);
        finish(number, Reply{Outcome::Answered, std::move(end.answer), {}});
        return true;
    }
    if (end.kind == AttemptEndKind::NotWritten || !ended.isWritten) {
        releaseUnits(ended);
        retryOrRefuse(number, shared.refusal(Outcome::NotRun, "connect", ended.target, end.reason),
                      false);
        return true;
    }
    // It may still run at the target. The unit and the slot stay in use until the time limit.
    request.mayHaveRun = true;
    lingering_.push_back({ended.team, ended.target, ended.startedAt + request.timeLimitMs});
    auto refusal = shared.refusal(Outcome::Unknown, "target", ended.target, end.reason);
    if (request.call.isRepeatable) {
        retryOrRefuse(number, std::move(refusal), false);
    } else {
        finish(number, std::move(refusal));
    }
    return true;
}

auto RequestPart::releaseUnits(const Attempt &attempt) -> void
{
    if (!attempt.team.empty()) {
        parts_.units.releaseTeamUnit(attempt.team);
    }
    if (parts_.shared.targets.usesHeldSlots()) {
        parts_.units.releaseSlot(attempt.target);
    }
}

// `isUncounted`: the target was taken out before the start. Such a retry doesn't count against the
// attempts and the retry budget.
auto RequestPart::retryOrRefuse(std::int64_t number, Reply refusal, bool isUncounted) -> void
{
    auto      &shared = parts_.shared;
    auto      &request = requests_.at(number);
    const auto hasTime = shared.now.mono < request.deadline;
    const auto hasAttempts = request.attempts < shared.settings.requests.maxAttempts;
    if (hasTime && (isUncounted || (hasAttempts && retries_[request.pool].takeRetry()))) {
        emitDecision(request, "retry", "", refusal.refusal.reason, 0);
        enqueue(number, request);
        return;
    }
    finish(number, std::move(refusal));
}

auto RequestPart::finish(std::int64_t number, Reply reply) -> void
{
    const auto found = requests_.find(number);
    const auto request = std::move(found->second);
    requests_.erase(found);
    if (reply.outcome == Outcome::NotRun && request.mayHaveRun) {
        reply.outcome = Outcome::Unknown;
        reply.refusal.outcome = Outcome::Unknown;
    }
    if (reply.outcome != Outcome::Answered) {
        emitDecision(request, "refuse", reply.refusal.peer,
                     fmt::format("{}: {}: {}", outcomeName(reply.outcome), reply.refusal.step,
                                 reply.refusal.reason),
                     0);
    }
    if (request.call.isRepeatable) {
        this->reply(request.replyTo, std::move(reply));
    } else {
        parts_.claims.finish(request.replyTo, request.call, std::move(reply));
    }
}

auto RequestPart::reply(const ReplyTo &replyTo, Reply reply) -> void
{
    if (!replyTo.peer.empty()) {
        parts_.shared.send(replyTo.peer, ForwardReply{replyTo.forwardId, true, std::move(reply)});
    } else if (replyTo.handle != 0) {
        parts_.shared.emit(ReplyCaller{replyTo.handle, std::move(reply)});
    }
}

auto RequestPart::onCallerDisconnected(CallerHandle handle) -> void
{
    for (auto &[number, request] : requests_) {
        if (request.replyTo.handle != handle || !request.replyTo.peer.empty()) {
            continue;
        }
        request.replyTo.handle = 0;
        const auto isWaiting = queues_[request.pool].remove(std::to_string(number));
        if (isWaiting) {
            finish(number, parts_.shared.refusal(Outcome::NotRun, "cancel", "", "the caller left"));
        }
        return;
    }
}

auto RequestPart::onTick() -> void
{
    auto      &shared = parts_.shared;
    const auto now = shared.now.mono;
    for (auto &[pool, queue] : queues_) {
        for (const auto &waiting : queue.popExpired(now)) {
            const auto number = *parseInteger(waiting.id);
            finish(number,
                   shared.refusal(Outcome::NotRun, "queue", pool,
                                  "too little of the deadline is left to start"));
        }
    }
    const auto isOver = [now](const Lingering &lingering) { return now >= lingering.endsAt; };
    for (const auto &lingering : lingering_) {
        if (isOver(lingering)) {
            releaseUnits(Attempt{0, lingering.target, lingering.team, 0, false});
        }
    }
    std::erase_if(lingering_, isOver);
}

auto RequestPart::refreshShares() -> void
{
    constexpr std::string_view kPrefix = "team/";
    const auto                &all = parts_.shared.state.rules().all();
    for (auto &[pool, queue] : queues_) {
        for (auto rule = all.lower_bound(kPrefix); rule != all.end(); ++rule) {
            const auto *team = std::get_if<TeamRule>(&rule->second.rule.body);
            if (team == nullptr) {
                break;
            }
            queue.setShare(team->name, team->share);
        }
    }
}

auto RequestPart::requestMissingUnits(const std::string &pool, const FairQueue &queue) -> void
{
    auto &shared = parts_.shared;
    if (shared.targets.usesHeldSlots()) {
        parts_.units.requestUnits(fmt::format("pool/{}", pool),
                                  static_cast<std::int64_t>(queue.size()));
    }
    queue.forEachTeam([&](const std::string &team, std::size_t waiting) {
        const auto free = std::max<std::int64_t>(0, parts_.units.teams().free(team));
        const auto missing = static_cast<std::int64_t>(waiting) - free;
        if (!team.empty() && missing > 0) {
            parts_.units.requestUnits(team, missing);
        }
    });
}

auto RequestPart::chargeAll(std::string_view team, double cost) -> void
{
    for (auto &[pool, queue] : queues_) {
        queue.charge(team, cost);
    }
}

auto RequestPart::waitingOf(std::string_view team) const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[pool, queue] : queues_) {
        count += queue.sizeOf(team);
    }
    return count;
}

auto RequestPart::waitingIn(std::string_view pool) const -> std::size_t
{
    const auto found = queues_.find(pool);
    return found == queues_.end() ? 0 : found->second.size();
}

auto RequestPart::waiting() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[pool, queue] : queues_) {
        count += queue.size();
    }
    return count;
}

auto RequestPart::emitDecision(const Request &request, std::string_view step,
                               std::string_view chosen, std::string_view reason,
                               std::size_t considered) -> void
{
    parts_.shared.emit(Decision{request.call.id, request.admission.team, request.call.service,
                                std::string(step), std::string(chosen), std::string(reason),
                                considered});
}

} // namespace peridotwalk
